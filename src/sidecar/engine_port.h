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

/** Result of a read of the engine's state. */
struct state_reading {
  /** Nothing if the engine gave no valid response. */
  std::optional<grants::engine_state> state;
  /** Why there is no state. */
  std::string error;
  /** Nothing listens at the engine's address: its process has ended. */
  bool is_refused = false;
};

/** Interface to the engine on this VM. */
class engine_port {
 public:
  using state_callback = std::function<void(const state_reading& reading)>;
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
