#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "arrival_record.h"
#include "core/time.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace comfreyspring::soak {

/** Retries allowed per service, as a share of its requests in a window. */
constexpr double kRetryRatio = 0.2;
/** Retries allowed per service and window in addition to the share. */
constexpr double kRetryBudgetExtra = 10;
/** Length of the sliding window in which retries are counted. */
constexpr core::seconds kRetryBudgetWindow{10};

/** How much shorter than the callers' deadlines the routes' timeouts may be. */
constexpr core::milliseconds kTimeoutReduction{200};

/** Requests with a deadly prompt that may reach engines after the bound. */
constexpr int kDeadlyRequestsAllowed = 3;

/** What may have kept a request from being answered, gravest first. */
enum class crossing {
  /** Its gateway was killed or suspended. */
  killed,
  /** A link was cut, reset, delayed or silenced. */
  cut,
  /** An endpoint ended or broke off answers. */
  engine_failed,
  /** A process was stopped. */
  stopped,
  /** The settings of a process were changed. */
  hung_up,
  configuration_changed,
  /** An engine fell silent for a moment. */
  engine_silent,
};
/** A fault's or change's name and extent. */
struct crossing_span {
  crossing what = crossing::killed;
  /** Unset if it affects the requests of all gateways. */
  std::optional<int> gateway;
  core::time_point begin;
  core::time_point end;
};

/** A kind of request that the callers of the soak make. */
struct request_kind {
  std::string route;
  std::string path;
  std::string service;
  bool streams = false;
  bool may_retry = false;
  /** For a probe: the version of the configuration that has added the route. */
  std::int64_t version = 0;
};

/** A caller's request and its result. */
struct request_record {
  const request_kind* kind = nullptr;
  int gateway = 0;
  std::string target;
  std::string body;
  std::string model;
  core::time_point sent_at;
  core::milliseconds deadline{0};
  /** Its prompt ends the engines that begin to answer it. */
  bool deadly = false;
  /**
   * It ends engines whenever it comes again: same for all its repeats, which
   * have the same path, prompt and body.
   */
  std::optional<std::string> repeated;
  std::optional<core::time_point> cancelled_at;
  std::optional<core::time_point> answered_at;
  int status = 0;
  /** The whole answer has arrived. */
  bool complete = false;
  /** It has reached an endpoint. */
  bool arrived = false;
  int runs = 0;
  std::vector<std::string> instances;
};

/**
 * Records what callers and endpoints observe and checks the guarantees against
 * it. It tracks when faults last affected each gateway, because time bounds
 * apply only to gateways that have been free of faults for long enough.
 */
class promise_record {
 public:
  explicit promise_record(int events) : events_(events) {}

  // Observations.

  void Sent(const std::string& id, request_record request);
  void Cancelled(const std::string& id, core::time_point now);
  void Answered(const std::string& id, const net::http_result& result,
                core::time_point now);
  void Ran(const net::http_request& request, const std::string& service,
           const std::string& instance, core::time_point now);
  /** Reports a violation if the run ended too long after its cancellation. */
  void RunEnded(const std::string& id, core::time_point now);
  bool IsAnswered(const std::string& id) const {
    return requests_.at(id).answered_at.has_value();
  }
  /** The store has acknowledged that the instance is leaving the fleet. */
  void Leaving(const std::string& instance, core::time_point now);
  /** A fault that excuses missed time bounds. */
  void GatewayDisturbed(int gateway, core::time_point until);
  /** The gateway is restarted, suspended or cut off. */
  void GatewayInterrupted(int gateway, core::time_point until);
  void StoreDisturbed(core::time_point until);
  void EndpointsDisturbed(core::time_point until);
  void Violation(const std::string& what);
  /** For the counts by what crossed a request; excuses nothing by itself. */
  void Crossed(const crossing_span& span) { crossings_.push_back(span); }
  /** The store has acknowledged this version of the configuration. */
  void ConfigurationAcknowledged(std::int64_t version, core::time_point now);
  /** What was acknowledged after that time is not owed until it is again. */
  void StoreRestored(core::time_point copied_at);
  /** Newest version that has to be in force; 0 if there is none. */
  std::int64_t VersionInForce(core::time_point now) const;
  /** The endpoint names this request rate limit; nothing: it names none. */
  void LimitSet(const std::string& instance, std::optional<double> per_second,
                core::time_point now);
  /** A response to this request names the limit. */
  void LimitNamed(const std::string& id, const std::string& instance,
                  core::time_point now);
  /** A request has ended its engine. */
  /** The request has ended the engine that ran it. */
  void EngineCrashed(const std::string& id, core::time_point now);
  /** The VM of this engine stands still from now on. */
  void VmSuspended(const std::string& instance, core::time_point now);
  void VmResumed(const std::string& instance) { suspended_.erase(instance); }
  /** A request has arrived at an endpoint, whether or not it runs there. */
  void Arrived(const std::string& id, const std::string& instance,
               core::time_point now);

