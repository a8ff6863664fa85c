#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "quarantine/crash_record.h"

namespace comfreyspring::quarantine {

enum class part_state {
  clear,
  /** May be sent to one engine at a time, alone among suspected parts. */
  suspected,
  /** Prompts with it, or with it and others, must not be sent to any engine. */
  quarantined,
};

/** Prompts with all of these parts must not be sent to any engine. */
struct quarantined_parts {
  std::vector<core::prompt_part_id> parts;
  core::time_point until;
};

std::string_view ToString(part_state state);

/** A part is in another state than before. */
struct part_change {
  core::prompt_part_id part;
  part_state before = part_state::clear;
  part_state after = part_state::clear;
  /** Crashes that it is suspected of. */
  std::size_t crashes = 0;
};

/**
 * The crashes that a process knows of, and what they say about the parts of
 * prompts.
 *
 * One crash suspects each prompt that had not begun to be answered, so it
 * proves nothing. A part is quarantined after `kCrashesToQuarantine` crashes
 * that follow each other: each request was sent when the crash before was
 * known, and no answer with the part has gone on in between. Engines that end
 * together, such as those of a rack, therefore count as one. An answer that
 * goes on clears the part of all crashes known by then.
 *
 * A crash counts less if others at about the same time have nothing to do with
 * the part, nor with another one that is suspected of several: engines end for
 * other reasons then. At most twice as many crashes are needed.
 *
 * Crashes that have a suspected request in common count once for a part, since
 * a request that ends several engines says no more about its parts than one
 * that ends a single engine.
 *
 * A crash that a part explains does not speak against others. Parts that have
 * the same crashes can't be told apart, so they are quarantined together: only
 * prompts with all of them. Prompts with some of them remain suspected, and
 * the next crash or answer decides.
 *
 * A request that comes again takes part like a part of its prompt that no other
 * request has (see `RequestFingerprint`), but its crashes have the full weight,
 * and five are enough if they do not follow each other.
 *
 * A quarantine ends after a time that doubles with each further crash. The
 * part is suspected then: one request may try it, and a crash renews the
 * quarantine.
 */
class crash_evidence {
 public:
  static constexpr std::size_t kCrashesToQuarantine = 3;
  static constexpr core::milliseconds kFirstQuarantine{60'000};
  static constexpr core::milliseconds kLongestQuarantine{600'000};
  /** Longer than the longest quarantine, so that its part stays suspected. */
  static constexpr core::milliseconds kRecordLifetime{1'800'000};
  static constexpr std::size_t kMaximumRecords = 256;
  /** A batch of 64 requests with a few parts each. */
  static constexpr std::size_t kMaximumPartsPerRecord = 256;

  /**
   * Merges a record.
   * @returns what was new in it, to be passed on.
   */
  std::optional<crash_record> OnCrash(const crash_record& record,
                                      core::time_point now);
  /**
   * An answer to a prompt with these parts has gone on.
   * @returns the parts of records that have changed, to be passed on.
   */
  std::vector<crash_record> OnAnswered(
      const std::vector<core::prompt_part_id>& parts, core::time_point now);
  /** Ends quarantines and removes old records. Call every second or so. */
  void OnTick(core::time_point now);

  part_state StateOf(const core::prompt_part_id& part) const;
  /**
   * The quarantine that holds for a prompt with these parts; null if there is
   * none.
   */
  const quarantined_parts* QuarantineOf(
      const std::vector<core::prompt_part_id>& parts) const;
  /** Level of the part in a request that is sent now. */
  int LevelOf(const core::prompt_part_id& part) const;
  /** Crashes that the part is suspected of. */
  std::size_t CrashesOf(const core::prompt_part_id& part) const;
  const std::vector<quarantined_parts>& Quarantines() const {
    return quarantines_;
  }
  std::vector<crash_record> Records(core::time_point now) const;
  std::size_t RecordCount() const { return records_.size(); }
  /** Suspected and quarantined parts, and quarantined requests. */
  std::vector<part_change> Parts() const;
  /** Changes of state since the last call. */
  std::vector<part_change> TakeChanges();

 private:
  struct entry {
    core::time_point at;
    std::map<core::prompt_part_id, suspected_part> parts;
  };
  struct summary {
    /** Crashes that the part is suspected of and was not cleared of. */
    std::map<crash_id, int> levels;
    /** Number of these that follow each other. */
    std::size_t chain_length = 0;
    part_state state = part_state::clear;
  };
  using part_list = std::vector<core::prompt_part_id>;

  static crash_record RecordOf(const crash_id& crash, const entry& known,
                               core::time_point now);
  bool SupportsQuarantine(const entry& known) const;
  /** Keeps the record within the limit by removing another one. */
  void LimitRecords(core::time_point now);
  void Remove(std::map<crash_id, entry>::iterator position,
              core::time_point now);
  /** The part is not suspected of this crash any more. */
  void Forget(const core::prompt_part_id& part, const crash_id& crash);
  /** Derives all states after the crashes of these parts have changed. */
  void Update(const part_list& changed, core::time_point now);
  void UpdateChain(const core::prompt_part_id& part);
  void UpdateQuarantines(core::time_point now);
  /**
   * Quarantines prompts with all of these parts, for a time that grows with the
   * weight, and adds their crashes to the explained ones.
   */
  void Quarantine(part_list parts, double weight, core::time_point now,
                  std::set<crash_id>& explained);
  /** Both are suspected of a crash that is not explained yet. */
  bool SharesCrashes(const core::prompt_part_id& part,
                     const core::prompt_part_id& other,
                     const std::set<crash_id>& explained) const;
  void UpdateStates(const part_list& parts);
  void SetState(const core::prompt_part_id& part, summary& total,
                part_state state);
  /** Weight of the crashes of a part that are not explained yet. */
  double WeightOf(const core::prompt_part_id& part, const summary& total,
                  const std::set<crash_id>& explained) const;
  /** The crashes by level. */
  static std::vector<std::pair<crash_id, int>> InOrder(
      const std::map<crash_id, int>& levels);
  /**
   * Adds the requests that are suspected of the crash.
   * @returns false if one of them was there already.
   */
  bool AddRequests(const crash_id& crash,
                   std::set<core::prompt_part_id>& requests) const;
  /** Crashes at about this time that neither the part nor another explains. */
  std::size_t UnexplainedNear(core::time_point at,
                              const core::prompt_part_id& part) const;

  std::map<crash_id, entry> records_;
  std::map<core::prompt_part_id, summary> parts_;
  /** Parts with as many crashes, one after the other, as a quarantine needs. */
  std::set<core::prompt_part_id> candidates_;
  std::vector<quarantined_parts> quarantines_;
  std::vector<part_change> changes_;
};

}  // namespace comfreyspring::quarantine
