#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/socket_address.h"
#include "net/tcp_socket.h"

namespace comfreyspring::net {

/**
 * Opens a listening socket as soon as its address can be had. An address is
 * taken while a predecessor of the process still drains, or while a connection
 * of the machine has the port as its local port; it is missing until the
 * machine's network is up.
 */
class listener_claim {
 public:
  struct callbacks {
    /** Called once, from the constructor or the loop. */
    std::function<void(tcp_socket listener)> on_open;
    /**
     * Called from the constructor or the loop when the address cannot be had,
     * and again for each other reason.
     */
    std::function<void(const std::string& reason)> on_waiting;
  };

  /**
   * @throws listen_error if waiting cannot help, see listen_error::MayPass.
   */
  listener_claim(event_loop& loop, const socket_address& address,
                 callbacks handlers);
  ~listener_claim();
  listener_claim(const listener_claim&) = delete;
  listener_claim& operator=(const listener_claim&) = delete;

 private:
  void Try();
  void OnFailure(const listen_error& failure);

  event_loop& loop_;
  socket_address address_;
  callbacks handlers_;
  std::string last_reason_;
  timer_id timer_ = 0;
};

}  // namespace comfreyspring::net
