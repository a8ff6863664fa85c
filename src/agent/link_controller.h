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
  /** An entry without a link for this long is given up. */
  core::milliseconds entry_disconnect_timeout{5000};
  /** A new link must greet within this time. */
  core::milliseconds hello_timeout{3000};
  /** A link that takes no byte for this long is closed. */
  core::milliseconds stall_timeout{5000};
};

/** What the links tell the rest of the agent. */
class link_events {
 public:
  virtual ~link_events() = default;
  /** Greeting that answers the hello of an entry. */
  virtual wire::hello MakeHello() = 0;
  virtual void OnEntryHello(const entry_instance& entry,
                            const wire::hello& message) = 0;
  /** Any message but hello. */
  virtual void OnEntryMessage(const entry_instance& entry,
                              const wire::message& message) = 0;
  /** The entry has had no link for too long, or a new instance replaced it. */
  virtual void OnEntryLost(const entry_instance& entry) = 0;
};

/**
 * Links from entries. An entry may hold several links at once; answers go over
 * the one that greeted last.
 */
class link_controller : public entry_sender {
 public:
  /** @throws net::net_error if the port is taken: a second agent for the
   *     endpoint is running on this VM. */
  link_controller(net::event_loop& loop, link_options options,
                  link_events& events);
  ~link_controller() override;
  link_controller(const link_controller&) = delete;
  link_controller& operator=(const link_controller&) = delete;

  bool Send(const entry_instance& entry, const wire::message& message) override;
  /** Sends to every connected entry. */
  void Broadcast(const wire::message& message);

  std::uint16_t Port() const;
  /** Bytes that the sockets have not yet taken. */
  std::size_t PendingBytes() const;
  nlohmann::json ToJson() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::agent
