#include "gateway/prompt_quarantine.h"

#include <algorithm>

namespace comfreyspring::gateway {

using quarantine::part_state;

std::vector<quarantine::crash_record> prompt_quarantine::OnAnswered(
    const part_list& parts, core::time_point now) {
  history_.OnAnswered(parts, now);
  return evidence_.OnAnswered(parts, now);
}

prompt_judgement prompt_quarantine::Judge(const part_list& parts,
                                          core::time_point now) const {
  if (const auto* found = evidence_.QuarantineOf(parts)) {
    return {prompt_admission::refused, found->parts.back(),
            std::max(core::ToMilliseconds(found->until - now),
                     core::milliseconds(1))};
  }
  prompt_judgement judgement;
  int highest_level = 0;
  for (const core::prompt_part_id& part : parts) {
    if (evidence_.StateOf(part) == part_state::clear) continue;
    const int level = evidence_.LevelOf(part);
    if (level < highest_level || history_.IsRecent(part, now)) continue;
    highest_level = level;
    judgement = {prompt_admission::isolated, part};
  }
  return judgement;
}

std::vector<quarantine::suspected_part> prompt_quarantine::BlamedParts(
    const part_list& parts, core::time_point now) const {
  std::vector<quarantine::suspected_part> blamed;
  for (const core::prompt_part_id& part : history_.Blamed(parts, now)) {
    blamed.push_back({part, evidence_.LevelOf(part)});
  }
  return blamed;
}

}  // namespace comfreyspring::gateway
