#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace comfreyspring::process_test {

/** Where a relay listens or forwards to. */
struct relay_address {
  std::string ip = "127.0.0.1";
  /** 0 lets the system choose. */
  int port = 0;
};

/** Ways of a connection that carry nothing any more. */
enum class silenced { to_server, to_client, both };

/**
 * Forwards TCP connections to a port on loopback and can break them in the
 * ways a network does.
 */
class tcp_relay {
 public:
  explicit tcp_relay(int target_port);
  tcp_relay(relay_address listen, relay_address target);
  ~tcp_relay();
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;

  int Port() const { return port_; }

  /** Open connections carry nothing any more; new ones work. */
  void SilenceOpenConnections();
  /** Each open connection is silenced with this chance; new ones work. */
  void SilenceOpenConnections(silenced ways, double chance);
  /** Each open connection is reset with this chance. */
  void ResetOpenConnections(double chance);
  /** Holds everything up for so long from now on. */
  void SetDelay(std::chrono::milliseconds delay);
  /** Open connections stay silent and new ones are reset until Heal. */
  void Cut();
  /** Open connections stay silent and new ones get no answer until Heal. */
  void CutSilently();
  /** Cut for the clients whose local port the predicate picks. */
  void CutClients(std::function<bool(int port)> is_cut);
  void Heal();
  /** Forwards to another port from now on; for restarted targets. */
  void SetTarget(int target_port) { target_.port = target_port; }

 private:
  struct held_bytes {
    std::chrono::steady_clock::time_point due;
    std::string bytes;
  };
  /** One way of a connection. */
  struct flow {
    int from = -1;
    int to = -1;
    bool silent = false;
    bool ended = false;
    std::deque<held_bytes> held;
  };
  struct connection {
    flow to_server;
    flow to_client;
    bool reset = false;

    bool IsSilent() const { return to_server.silent && to_client.silent; }
  };

  void Run();
  void Accept();
  bool IsCut(int client) const;
  void Receive(flow& way) const;
  /** False if the receiver is gone. */
  static bool Deliver(flow& way);
  /** False once the connection is over. */
  bool Serve(connection& open, bool client_ready, bool server_ready) const;
  bool Happens(double chance);
  static void Close(const connection& closed);

  relay_address target_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> cut_{false};
  std::atomic<bool> cut_silently_{false};
  std::function<bool(int port)> is_cut_;
  std::chrono::milliseconds delay_{0};
  std::mt19937 random_{1};
  std::mutex mutex_;
  std::vector<connection> connections_;
  std::thread thread_;
};

}  // namespace comfreyspring::process_test
