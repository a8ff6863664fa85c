#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/time.h"
#include "net/event_loop.h"

namespace comfreyspring::standins {

/** Maximum size of a value in the configuration service. */
constexpr std::size_t kMaximumValueBytes = 1000 * 1000;

struct platform_options {
  std::string address = "127.0.0.1";
  /** 0 selects a free port. */
  std::uint16_t port = 0;
  /** Directory of the initial compiled documents; empty for none. */
  std::string config_directory;
  core::milliseconds vm_list_lag{0};
};

/**
 * Simulates the platform over HTTP: configuration service, VM list and weight
 * store; see section 2.4 of the design page.
 *
 * If a document directory is given, the initial VM list holds the VMs of its
 * endpoints, all in state `live`.
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
