#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace comfreyspring::process_test {

/**
 * Forwards TCP connections to a port on loopback and can break them in the
 * ways a network does.
 */
class tcp_relay {
 public:
  explicit tcp_relay(int target_port);
  ~tcp_relay();
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;

  int Port() const { return port_; }

  /** Open connections carry nothing any more; new ones work. */
  void SilenceOpenConnections();
  /** Open connections stay silent and new ones are reset until Heal. */
  void Cut();
  /** Cut for the clients whose local port the predicate picks. */
  void CutClients(std::function<bool(int port)> is_cut);
  void Heal();
  /** Forwards to another port from now on; for restarted targets. */
  void SetTarget(int target_port) { target_port_ = target_port; }

 private:
  struct connection {
    int client = -1;
    int server = -1;
    bool silent = false;
  };
  void Run();
  void Accept();
  bool IsCut(int client) const;
  bool Forward(int from, int to);

  std::atomic<int> target_port_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> cut_{false};
  std::function<bool(int port)> is_cut_;
  std::mutex mutex_;
  std::vector<connection> connections_;
  std::thread thread_;
};

}  // namespace comfreyspring::process_test
