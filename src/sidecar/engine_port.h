#pragma once

#include <functional>
#include <optional>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "grants/grant_types.h"

namespace comfreyspring::sidecar {

/** Identity and fencing number that the engine checks with each order. */
struct order_sender {
  core::process_id holder;
  std::int64_t fencing_number = 0;
};

/** Interface to the engine on this VM. */
class engine_port {
 public:
  /** Called without a state but with an error if the engine did not respond. */
  using state_callback =
      std::function<void(const std::optional<grants::engine_state>& state,
                         const std::string& error)>;
  using order_callback =
      std::function<void(grants::order_result result, const std::string& text)>;

  virtual ~engine_port() = default;

  virtual void ReadState(core::milliseconds timeout,
                         state_callback on_done) = 0;
  virtual void Order(const grants::engine_order& order,
                     const order_sender& sender, core::milliseconds timeout,
                     order_callback on_done) = 0;
};

}  // namespace comfreyspring::sidecar
