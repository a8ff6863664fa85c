#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "net/event_loop.h"
#include "net/http_server.h"

namespace comfreyspring::process_test {

struct engine_options {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  /** Requests at once; more are refused as not run. */
  std::size_t slots = 8;
  /** False: a plain service, with one whole answer a request. */
  bool generates = true;
  /** Events of a stream. */
  int events = 5;
  core::milliseconds event_period{20};
  core::milliseconds adapter_load{0};
  /** Time of a plain answer. */
  core::milliseconds plain_time{15};
};

/** Data of one event; the same wherever the stream is made. */
std::string EventText(const std::string& request, int event);
/** Body of a plain answer. */
std::string PlainText(const std::string& request);

/**
 * An engine of the users with one model `m`, or an endpoint of a plain
 * service. It counts runs and orders, and fails in the ways engines do.
 */
class engine_stand_in {
 public:
  engine_stand_in(net::event_loop& loop, engine_options options);
  ~engine_stand_in();
  engine_stand_in(const engine_stand_in&) = delete;
  engine_stand_in& operator=(const engine_stand_in&) = delete;

  std::uint16_t Port() const { return port_; }
  const std::string& Instance() const { return instance_; }
  /** Unix time of its start in ms, as it reports it. */
  std::int64_t StartedAt() const { return started_; }
  bool IsUp() const { return server_.has_value(); }
  std::size_t Running() const { return running_.size(); }

  /** All connections break; it forgets orders and adapters. */
  void Crash();
  /** Starts as another instance at the same address. */
  void Start(const std::string& instance);

  /** Called when a request begins to run. */
  std::function<void(const net::http_request&)> on_run;
  /** Called when a run ends; `complete` if the whole answer was written. */
  std::function<void(const std::string& id, bool complete)> on_end;
  /** Called when a promise towards an engine is broken. */
  std::function<void(const std::string& what)> on_violation;

  // What it holds and has seen.

  std::set<std::string> held;
  std::map<std::string, int> runs;
  std::vector<std::string> targets;
  std::set<std::string> holders;
  std::int64_t highest_fencing = 0;
  bool fencing_fell = false;
  std::size_t most_held = 0;

  // Faults.

  int events;
  /** Ends the first run after so many events without its end. */
  int break_after = 0;
  /** Chance that a run breaks off, or that a plain answer is lost. */
  double break_chance = 0;
  /** Chance that a request is refused as not run. */
  double refuse_chance = 0;
  /** All answers say that it leaves. */
  bool leaving = false;
  /** Requests run and are not answered. */
  bool mute = false;
  /** Factor on the time of events and answers. */
  int slowness = 1;

 private:
  using exchange_pointer = std::shared_ptr<net::http_exchange>;
  struct run;

  void Listen();
  void Answer(const exchange_pointer& exchange);
  void Report(net::http_exchange& exchange) const;
  void TakeOrder(net::http_exchange& exchange);
  void Load(const std::string& adapter);
  void Run(const exchange_pointer& exchange);
  void RunPlain(const std::shared_ptr<run>& current);
  void SendEvent(const std::shared_ptr<run>& current, int event);
  void End(const std::shared_ptr<run>& current, bool complete);
  bool Happens(double chance);

  net::event_loop& loop_;
  engine_options options_;
  std::string instance_;
  std::int64_t started_ = 5;
  std::int64_t orders_ = 0;
  std::set<std::string> loading_;
  std::set<std::shared_ptr<run>> running_;
  std::mt19937 random_{1};
  /** Calls of an earlier incarnation find another number here. */
  std::uint64_t incarnation_ = 0;
  std::uint16_t port_ = 0;
  std::optional<net::http_server> server_;
};

}  // namespace comfreyspring::process_test
