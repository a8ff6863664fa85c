#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/time.h"
#include "net/event_loop.h"

namespace comfreyspring::net {

enum class probe_outcome {
  accepted,
  /** Nothing listens at the port. */
  refused,
  /** No answer in time, or no way to the machine. */
  unknown,
};

/** Opens connections to see whether ports accept them, and closes them. */
class port_probe {
 public:
  explicit port_probe(event_loop& loop);
  /** Ends all probes without calling back. */
  ~port_probe();
  port_probe(const port_probe&) = delete;
  port_probe& operator=(const port_probe&) = delete;

  /** Calls back once, in a later turn of the loop. */
  void Start(const std::string& address, std::uint16_t port,
             core::milliseconds timeout,
             std::function<void(probe_outcome)> on_done);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::net