  // Results.

  /**
   * Checks the guarantees that cover the whole run. Call it once.
   * @param never_sent whether a request got lost on a connection that had gone
   *     silent between its caller and its gateway.
   */
  void CheckWholeRun(core::time_point now,
                     const std::function<bool(const std::string& id,
                                              int gateway)>& never_sent);
  /**
   * Reports whole requests that ended with neither an answer nor a refusal,
   * unless a gateway was killed, a link cut or an engine failed.
   */
  void CheckLostRequests();
  /** Answers, refusals and neither, by what crossed the request. */
  std::string CrossingCounts() const;
  const std::vector<std::string>& Violations() const { return violations_; }
  /** Span with the most requests relative to the limit of its endpoint. */
  std::optional<process_test::arrival_record::span> WorstSpan() const {
    return worst_span_;
  }
  /** Human-readable counts by route and status. */
  std::string Summary() const;
  /**
   * Share of requests sent since `since` that were answered with 200, without
   * those that end engines.
   */
  double ServedShare(core::time_point since) const;

 private:
  using deadly_runs = std::vector<std::pair<core::time_point, bool>>;

  void CheckAnswer(const std::string& id, const request_record& request,
                   const net::http_result& result);
  /** True if no fault affected the gateway from shortly before `since` on. */
  bool WasFaultFree(int gateway, core::time_point since) const;
  void CheckSuspension(const request_record& request,
                       const std::string& instance, core::time_point now);
  void CheckRetryBudget();
  void CheckRequestLimits(core::time_point now);
  void CheckDeadlyRequests();
  /** Few runs may follow, some time after that many crashes. */
  void CheckRunsAfter(const deadly_runs& runs,
                      const std::vector<core::time_point>& crashes,
                      std::size_t crashes_before, const std::string& what);
  bool MustBeInForce(std::int64_t version, const request_record& request) const;
  /** The gravest thing that crossed the request; nullopt for none. */
  std::optional<crossing> CrossingOf(const request_record& request) const;

  int events_;
  std::map<std::string, request_record> requests_;
  std::map<std::string, core::time_point> leaving_;
  struct suspension {
    core::time_point since;
    /** Requests that arrived when the VM was known to be silent. */
    int arrivals = 0;
  };
  /** By the instance of the engine. */
  std::map<std::string, suspension> suspended_;
  std::vector<crossing_span> crossings_;
  /** When each version of the configuration was acknowledged last. */
  std::map<std::int64_t, core::time_point> configured_;
  std::map<int, core::time_point> gateway_disturbed_;
  core::time_point store_disturbed_;
  core::time_point endpoints_disturbed_;
  /** Times of the runs of each service; true marks a retry. */
  std::map<std::string, std::vector<std::pair<core::time_point, bool>>> runs_;
  std::map<std::string, std::vector<core::time_point>> sent_;
  process_test::arrival_record arrivals_;
  /** When each gateway was last interrupted, or will have been. */
  std::map<int, core::time_point> interrupted_;
  std::vector<core::time_point> crashes_;
  /** Runs of deadly requests, and whether their gateway was undisturbed. */
  deadly_runs deadly_runs_;
  /** The same for each of the requests that come again. */
  std::map<std::string, std::vector<core::time_point>> repeated_crashes_;
  std::map<std::string, deadly_runs> repeated_runs_;
  std::optional<process_test::arrival_record::span> worst_span_;
  /** Requests that were answered after their deadline. */
  std::vector<std::string> late_;
  /** Requests that no gateway has got. */
  std::set<std::string> never_sent_;
  int runs_after_cancellation_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace comfreyspring::soak
