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
#include "raw_http_server.h"

namespace comfreyspring::process_test {

struct engine_options {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  /** Limit of concurrent requests; further ones are refused as not run. */
  std::size_t slots = 8;
  /** False for a plain service, which answers without streaming. */
  bool generates = true;
  /** Number of events in a stream. */
  int events = 5;
  core::milliseconds event_period{20};
  core::milliseconds adapter_load{0};
  /** Processing time of a plain answer. */
  core::milliseconds plain_time{15};
};

/** Text of one event; does not depend on the engine that generates it. */
std::string EventText(const std::string& request, int event);
/** Body of a plain answer. */
std::string PlainText(const std::string& request);
/**
 * Whole answers whose heads break the grammar of HTTP, one way each. They are
 * sound otherwise: they have the stamp of an engine, and their body is an event
 * that may follow three others.
 */
std::vector<std::string> MalformedAnswers(const std::string& request);

/**
 * Stand-in for an engine of the users with one model `m`, or for an endpoint
 * of a plain service. Records runs and orders, and injects engine faults.
 */
class engine_stand_in {
 public:
  engine_stand_in(net::event_loop& loop, engine_options options);
  ~engine_stand_in();
  engine_stand_in(const engine_stand_in&) = delete;
  engine_stand_in& operator=(const engine_stand_in&) = delete;

  std::uint16_t Port() const { return port_; }
  const std::string& Instance() const { return instance_; }
  /** Start time that the report gives: Unix time in ms after a restart. */
  std::int64_t StartedAt() const { return started_; }
  bool IsUp() const { return server_.has_value(); }
  std::size_t Running() const { return running_.size(); }

  /** Breaks all connections and drops orders and adapters. */
  void Crash();
  /** Starts as a new instance at the same address. */
  void Start(const std::string& instance);
  /**
   * Falls silent: requests are taken and run, but all output waits until the
   * end of this time.
   */
  void Silence(core::milliseconds length);

  /** Called for each request that arrives, also if it is rejected. */
  std::function<void(const std::string& id)> on_arrival;
  /** Called when a response to this request names the limit. */
  std::function<void(const std::string& id)> on_limit_named;
  /** Called when a request begins to run. */
  std::function<void(const net::http_request&)> on_run;
  /** Called when a run ends; `complete` if the whole answer was written. */
  std::function<void(const std::string& id, bool complete)> on_end;
  /** Called when a guarantee towards the engine is violated. */
  std::function<void(const std::string& what)> on_violation;

  // Loaded adapters, and records of requests and orders.

  std::set<std::string> held;
  std::map<std::string, int> runs;
  std::vector<std::string> targets;
  std::set<std::string> holders;
  std::int64_t highest_fencing = 0;
  bool fencing_decreased = false;
  std::size_t most_held = 0;

  // Faults.

  int events;
  /** Aborts one stream after this many events; 0 for none. */
  int break_after = 0;
  /** Probability that a run may break off, or that a plain answer is lost. */
  double break_probability = 0;
  /** Probability that a request is refused as not run. */
  double refuse_probability = 0;
  /** Probability that a run or a report is answered with a malformed head. */
  double malformed_probability = 0;
  /** Number of requests that are refused as not run. */
  int refuse_next = 0;
  /** How a refusal is written again. */
  enum class repeated_refusal { none, unchanged, without_id };
  /**
   * A refusal is written again when the next request arrives on its connection,
   * ahead of that request's answer.
   */
  repeated_refusal repeats_refusals = repeated_refusal::none;
  /** Answers have neither a length nor chunks; they end with the connection. */
  bool unframed = false;
  /**
   * A stream that breaks off ends in order within this many bytes of its next
   * event, 0 for between two events. Unset, it ends with the connection but
   * without its last chunk.
   */
  std::optional<std::size_t> break_inside_event;
  /**
   * The next run answers with just these bytes and ends its connection in
   * order.
   */
  std::optional<std::string> raw_answer;
  /** The next report consists of just these bytes. */
  std::optional<std::string> raw_report;
  /**
   * Parts of prompts on which the engine ends: a request with one gets the
   * headers of its answer, and no event.
   */
  std::set<std::string> deadly_parts;
  /** Bodies of requests on which a plain endpoint ends, in place of an answer.
   */
  std::set<std::string> deadly_bodies;
  /** Called when a request has ended the engine; it is down already. */
  std::function<void(const std::string& id)> on_crash;
  /** Reports and stream answers carry the header `server-leaving`. */
  bool leaving = false;
  /** Responses name this request rate limit (header `server-limit`). */
  std::optional<std::string> limit;
  /** Reports name it too. */
  bool limit_in_reports = true;
  /** Requests start to run but are never answered. */
  bool unresponsive = false;
  /** Multiplies event period and processing time. */
  int slowdown_factor = 1;

 private:
  using exchange_pointer = std::shared_ptr<raw_exchange>;
  struct run;

  /** Draws an answer with a malformed head; nothing for a sound answer. */
  std::optional<std::string> DrawMalformed(const std::string& request);

  /** Headers that every response carries. */
  net::header_map Notices() const;
  net::header_map ResponseHeaders(const std::string& id);
  void Listen();
  void Answer(const exchange_pointer& exchange);
  void Report(raw_exchange& exchange);
  void HandleOrder(net::http_exchange& exchange);
  void Load(const std::string& adapter);
  void Run(const exchange_pointer& exchange);
  void AnswerRun(const std::shared_ptr<run>& current);
  void RunPlain(const std::shared_ptr<run>& current);
  /** Calls `step` when the engine is not silent, unless it ends first. */
  void WhenAudible(std::function<void()> step);
  void AnswerPlain(run& current, net::header_map headers) const;
  void SendEvent(const std::shared_ptr<run>& current, int event);
  /** Ends a stream within its next event. */
  void BreakOff(run& current, int event) const;
  void Refuse(const exchange_pointer& exchange, const std::string& id);
  /** Writes the refusal that the connection had before once more. */
  void RepeatRefusal(const exchange_pointer& exchange);
  bool IsDeadly(const net::http_request& request) const;
  void End(const std::shared_ptr<run>& current, bool complete);
  bool DrawWithProbability(double chance);

  net::event_loop& loop_;
  engine_options options_;
  std::string instance_;
  std::int64_t started_ = 5;
  std::int64_t orders_ = 0;
  std::set<std::string> loading_;
  std::set<std::shared_ptr<run>> running_;
  /** Ids of the latest refusals, by connection. */
  std::map<std::uint64_t, std::string> refused_;
  std::mt19937 random_{1};
  core::time_point silent_until_;
  /** Timers of an earlier incarnation see a different number and do nothing. */
  std::uint64_t incarnation_ = 0;
  std::uint16_t port_ = 0;
  std::optional<raw_http_server> server_;
};

}  // namespace comfreyspring::process_test
