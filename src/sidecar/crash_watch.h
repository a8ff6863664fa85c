#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "grants/grant_types.h"
#include "quarantine/crash_record.h"

namespace comfreyspring::sidecar {

/**
 * Tells the end of the engine from the end of a connection to it, and records
 * which prompts may have ended it: those of requests that had been granted and
 * whose answers had not gone on. No gateway knows all of them.
 *
 * An engine that was draining ends as planned, which no prompt is blamed for.
 * Pure: depends only on the events and the time passed in.
 */
class crash_watch {
 public:
  /** Time for the gateways to report the runs that they have lost. */
  static constexpr core::milliseconds kSettleTime{40};
  /** Runs that are reported lost this long after the end belong to it. */
  static constexpr core::milliseconds kLateReports{1500};

  struct verdict {
    grants::request_key run;
    bool engine_ended = false;
  };
  struct findings {
    std::vector<verdict> verdicts;
    /** A crash, or more about the latest one. */
    std::optional<quarantine::crash_record> crash;
  };

  explicit crash_watch(core::process_id sidecar);

  /**
   * The engine should be asked for its state without delay.
   * @param granted_at a run that was granted after the engine's end has not
   *     ended it.
   */
  void OnRunLost(const grants::request_key& run,
                 const std::vector<quarantine::suspected_part>& blamed,
                 core::time_point granted_at, core::time_point now);
  findings OnEngineAnswered(std::int64_t started_unix_ms, bool leaving,
                            core::time_point requested_at,
                            core::time_point now);
  /** Nothing listens at the engine's address. */
  void OnEngineRefused(core::time_point now);
  /**
   * Call every 10 to 50 ms.
   * @param without_output granted requests without output.
   */
  findings OnTick(const std::vector<grants::granted_run>& without_output,
                  core::time_point now);

  /** Lost runs wait for a verdict. */
  bool IsPending() const { return !lost_.empty(); }

 private:
  struct lost_run {
    grants::request_key key;
    core::time_point granted_at;
    core::time_point lost_at;
    std::vector<quarantine::suspected_part> blamed;
  };
  struct engine_end {
    std::int64_t started_unix_ms = 0;
    core::time_point at;
    /** It was draining, or its start is not known. */
    bool blames_nobody = false;
    bool is_recorded = false;
    std::vector<quarantine::suspected_part> parts;
  };

  void BeginEnd(core::time_point now);
  bool IsEnding(core::time_point now) const;
  void Blame(const std::vector<quarantine::suspected_part>& parts,
             core::time_point granted_at);

  core::process_id sidecar_;
  /** 0 if no report was received yet. */
  std::int64_t started_unix_ms_ = 0;
  bool is_leaving_ = false;
  std::vector<lost_run> lost_;
  /** The latest end of the engine. */
  std::optional<engine_end> end_;
};

}  // namespace comfreyspring::sidecar
