#pragma once

#include <cstdint>
#include <map>
#include <set>

namespace comfreyspring::net {

/**
 * The open connections of a client, found by their local port, by which alone
 * the HTTP library names the connection that a call is about to use.
 */
class connection_table {
 public:
  void OnOpened(int descriptor);
  void OnClosed(int descriptor);

  /**
   * Whether bytes have arrived on a connection before anything was asked on it,
   * such as a second copy of its last answer: they answer nothing, and would be
   * taken for the next answer.
   */
  bool HasUnexpectedInput(std::uint16_t local_port);

 private:
  int Find(std::uint16_t local_port);

  /** Their local port is not known before they are connected. */
  std::set<int> unnamed_;
  std::map<std::uint16_t, int> descriptors_;
};

}  // namespace comfreyspring::net
