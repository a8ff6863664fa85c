#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "gateway/traffic_protocol.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/part_history.h"

namespace comfreyspring::gateway {

/** How a request may be sent to engines, by itself and the parts of its prompt.
 */
enum class prompt_admission { any, isolated, refused };

struct prompt_judgement {
  prompt_admission admission = prompt_admission::any;
  /** The part or request that decides, unless `admission` is `any`. */
  core::prompt_part_id part;
  /** Time until what was refused may be tried again. */
  core::milliseconds retry_after{0};
};

/**
 * Decides by the crashes of engines that this gateway knows of, and by its own
 * answers, which prompts may be sent. Pure: depends only on the events and the
 * time passed in.
 *
 * Load patterns that it answers:
 * - Requests with a part that ends each engine: after the first crash they go
 *   to one engine at a time, after three that follow each other to none.
 * - A request that ends each engine and comes again: the same, while others
 * with the same parts are sent as before.
 * - Engines that end for other reasons, together or one after the other:
 *   answers that go on clear the parts of the prompts that were there.
 * - Parts that most prompts share are answered all the time, so they are
 *   neither blamed nor isolated while other parts have no answer.
 */
class prompt_quarantine {
 public:
  /** The shared parts of a prompt and, last, the fingerprint of the request. */
  using part_list = std::vector<core::prompt_part_id>;

  /** See `crash_evidence`. */
  std::optional<quarantine::crash_record> OnCrash(
      const quarantine::crash_record& record, core::time_point now) {
    return evidence_.OnCrash(record, now);
  }
  /**
   * An answer to a prompt with these parts has gone on.
   * @returns the parts of records that have changed, to be passed on.
   */
  std::vector<quarantine::crash_record> OnAnswered(const part_list& parts,
                                                   core::time_point now);
  /** Call every second or so. */
  void OnTick(core::time_point now) { evidence_.OnTick(now); }

  prompt_judgement Judge(const part_list& parts, core::time_point now) const;
  /**
   * What to blame if the engine ends, with the levels of a request that is sent
   * now.
   */
  std::vector<quarantine::suspected_part> BlamedParts(
      const part_list& parts, core::time_point now) const;
  /**
   * Whether a request that an engine has a place for may still be sent.
   * @param blamed see `BlamedParts`, when the place was asked for.
   * @param is_isolated the engine runs it alone among suspected requests.
   */
  bool Allows(const part_list& parts,
              const std::vector<quarantine::suspected_part>& blamed,
              bool is_isolated, core::time_point now) const;
  const quarantine::crash_evidence& Evidence() const { return evidence_; }
  struct part_counts {
    std::size_t quarantined = 0;
    std::size_t suspected = 0;
  };
  part_counts CountParts() const;
  std::vector<quarantine::part_change> TakeChanges() {
    return evidence_.TakeChanges();
  }

 private:
  quarantine::crash_evidence evidence_;
  quarantine::part_history history_;
};

/** For logs. */
std::string ToText(const prompt_quarantine::part_list& parts);

/** What may be to blame if an engine ends under the request; never empty. */
prompt_quarantine::part_list SuspectsOf(const request_metadata& metadata);

}  // namespace comfreyspring::gateway
