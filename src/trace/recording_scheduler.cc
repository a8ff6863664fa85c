#include "trace/recording_scheduler.h"

#include "trace/scheduler_format.h"

namespace comfreyspring::trace {

recording_scheduler::recording_scheduler(
    const admission::scheduler_options& options, trace_writer* writer)
    : scheduler_(options), writer_(writer) {
  if (writer_ == nullptr) return;
  writer_->Begin(scheduler_subject::kName, options.started_at);
  writer_->WriteEvent(options, options.started_at);
}

recording_scheduler::actions recording_scheduler::Record(actions list) {
  if (writer_ != nullptr) writer_->WriteActions(list);
  return list;
}

recording_scheduler::actions recording_scheduler::OnSubmit(
    const admission::work_item& item, core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(item, now);
  return Record(scheduler_.OnSubmit(item, now));
}

recording_scheduler::actions recording_scheduler::OnWithdraw(
    const core::attempt_id& attempt, core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(scheduler_withdraw{attempt}, now);
  return Record(scheduler_.OnWithdraw(attempt, now));
}

recording_scheduler::actions recording_scheduler::OnFirstOutput(
    const core::attempt_id& attempt, core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(scheduler_first_output{attempt}, now);
  return Record(scheduler_.OnFirstOutput(attempt, now));
}

recording_scheduler::actions recording_scheduler::OnEnded(
    const core::attempt_id& attempt, core::token_count produced,
    core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(scheduler_ended{attempt, produced}, now);
  return Record(scheduler_.OnEnded(attempt, produced, now));
}

recording_scheduler::actions recording_scheduler::OnCancelConfirmed(
    const core::attempt_id& attempt, core::token_count delivered,
    core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(scheduler_cancel_confirmed{attempt, delivered}, now);
  return Record(scheduler_.OnCancelConfirmed(attempt, delivered, now));
}

recording_scheduler::actions recording_scheduler::OnAdapterMissing(
    const core::attempt_id& attempt, core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(scheduler_adapter_missing{attempt}, now);
  return Record(scheduler_.OnAdapterMissing(attempt, now));
}

recording_scheduler::actions recording_scheduler::OnLoadDone(
    const core::adapter_reference& adapter, core::milliseconds took,
    core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(scheduler_load_done{adapter, took}, now);
  return Record(scheduler_.OnLoadDone(adapter, took, now));
}

recording_scheduler::actions recording_scheduler::OnLoadFailed(
    const core::adapter_reference& adapter, core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(scheduler_load_failed{adapter}, now);
  return Record(scheduler_.OnLoadFailed(adapter, now));
}

recording_scheduler::actions recording_scheduler::OnEngineState(
    const admission::engine_limits& limits,
    const std::vector<core::adapter_reference>& resident,
    core::time_point now) {
  if (writer_ != nullptr)
    writer_->WriteEvent(scheduler_engine_state{limits, resident}, now);
  return Record(scheduler_.OnEngineState(limits, resident, now));
}

recording_scheduler::actions recording_scheduler::OnEngineRestart(
    core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(scheduler_engine_restart{}, now);
  return Record(scheduler_.OnEngineRestart(now));
}

recording_scheduler::actions recording_scheduler::SetEnabled(
    bool enabled, core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(scheduler_enabled{enabled}, now);
  return Record(scheduler_.SetEnabled(enabled, now));
}

recording_scheduler::actions recording_scheduler::OnDrain(
    core::time_point limit, core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(scheduler_drain{limit}, now);
  return Record(scheduler_.OnDrain(limit, now));
}

recording_scheduler::actions recording_scheduler::OnTick(core::time_point now) {
  if (writer_ != nullptr) writer_->WriteEvent(scheduler_tick{}, now);
  return Record(scheduler_.OnTick(now));
}

}  // namespace comfreyspring::trace
