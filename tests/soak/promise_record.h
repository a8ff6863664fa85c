#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace comfreyspring::soak {

/** Repeats that the fleet's settings allow to a service: of its requests ... */
constexpr double kRepeatShare = 0.2;
/** ... and so many more, ... */
constexpr double kRepeatExtra = 10;
/** ... in any window of this length. */
constexpr core::seconds kRepeatWindow{10};

/** A kind of request that the callers of the soak make. */
struct request_kind {
  std::string route;
  std::string path;
  std::string service;
  bool streams = false;
  bool may_repeat = false;
};

/** One request of a caller, and what became of it. */
struct request_record {
  const request_kind* kind = nullptr;
  int gateway = 0;
  std::string target;
  std::string body;
  std::string model;
  core::time_point sent_at;
  core::milliseconds limit{0};
  std::optional<core::time_point> gave_up_at;
  std::optional<core::time_point> answered_at;
  int status = 0;
  int runs = 0;
  std::vector<std::string> instances;
};

/**
 * What callers and endpoints have seen, and the promises that must hold for
 * it. It knows when a gateway was disturbed last: bounds on time hold only for
 * gateways that were left alone long enough.
 */
class promise_record {
 public:
  explicit promise_record(int events) : events_(events) {}

  // What happened.

  void Sent(const std::string& id, request_record request);
  void GaveUp(const std::string& id, core::time_point now);
  void Answered(const std::string& id, const net::http_result& result,
                core::time_point now);
  void Ran(const net::http_request& request, const std::string& service,
           const std::string& instance, core::time_point now);
  /** A run ended; what still runs for a caller that left is counted. */
  void RunEnded(const std::string& id, core::time_point now);
  bool IsAnswered(const std::string& id) const {
    return requests_.at(id).answered_at.has_value();
  }
  /** The store has acknowledged that the instance is leaving. */
  void Leaving(const std::string& instance, core::time_point now);
  void GatewayDisturbed(int gateway, core::time_point until);
  void StoreDisturbed(core::time_point until);
  void EndpointsDisturbed(core::time_point until);
  void Violation(const std::string& what);

  // What holds at the end.

  /** Promises over the whole run; call it once. */
  void CheckWholeRun(core::time_point now);
  const std::vector<std::string>& Violations() const { return violations_; }
  /** Counts by kind of request and status, for people. */
  std::string Summary() const;
  /** Answered 200 of those sent since. */
  double ServedShare(core::time_point since) const;

 private:
  void CheckAnswer(const std::string& id, const request_record& request,
                   const net::http_result& result);
  /** The gateway was left alone for long enough before `since`, and since. */
  bool WasCalm(int gateway, core::time_point since) const;
  void CheckRepeats();

  int events_;
  std::map<std::string, request_record> requests_;
  std::map<std::string, core::time_point> leaving_;
  std::map<int, core::time_point> gateway_disturbed_;
  core::time_point store_disturbed_;
  core::time_point endpoints_disturbed_;
  /** Runs of each service by time; true for repeats. */
  std::map<std::string, std::vector<std::pair<core::time_point, bool>>> runs_;
  std::map<std::string, std::vector<core::time_point>> sent_;
  int runs_after_caller_left_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace comfreyspring::soak
