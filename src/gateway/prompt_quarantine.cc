#include "gateway/prompt_quarantine.h"

namespace comfreyspring::gateway {

using quarantine::part_state;

std::vector<quarantine::crash_record> prompt_quarantine::OnAnswered(
    const part_list& parts, core::time_point now) {
  history_.OnAnswered(parts, now);
  return evidence_.OnAnswered(parts, now);
}

prompt_judgement prompt_quarantine::Judge(const part_list& parts,
                                          core::time_point now) const {
  prompt_judgement judgement;
  int highest_level = 0;
  for (const core::prompt_part_id& part : parts) {
    switch (evidence_.StateOf(part)) {
      case part_state::clear:
        break;
      case part_state::suspected: {
        const int level = evidence_.LevelOf(part);
        if (level < highest_level || history_.IsRecent(part, now)) break;
        highest_level = level;
        judgement = {prompt_admission::isolated, part};
        break;
      }
      case part_state::quarantined:
        return {prompt_admission::refused, part,
                evidence_.QuarantineLeft(part, now)};
    }
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
