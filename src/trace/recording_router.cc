#include "trace/recording_router.h"

#include "trace/router_format.h"

namespace comfreyspring::trace {

recording_router::recording_router(
    const routing::router_options& options,
    const membership::endpoint_directory& directory, trace_writer* writer,
    core::time_point now)
    : router_(options, directory), writer_(writer) {
  if (writer_ == nullptr) return;
  writer_->Begin(router_subject::kName, now);
  writer_->WriteEvent(options, now);
}

recording_router::actions recording_router::Record(actions list) {
  if (writer_ != nullptr) writer_->WriteActions(list);
  return list;
}

recording_router::actions recording_router::OnRequest(
    const routing::request_attributes& attributes, core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(attributes, now);
  return Record(router_.OnRequest(attributes, now));
}

recording_router::actions recording_router::OnCallerGone(
    const core::request_id& request, core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(router_caller_gone{request}, now);
  return Record(router_.OnCallerGone(request, now));
}

recording_router::actions recording_router::OnAccepted(
    const core::attempt_id& attempt, const wire::endpoint_report& report,
    core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(wire::accepted{attempt, report}, now);
  return Record(router_.OnAccepted(attempt, report, now));
}

recording_router::actions recording_router::OnFirstChunk(
    const core::attempt_id& attempt, core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(router_first_chunk{attempt}, now);
  return Record(router_.OnFirstChunk(attempt, now));
}

void recording_router::OnProgress(const core::attempt_id& attempt,
                                  std::uint64_t chunks, core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(router_progress{attempt, chunks}, now);
  router_.OnProgress(attempt, chunks, now);
}

recording_router::actions recording_router::OnFinished(
    const wire::finished& message, core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(message, now);
  return Record(router_.OnFinished(message, now));
}

recording_router::actions recording_router::OnRefused(
    const wire::refused& message, core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(message, now);
  return Record(router_.OnRefused(message, now));
}

recording_router::actions recording_router::OnWithdrawn(
    const wire::withdrawn& message, core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(message, now);
  return Record(router_.OnWithdrawn(message, now));
}

recording_router::actions recording_router::OnBrokenAnswer(
    const core::attempt_id& attempt, const std::string& reason,
    core::time_point now, bool output_valid) {
  if (writer_ != nullptr)
    writer_->WriteEvent(router_broken_answer{attempt, reason, output_valid},
                        now);
  return Record(router_.OnBrokenAnswer(attempt, reason, now, output_valid));
}

recording_router::actions recording_router::OnNothingToContinue(
    const core::attempt_id& attempt, core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(router_nothing_to_continue{attempt}, now);
  return Record(router_.OnNothingToContinue(attempt, now));
}

void recording_router::DisallowContinuation(const core::request_id& request,
                                            core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(router_continuation_disallowed{request}, now);
  router_.DisallowContinuation(request);
}

recording_router::actions recording_router::OnNotSent(
    const core::attempt_id& attempt, core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(router_not_sent{attempt}, now);
  return Record(router_.OnNotSent(attempt, now));
}

recording_router::actions recording_router::OnEndpointLost(
    const core::endpoint_id& endpoint, core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(router_endpoint_lost{endpoint}, now);
  return Record(router_.OnEndpointLost(endpoint, now));
}

recording_router::actions recording_router::OnTick(core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(router_tick{}, now);
  return Record(router_.OnTick(now));
}

}  // namespace comfreyspring::trace
