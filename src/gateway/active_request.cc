#include "gateway/active_request.h"

namespace comfreyspring::gateway {

const char* ToString(request_phase phase) {
  switch (phase) {
    case request_phase::waiting:
      return "waiting";
    case request_phase::sent:
      return "sent";
    case request_phase::awaiting_verdict:
      return "awaiting_verdict";
  }
  return "waiting";
}

}  // namespace comfreyspring::gateway
