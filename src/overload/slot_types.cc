#include "overload/slot_types.h"

namespace comfreyspring::overload {

std::string_view ToString(slot_result result) {
  switch (result) {
    case slot_result::answered:
      return "answered";
    case slot_result::turned_away:
      return "turned_away";
    case slot_result::failed:
      return "failed";
    case slot_result::unused:
      return "unused";
  }
  return "unused";
}

std::optional<slot_result> ParseSlotResult(std::string_view text) {
  for (const slot_result result :
       {slot_result::answered, slot_result::turned_away, slot_result::failed,
        slot_result::unused}) {
    if (ToString(result) == text) return result;
  }
  return std::nullopt;
}

std::string_view ToString(slot_refusal_reason reason) {
  switch (reason) {
    case slot_refusal_reason::wait_too_long:
      return "wait_too_long";
    case slot_refusal_reason::wait_expired:
      return "wait_expired";
    case slot_refusal_reason::queue_full:
      return "queue_full";
    case slot_refusal_reason::stopping:
      return "stopping";
  }
  return "stopping";
}

}  // namespace comfreyspring::overload
