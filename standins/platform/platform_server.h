#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/time.h"
#include "net/event_loop.h"

namespace comfreyspring::standins {

/** Largest value of the configuration service. */
constexpr std::size_t kMaximumValueBytes = 1000 * 1000;

struct platform_options {
  std::string address = "127.0.0.1";
  /** 0 lets the system choose. */
  std::uint16_t port = 0;
  /** Compiled documents to start with; empty for none. */
  std::string config_directory;
  core::milliseconds vm_list_lag{0};
};

/**
 * Stand-in of the platform: configuration service, VM list and weight store
 * over HTTP, see section 2.4 of the design page.
 *
 * With a directory of documents the VM list starts with the VMs of the
 * endpoints in it, all live.
 */
class platform_server {
 public:
  /**
   * @throws net::net_error if the address cannot be bound.
   * @throws sheet::file_error if the directory cannot be read.
   */
  platform_server(net::event_loop& loop, const platform_options& options);
  ~platform_server();
  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;

  std::uint16_t Port() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace comfreyspring::standins
