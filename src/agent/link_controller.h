#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "agent/entry_instance.h"
#include "core/time.h"
#include "net/event_loop.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

struct link_options {
  std::string address = "127.0.0.1";
  /** 0 lets the system choose. */
  std::uint16_t port = 0;
  std::size_t maximum_links = 2048;
  /** An entry without an open link for this long counts as lost. */
  core::milliseconds entry_disconnect_timeout{5000};
  /** A new link must send its hello within this time. */
  core::milliseconds hello_timeout{3000};
  /** A link is closed when its peer accepts no data for this long. */
  core::milliseconds stall_timeout{5000};
};

/** Receives the events of entry links. */
class link_events {
 public:
  virtual ~link_events() = default;
  /** Creates the reply to the hello of an entry. */
  virtual wire::hello MakeHello() = 0;
  virtual void OnEntryHello(const entry_instance& entry,
                            const wire::hello& message) = 0;
  /** Any message except hello. */
  virtual void OnEntryMessage(const entry_instance& entry,
                              const wire::message& message) = 0;
  /** The entry was without a link for too long, or a newer instance replaced
   * it. */
  virtual void OnEntryLost(const entry_instance& entry) = 0;
};

/**
 * Accepts links from entries. An entry may have several links open at once;
 * messages go over the one that sent its hello last.
 */
class link_controller : public entry_sender {
 public:
  /** @throws net::net_error if the port is in use: a second agent for the
   * endpoint is running on this VM. */
  link_controller(net::event_loop& loop, link_options options,
                  link_events& events);
  ~link_controller() override;
  link_controller(const link_controller&) = delete;
  link_controller& operator=(const link_controller&) = delete;

  bool Send(const entry_instance& entry, const wire::message& message) override;
  /** Sends to every connected entry. */
  void Broadcast(const wire::message& message);

  std::uint16_t Port() const;
  /** Bytes that are queued and not yet written to the sockets. */
  std::size_t PendingBytes() const;
  nlohmann::json ToJson() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::agent
