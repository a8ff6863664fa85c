#include "sidecar/crash_watch.h"

#include <algorithm>
#include <utility>

namespace comfreyspring::sidecar {

crash_watch::crash_watch(core::process_id sidecar)
    : sidecar_(std::move(sidecar)) {}

void crash_watch::OnRunLost(
    const grants::request_key& run,
    const std::vector<quarantine::suspected_part>& blamed,
    core::time_point granted_at, core::time_point now) {
  lost_.push_back({run, granted_at, now, blamed});
}

crash_watch::findings crash_watch::OnEngineAnswered(
    std::int64_t started_unix_ms, bool leaving, core::time_point requested_at,
    core::time_point now) {
  if (started_unix_ms_ != 0 && started_unix_ms != started_unix_ms_) {
    BeginEnd(now);
  }
  started_unix_ms_ = started_unix_ms;
  is_leaving_ = leaving;
  findings result;
  if (IsEnding(now)) return result;
  std::erase_if(lost_, [&](const lost_run& run) {
    // An older report says nothing about what has happened since.
    if (run.lost_at > requested_at) return false;
    result.verdicts.push_back({run.key, false});
    return true;
  });
  return result;
}

void crash_watch::OnEngineRefused(core::time_point now) { BeginEnd(now); }

void crash_watch::BeginEnd(core::time_point now) {
  // The end of one run of the engine is noticed many times.
  if (end_ && end_->started_unix_ms == started_unix_ms_) return;
  end_ = engine_end{.started_unix_ms = started_unix_ms_,
                    .at = now,
                    .blames_nobody = is_leaving_ || started_unix_ms_ == 0};
}

bool crash_watch::IsEnding(core::time_point now) const {
  return end_ && now - end_->at < kLateReports;
}

void crash_watch::Blame(const std::vector<quarantine::suspected_part>& parts,
                        core::time_point granted_at) {
  if (granted_at >= end_->at) return;
  for (const auto& blamed : parts) {
    const auto same = std::find_if(
        end_->parts.begin(), end_->parts.end(),
        [&](const auto& known) { return known.part == blamed.part; });
    if (same == end_->parts.end()) {
      end_->parts.push_back(blamed);
    } else {
      same->level = std::max(same->level, blamed.level);
    }
  }
}

crash_watch::findings crash_watch::OnTick(
    const std::vector<grants::granted_run>& without_output,
    core::time_point now) {
  findings result;
  if (!IsEnding(now) || now - end_->at < kSettleTime) return result;
  const bool is_first = !std::exchange(end_->is_recorded, true);
  if (!is_first && lost_.empty()) return result;
  for (const lost_run& run : std::exchange(lost_, {})) {
    Blame(run.blamed, run.granted_at);
    result.verdicts.push_back({run.key, true});
  }
  if (is_first) {
    // Their gateways are cut off or suspended.
    for (const auto& run : without_output) {
      Blame(run.request->blamed_parts, run.granted_at);
    }
  }
  if (!end_->blames_nobody && (is_first || !end_->parts.empty())) {
    result.crash =
        quarantine::crash_record{.crash = {sidecar_, end_->started_unix_ms},
                                 .age = core::ToMilliseconds(now - end_->at),
                                 .parts = end_->parts};
  }
  return result;
}

}  // namespace comfreyspring::sidecar
