#include "admission/engine_scheduler.h"

#include "adapters/eviction_policy.h"
#include "admission/basic_engine_scheduler.h"
#include "admission/queue_order.h"

namespace comfreyspring::admission {

struct engine_scheduler::impl
    : basic_engine_scheduler<shortest_expected_first,
                             adapters::cost_aware_eviction> {
  using basic_engine_scheduler::basic_engine_scheduler;
};

engine_scheduler::engine_scheduler(scheduler_options options)
    : impl_(std::make_unique<impl>(options)) {}
engine_scheduler::~engine_scheduler() = default;

std::vector<scheduler_action> engine_scheduler::OnSubmit(const work_item& item,
                                                         core::time_point now) {
  return impl_->OnSubmit(item, now);
}
std::vector<scheduler_action> engine_scheduler::OnWithdraw(
    const core::attempt_id& attempt, core::time_point now) {
  return impl_->OnWithdraw(attempt, now);
}
std::vector<scheduler_action> engine_scheduler::OnFirstOutput(
    const core::attempt_id& attempt, core::time_point now) {
  return impl_->OnFirstOutput(attempt, now);
}
std::vector<scheduler_action> engine_scheduler::OnEnded(
    const core::attempt_id& attempt, core::token_count produced,
    core::time_point now) {
  return impl_->OnEnded(attempt, produced, now);
}
std::vector<scheduler_action> engine_scheduler::OnCancelConfirmed(
    const core::attempt_id& attempt, core::token_count delivered,
    core::time_point now) {
  return impl_->OnCancelConfirmed(attempt, delivered, now);
}
std::vector<scheduler_action> engine_scheduler::OnAdapterMissing(
    const core::attempt_id& attempt, core::time_point now) {
  return impl_->OnAdapterMissing(attempt, now);
}
std::vector<scheduler_action> engine_scheduler::OnLoadDone(
    const core::adapter_reference& adapter, core::milliseconds took,
    core::time_point now) {
  return impl_->OnLoadDone(adapter, took, now);
}
std::vector<scheduler_action> engine_scheduler::OnLoadFailed(
    const core::adapter_reference& adapter, core::time_point now) {
  return impl_->OnLoadFailed(adapter, now);
}
std::vector<scheduler_action> engine_scheduler::OnEngineState(
    const engine_limits& limits,
    const std::vector<core::adapter_reference>& resident,
    core::time_point now) {
  return impl_->OnEngineState(limits, resident, now);
}
std::vector<scheduler_action> engine_scheduler::OnEngineRestart(
    core::time_point now) {
  return impl_->OnEngineRestart(now);
}
std::vector<scheduler_action> engine_scheduler::SetEnabled(
    bool enabled, core::time_point now) {
  return impl_->SetEnabled(enabled, now);
}
std::vector<scheduler_action> engine_scheduler::OnDrain(core::time_point limit,
                                                        core::time_point now) {
  return impl_->OnDrain(limit, now);
}
std::vector<scheduler_action> engine_scheduler::OnTick(core::time_point now) {
  return impl_->OnTick(now);
}

wire::endpoint_report engine_scheduler::Report(
    const core::adapter_reference& adapter, core::time_point now) const {
  return impl_->Report(adapter, now);
}
std::size_t engine_scheduler::Running() const { return impl_->Running(); }
std::size_t engine_scheduler::Waiting() const { return impl_->Waiting(); }
const scheduler_counters& engine_scheduler::Counters() const {
  return impl_->Counters();
}
std::vector<slot_state> engine_scheduler::Slots() const {
  return impl_->Slots();
}

}  // namespace comfreyspring::admission
