#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace comfreyspring::process_test {

/** Address on which a relay listens, or to which it forwards. */
struct relay_address {
  std::string ip = "127.0.0.1";
  /** 0 selects a free port. */
  int port = 0;
};

/** Directions of a connection in which the relay stops forwarding. */
enum class silenced { to_server, to_client, both };

/**
 * Forwards TCP connections on loopback and injects network faults: silence,
 * resets, delay and partitions.
 */
class tcp_relay {
 public:
  explicit tcp_relay(int target_port);
  tcp_relay(relay_address listen, relay_address target);
  ~tcp_relay();
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;

  int Port() const { return port_; }

  /** Stops forwarding on open connections without closing them; new ones work.
   */
  void SilenceOpenConnections();
  /** Silences each open connection with this probability; new ones work. */
  void SilenceOpenConnections(silenced ways, double chance);
  /** Resets each open connection with this probability. */
  void ResetOpenConnections(double chance);
  /** Delays bytes received from now on, in both directions. */
  void SetDelay(std::chrono::milliseconds delay);
  /**
   * Limits the bytes that all connections carry in a second, in both directions
   * together; 0 for no limit.
   */
  void SetRate(std::size_t bytes_per_second);
  /** Silences open connections for good; closes new ones until `Heal`. */
  void Cut();
  /**
   * Silences open connections for good. New ones are accepted until `Heal` but
   * never forwarded.
   */
  void CutSilently();
  /** Like `Cut`, for clients whose local port satisfies the predicate. */
  void CutClients(std::function<bool(int port)> is_cut);
  void Heal();
  /** Whether a silent connection has received this text from its client. */
  bool HasSwallowed(const std::string& text);
  /** Forwards new connections to another port, for restarted targets. */
  void SetTarget(int target_port) { target_.port = target_port; }

 private:
  struct held_bytes {
    std::chrono::steady_clock::time_point due;
    std::string bytes;
  };
  /** One direction of a connection. */
  struct flow {
    int from = -1;
    int to = -1;
    bool silent = false;
    bool ended = false;
    bool was_reset = false;
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
  void Receive(flow& direction) const;
  /** Sends the bytes that are due. @returns false if sending failed. */
  bool Deliver(flow& direction);
  /** Forwards both directions. @returns false once it is to be closed. */
  bool Serve(connection& open, bool client_ready, bool server_ready);
  /** Adds to the allowance what the rate permits since the last call. */
  void Refill();
  bool DrawWithProbability(double chance);
  /** Reads what clients send on silent connections, without forwarding it. */
  void Swallow(flow& to_server);
  static void Close(const connection& closed);

  relay_address target_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> cut_{false};
  std::atomic<bool> cut_silently_{false};
  std::function<bool(int port)> is_cut_;
  std::chrono::milliseconds delay_{0};
  std::size_t bytes_per_second_ = 0;
  /** Bytes that may be sent now, if there is a rate. */
  std::size_t allowance_ = 0;
  std::chrono::steady_clock::time_point refilled_at_;
  std::mt19937 random_{1};
  std::mutex mutex_;
  std::vector<connection> connections_;
  std::string swallowed_;
  std::thread thread_;
};

}  // namespace comfreyspring::process_test
