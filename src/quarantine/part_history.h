#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace comfreyspring::quarantine {

/**
 * When answers to prompts with a part last went on, for the parts that were
 * used most recently.
 */
class part_history {
 public:
  static constexpr std::size_t kMaximumParts = 4096;
  /** A part within this time of an answer is not blamed for a crash. */
  static constexpr core::milliseconds kRecent{3000};

  void OnAnswered(const std::vector<core::prompt_part_id>& parts,
                  core::time_point now);
  bool IsRecent(const core::prompt_part_id& part, core::time_point now) const;
  /**
   * The parts to blame if the engine of a request with these parts ends: those
   * without a recent answer; if there is none, the one whose last answer is the
   * oldest, the last one of several.
   */
  std::vector<core::prompt_part_id> Blamed(
      const std::vector<core::prompt_part_id>& parts,
      core::time_point now) const;
  std::size_t Size() const { return entries_.size(); }

 private:
  struct entry {
    core::prompt_part_id part;
    core::time_point answered_at;
  };

  /** The most recently answered part first. */
  std::list<entry> entries_;
  std::unordered_map<core::prompt_part_id, std::list<entry>::iterator> index_;
};

}  // namespace comfreyspring::quarantine
