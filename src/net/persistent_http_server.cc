#include "net/persistent_http_server.h"

#include <utility>

namespace comfreyspring::net {
namespace {

socket_address AddressOf(const http_server_options& options) {
  return {options.address, options.port};
}

}  // namespace

persistent_http_server::persistent_http_server(
    event_loop& loop, http_server_options options,
    http_server::handler on_request,
    std::function<void(const listen_event&)> on_change)
    : claim_(loop, AddressOf(options),
             {.on_open =
                  [this, &loop, options, on_request,
                   on_change](tcp_socket listener) {
                    server_.emplace(loop, options, on_request,
                                    std::move(listener));
                    if (was_taken_) on_change({.is_listening = true});
                  },
              .on_waiting =
                  [this, on_change](const std::string& reason) {
                    was_taken_ = true;
                    on_change({.is_listening = false, .reason = reason});
                  }}) {}

}  // namespace comfreyspring::net
