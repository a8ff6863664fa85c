#include "routing/request_router.h"

#include <utility>

#include "routing/health_aware_selector.h"
#include "routing/request_lifecycle.h"

namespace comfreyspring::routing {

struct request_router::impl {
  impl(const router_options& options,
       const membership::endpoint_directory& directory)
      : selector({.own_data_centre = options.own_data_centre,
                  .random_seed = options.random_seed},
                 directory),
        lifecycle(options, selector) {}

  health_aware_selector<placement::lowest_cost_choice> selector;
  request_lifecycle lifecycle;
};

request_router::request_router(router_options options,
                               const membership::endpoint_directory& directory)
    : impl_(std::make_unique<impl>(options, directory)) {}

request_router::~request_router() = default;

std::vector<router_action> request_router::OnRequest(
    const request_attributes& attributes, core::time_point now) {
  return impl_->lifecycle.OnRequest(attributes, now);
}

std::vector<router_action> request_router::OnCallerGone(
    const core::request_id& request, core::time_point now) {
  return impl_->lifecycle.OnCallerGone(request, now);
}

std::vector<router_action> request_router::OnAccepted(
    const core::attempt_id& attempt, const wire::endpoint_report& report,
    core::time_point now) {
  return impl_->lifecycle.OnAccepted(attempt, report, now);
}

std::vector<router_action> request_router::OnFirstChunk(
    const core::attempt_id& attempt, core::time_point now) {
  return impl_->lifecycle.OnFirstChunk(attempt, now);
}

void request_router::OnProgress(const core::attempt_id& attempt,
                                std::uint64_t chunks, core::time_point now) {
  impl_->lifecycle.OnProgress(attempt, chunks, now);
}

std::vector<router_action> request_router::OnFinished(
    const wire::finished& message, core::time_point now) {
  return impl_->lifecycle.OnFinished(message, now);
}

std::vector<router_action> request_router::OnRefused(
    const wire::refused& message, core::time_point now) {
  return impl_->lifecycle.OnRefused(message, now);
}

std::vector<router_action> request_router::OnWithdrawn(
    const wire::withdrawn& message, core::time_point now) {
  return impl_->lifecycle.OnWithdrawn(message, now);
}

std::vector<router_action> request_router::OnBrokenAnswer(
    const core::attempt_id& attempt, const std::string& reason,
    core::time_point now, bool output_valid) {
  return impl_->lifecycle.OnBrokenAnswer(attempt, reason, now, output_valid);
}

std::vector<router_action> request_router::OnNothingToContinue(
    const core::attempt_id& attempt, core::time_point now) {
  return impl_->lifecycle.OnNothingToContinue(attempt, now);
}

void request_router::DisallowContinuation(const core::request_id& request) {
  impl_->lifecycle.DisallowContinuation(request);
}

std::vector<router_action> request_router::OnNotSent(
    const core::attempt_id& attempt, core::time_point now) {
  return impl_->lifecycle.OnNotSent(attempt, now);
}

std::vector<router_action> request_router::OnEndpointLost(
    const core::endpoint_id& endpoint, core::time_point now) {
  return impl_->lifecycle.OnEndpointLost(endpoint, now);
}

std::vector<router_action> request_router::OnTick(core::time_point now) {
  return impl_->lifecycle.OnTick(now);
}

std::size_t request_router::OpenRequests() const {
  return impl_->lifecycle.OpenRequests();
}

const router_counters& request_router::Counters() const {
  return impl_->lifecycle.Counters();
}

std::vector<endpoint_load> request_router::Loads() const {
  return impl_->selector.Loads();
}

std::vector<core::endpoint_id> request_router::ReplicasOf(
    const core::model_id& model, const core::adapter_reference& adapter) const {
  return impl_->selector.ReplicasOf(model, adapter);
}

}  // namespace comfreyspring::routing
