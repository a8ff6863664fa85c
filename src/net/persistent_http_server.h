#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/listener_claim.h"

namespace comfreyspring::net {

/** Whether a server listens, and why not. */
struct listen_event {
  bool is_listening = false;
  std::string reason;
};

/**
 * An HTTP server that begins to listen as soon as its address can be had. For
 * servers without which their process can still do its work.
 */
class persistent_http_server {
 public:
  /**
   * @param on_change called for each reason for which the server does not
   *     listen, and when it listens at last; possibly from the constructor.
   * @throws listen_error if waiting cannot help.
   */
  persistent_http_server(event_loop& loop, http_server_options options,
                         http_server::handler on_request,
                         std::function<void(const listen_event&)> on_change);

  /** 0 while the server does not listen. */
  std::uint16_t Port() const { return server_ ? server_->Port() : 0; }

 private:
  std::optional<http_server> server_;
  bool was_taken_ = false;
  listener_claim claim_;
};

}  // namespace comfreyspring::net
