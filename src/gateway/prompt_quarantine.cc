#include "gateway/prompt_quarantine.h"

#include <algorithm>

#include "quarantine/request_fingerprint.h"

namespace comfreyspring::gateway {

using quarantine::part_state;

namespace {

prompt_quarantine::part_list PromptParts(prompt_quarantine::part_list parts) {
  if (!parts.empty() && quarantine::IsRequest(parts.back())) parts.pop_back();
  return parts;
}

}  // namespace

std::vector<quarantine::crash_record> prompt_quarantine::OnAnswered(
    const part_list& parts, core::time_point now) {
  history_.OnAnswered(PromptParts(parts), now);
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
    // All requests with the part must go to the engine that it selects.
    if (level == highest_level && quarantine::IsRequest(part)) continue;
    highest_level = level;
    judgement = {prompt_admission::isolated, part};
  }
  return judgement;
}

std::vector<quarantine::suspected_part> prompt_quarantine::BlamedParts(
    const part_list& parts, core::time_point now) const {
  std::vector<quarantine::suspected_part> blamed;
  const auto blame = [&](const core::prompt_part_id& suspect) {
    blamed.push_back({suspect, evidence_.LevelOf(suspect)});
  };
  const bool has_request =
      !parts.empty() && quarantine::IsRequest(parts.back());
  for (const core::prompt_part_id& part :
       history_.Blamed(PromptParts(parts), now)) {
    // With a request to blame, there is no need to blame an answered part.
    if (!has_request || !history_.IsRecent(part, now)) blame(part);
  }
  if (has_request) blame(parts.back());
  return blamed;
}

bool prompt_quarantine::Allows(
    const part_list& parts,
    const std::vector<quarantine::suspected_part>& blamed, bool is_isolated,
    core::time_point now) const {
  const auto admission = Judge(parts, now).admission;
  if (admission == prompt_admission::any) return true;
  if (admission == prompt_admission::refused || !is_isolated) return false;
  // A crash that has become known since must count.
  return std::none_of(blamed.begin(), blamed.end(),
                      [this](const quarantine::suspected_part& each) {
                        return evidence_.LevelOf(each.part) > each.level;
                      });
}

prompt_quarantine::part_counts prompt_quarantine::CountParts() const {
  const auto parts = evidence_.Parts();
  part_counts counts;
  for (const quarantine::part_change& each : parts) {
    ++(each.after == part_state::quarantined ? counts.quarantined
                                             : counts.suspected);
  }
  return counts;
}

std::string ToText(const prompt_quarantine::part_list& parts) {
  std::string text;
  for (const core::prompt_part_id& part : parts) {
    text += (text.empty() ? "" : " ") + part.Value();
  }
  return text;
}

prompt_quarantine::part_list SuspectsOf(const request_metadata& metadata) {
  prompt_quarantine::part_list suspects = metadata.shared_parts;
  suspects.push_back(
      !metadata.fingerprint.empty()
          ? metadata.fingerprint
          : quarantine::RequestFingerprint({metadata.id.Value()}));
  return suspects;
}

}  // namespace comfreyspring::gateway
