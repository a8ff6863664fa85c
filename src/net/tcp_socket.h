#pragma once

#include <cstddef>
#include <string>

#include "net/event_loop.h"
#include "net/socket_address.h"

namespace comfreyspring::net {

/** Result of a read from or write to a non-blocking socket. */
struct transfer_result {
  enum class kind { done, would_block, ended };
  kind outcome = kind::done;
  std::size_t bytes = 0;
  /** Why the connection ended. */
  std::string reason;
};

/**
 * Ends a connection with a reset, so that its peer does not take the end for
 * an orderly one. Bytes that are not acknowledged yet are discarded.
 */
void ResetConnection(int descriptor);

/**
 * Lets a listener of this machine open the port that the system chooses as the
 * local port of a connection. Call before the connection is opened.
 */
void YieldLocalPort(int descriptor);

/** A listening socket that could not be opened. */
class listen_error : public net_error {
 public:
  /** @param number the value of errno. */
  listen_error(const socket_address& address, int number);

  /**
   * False for errors that only other settings or permissions remove, true for
   * an address that is taken or missing and for a lack of resources.
   */
  bool MayPass() const { return may_pass_; }

 private:
  bool may_pass_;
};

/** Owns a non-blocking TCP socket; connections have TCP_NODELAY. */
class tcp_socket {
 public:
  tcp_socket() = default;
  /** Takes over an open descriptor. */
  explicit tcp_socket(int descriptor);
  ~tcp_socket() { Close(); }
  tcp_socket(tcp_socket&& other) noexcept;
  tcp_socket& operator=(tcp_socket&& other) noexcept;
  tcp_socket(const tcp_socket&) = delete;
  tcp_socket& operator=(const tcp_socket&) = delete;

  /** Starts to connect. @throws net_error on an immediate failure. */
  static tcp_socket Connect(const socket_address& address);
  /** Opens a listening socket. @throws listen_error */
  static tcp_socket Listen(const socket_address& address);

  int Descriptor() const { return descriptor_; }
  bool IsValid() const { return descriptor_ >= 0; }
  void Close();
  /** Gives the open descriptor to the caller. */
  int Release();

  /** Outcome of a started connect: 0, EINPROGRESS or the error number. */
  int ConnectError() const;
  transfer_result Read(char* target, std::size_t capacity);
  transfer_result Write(const char* data, std::size_t size);
  /** @returns an invalid socket and sets errno if there is none to accept. */
  tcp_socket Accept();

 private:
  int descriptor_ = -1;
};

}  // namespace comfreyspring::net
