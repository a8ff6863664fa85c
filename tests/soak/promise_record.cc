#include "promise_record.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "engine_stand_in.h"

namespace comfreyspring::soak {
namespace {

using core::milliseconds;

/** Time without faults after which time bounds apply (StableMs). */
constexpr milliseconds kFaultFreeTime{3000};
/** Tolerance after a request's deadline and after its cancellation. */
constexpr milliseconds kSlack{500};
/** Counted from the store's acknowledgement of the removal (DrainMs). */
constexpr milliseconds kDrainTime{2000};
/** Time within which a configuration is in force (ConfigApplyMs). */
constexpr milliseconds kConfigurationBound{2000};
/** A request that was lost earlier may not have been read (LossSlackMs). */
constexpr milliseconds kLossSlack{200};
/** Cancelled requests that may still reach an endpoint late. */
constexpr int kMaxRunsAfterCancellation = 3;
/** Gateways know by then that a VM does not answer grant requests. */
constexpr milliseconds kSilenceNoticed{700};
constexpr int kMaxArrivalsAtSilentVm = 2;
/** Crashes after which deadly prompts must be known. */
constexpr std::size_t kCrashesBeforeBound = 5;
/** Crashes after which a request that comes again must be known. */
constexpr std::size_t kCrashesOfRequest = 3;

bool GuaranteesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

const char* ToString(crossing what) {
  switch (what) {
    case crossing::killed:
      return "kill";
    case crossing::cut:
      return "cut";
    case crossing::engine_failed:
      return "engine failure";
    case crossing::stopped:
      return "stop";
    case crossing::hung_up:
      return "hangup";
    case crossing::configuration_changed:
      return "change";
    case crossing::engine_silent:
      return "silence";
  }
  return "unknown";
}

std::string ExpectedBody(const std::string& id, const request_kind& kind,
                         int events) {
  if (!kind.streams) return process_test::PlainText(id);
  std::string text;
  for (int event = 1; event <= events; ++event) {
    text += process_test::EventText(id, event);
  }
  return text;
}

}  // namespace

void promise_record::Sent(const std::string& id, request_record request) {
  sent_[request.kind->service].push_back(request.sent_at);
  requests_[id] = std::move(request);
}

void promise_record::Cancelled(const std::string& id, core::time_point now) {
  requests_.at(id).cancelled_at = now;
}

void promise_record::Answered(const std::string& id,
                              const net::http_result& result,
                              core::time_point now) {
  request_record& request = requests_.at(id);
  request.answered_at = now;
  request.status = result.status;
  request.complete = result.failure == net::http_failure::none;
  CheckAnswer(id, request, result);
  if (now > request.sent_at + request.deadline + kSlack &&
      WasFaultFree(request.gateway, request.sent_at)) {
    late_.push_back(id);
  }
}

void promise_record::CheckAnswer(const std::string& id,
                                 const request_record& request,
                                 const net::http_result& result) {
  if (result.failure != net::http_failure::none) return;
  const int status = result.status;
  if (status >= 200 && status < 300) {
    const auto stamp = result.headers.find("server-stamp");
    const auto echo = result.headers.find("request-id");
    if (stamp == result.headers.end() || echo == result.headers.end() ||
        echo->second != id) {
      Violation(id + " succeeded without the response headers of its endpoint");
    }
    if (result.body != ExpectedBody(id, *request.kind, events_)) {
      Violation(id + " succeeded with an unexpected body: " + result.body);
    }
  } else if (GuaranteesNotRun(status)) {
    if (!request.deadly &&
        result.body.find("prompt_quarantined") != std::string::npos) {
      Violation(id + " was refused for a part of its prompt that is sound");
    }
    if (!request.kind->may_retry && request.runs > 0) {
      Violation(id + " was answered " + std::to_string(status) +
                " although it has run");
    }
  } else if (status == 404 && request.kind->version > 0) {
    if (MustBeInForce(request.kind->version, request)) {
      Violation(id + ": version " + std::to_string(request.kind->version) +
                " of the configuration is not in force at gateway " +
                std::to_string(request.gateway));
    }
  } else if (status < 500 || status > 599) {
    Violation(id + " was rejected with " + std::to_string(status) + ": " +
              result.body);
  }
}

void promise_record::Ran(const net::http_request& seen,
                         const std::string& service,
                         const std::string& instance, core::time_point now) {
  const std::string id = seen.headers.at("request-id");
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    Violation(id + " ran although no caller sent it");
    return;
  }
  request_record& request = found->second;
  ++request.runs;
  if (request.deadly) {
    const auto interrupted = interrupted_.find(request.gateway);
    const bool is_undisturbed = interrupted == interrupted_.end() ||
                                interrupted->second + kFaultFreeTime < now;
    auto& runs =
        request.repeated ? repeated_runs_[*request.repeated] : deadly_runs_;
    runs.emplace_back(now, is_undisturbed);
  }
  runs_[service].emplace_back(now, request.runs > 1);
  if (std::find(request.instances.begin(), request.instances.end(), instance) ==
      request.instances.end()) {
    request.instances.push_back(instance);
  }
  const auto model = seen.headers.find("model");
  if (seen.target != request.target || seen.body != request.body ||
      (model == seen.headers.end() ? "" : model->second) != request.model) {
    Violation(id + " was modified on the way to its endpoint");
  }
  if (service != request.kind->service) {
    Violation(id + " was run by service " + service);
  }
  if (request.runs > 1 && !request.kind->may_retry) {
    Violation(id + " ran more than once");
  }
  if (!request.kind->may_retry && GuaranteesNotRun(request.status)) {
    Violation(id + " ran after it was answered " +
              std::to_string(request.status));
  }
  const bool is_fault_free =
      WasFaultFree(request.gateway, now - kFaultFreeTime);
  if (request.cancelled_at && now > *request.cancelled_at + kSlack &&
      is_fault_free) {
    ++runs_after_cancellation_;
  }
  const auto left = leaving_.find(instance);
  if (left != leaving_.end() && now > left->second + kDrainTime &&
      is_fault_free && now > store_disturbed_ + kFaultFreeTime) {
    Violation(id + " reached " + instance +
              " after the drain time of that instance");
  }
}

void promise_record::RunEnded(const std::string& id, core::time_point now) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.cancelled_at) return;
  const request_record& request = found->second;
  if (now > *request.cancelled_at + kSlack + kSlack &&
      request.kind->may_retry &&
      WasFaultFree(request.gateway, *request.cancelled_at) &&
      now > endpoints_disturbed_ + kFaultFreeTime) {
    Violation(id + " kept running after its caller had cancelled it");
  }
}

void promise_record::Leaving(const std::string& instance,
                             core::time_point now) {
  leaving_.emplace(instance, now);
}

void promise_record::ConfigurationAcknowledged(std::int64_t version,
                                               core::time_point now) {
  configured_.emplace(version, now);
}

void promise_record::StoreRestored(core::time_point copied_at) {
  const auto is_lost = [copied_at](const auto& acknowledged) {
    return acknowledged.second > copied_at;
  };
  std::erase_if(leaving_, is_lost);
  std::erase_if(configured_, is_lost);
}

std::int64_t promise_record::VersionInForce(core::time_point now) const {
  std::int64_t newest = 0;
  for (const auto& [version, acknowledged_at] : configured_) {
    if (now - acknowledged_at > kConfigurationBound) newest = version;
  }
  return newest;
}

bool promise_record::MustBeInForce(std::int64_t version,
                                   const request_record& request) const {
  const auto found = configured_.find(version);
  return found != configured_.end() &&
         found->second + kConfigurationBound < request.sent_at &&
         store_disturbed_ + kFaultFreeTime < request.sent_at &&
         WasFaultFree(request.gateway, request.sent_at);
}

std::optional<crossing> promise_record::CrossingOf(
    const request_record& request) const {
  std::optional<crossing> gravest;
  for (const crossing_span& span : crossings_) {
    const bool is_disruption = span.what <= crossing::engine_failed;
    const auto since =
        request.sent_at - (is_disruption ? kFaultFreeTime : milliseconds(0));
    const auto until =
        request.answered_at.value_or(request.sent_at + request.deadline);
    if ((!span.gateway || *span.gateway == request.gateway) &&
        span.end >= since && span.begin <= until) {
      gravest = std::min(gravest.value_or(span.what), span.what);
    }
  }
  return gravest;
}

void promise_record::CheckLostRequests() {
  for (const auto& [id, request] : requests_) {
    if (request.complete || request.cancelled_at) continue;
    const auto what = CrossingOf(request);
    if (what && *what <= crossing::engine_failed) continue;
    const auto ended =
        request.answered_at.value_or(request.sent_at + request.deadline);
    const auto lasted = core::ToMilliseconds(ended - request.sent_at);
    const bool was_read = request.arrived || lasted > kLossSlack;
    if (!was_read || lasted >= request.deadline - kTimeoutReduction) continue;
    Violation(id + " on " + request.kind->route + " at gateway " +
              std::to_string(request.gateway) + " ended after " +
              std::to_string(lasted.count()) +
              " ms with neither an answer nor a refusal, beside " +
              (what ? ToString(*what) : "nothing"));
  }
}

std::string promise_record::CrossingCounts() const {
  struct counts {
    int answers = 0;
    int refusals = 0;
    int neither = 0;
  };
  std::map<std::string, counts> by_crossing;
  for (const auto& [id, request] : requests_) {
    if (request.cancelled_at) continue;
    const auto what = CrossingOf(request);
    counts& found = by_crossing[what ? ToString(*what) : "nothing"];
    ++(!request.complete                  ? found.neither
       : GuaranteesNotRun(request.status) ? found.refusals
                                          : found.answers);
  }
  std::ostringstream text;
  for (const auto& [name, found] : by_crossing) {
    text << "crossed by " << name << ": " << found.answers << " answers, "
         << found.refusals << " refusals, " << found.neither << " neither\n";
  }
  return text.str();
}

void promise_record::GatewayDisturbed(int gateway, core::time_point until) {
  auto& latest = gateway_disturbed_[gateway];
  latest = std::max(latest, until);
}

void promise_record::GatewayInterrupted(int gateway, core::time_point until) {
  arrivals_.GatewayDisturbed(gateway, until);
  auto& latest = interrupted_[gateway];
  latest = std::max(latest, until);
}

void promise_record::StoreDisturbed(core::time_point until) {
  store_disturbed_ = std::max(store_disturbed_, until);
}

void promise_record::EndpointsDisturbed(core::time_point until) {
  endpoints_disturbed_ = std::max(endpoints_disturbed_, until);
}

void promise_record::Violation(const std::string& what) {
  violations_.push_back(what);
}

void promise_record::LimitSet(const std::string& instance,
                              std::optional<double> per_second,
                              core::time_point now) {
  arrivals_.LimitSet(instance, per_second, now);
}

void promise_record::LimitNamed(const std::string& id,
                                const std::string& instance,
                                core::time_point now) {
  const auto found = requests_.find(id);
  if (found != requests_.end()) {
    arrivals_.Named(instance, found->second.gateway, now);
  }
}

void promise_record::Arrived(const std::string& id, const std::string& instance,
                             core::time_point now) {
  const auto found = requests_.find(id);
  if (found != requests_.end()) {
    found->second.arrived = true;
    arrivals_.Arrived(instance, found->second.gateway, now);
    CheckSuspension(found->second, instance, now);
  }
}

void promise_record::VmSuspended(const std::string& instance,
                                 core::time_point now) {
  suspended_[instance] = {.since = now};
}

void promise_record::CheckSuspension(const request_record& request,
                                     const std::string& instance,
                                     core::time_point now) {
  const auto found = suspended_.find(instance);
  if (found == suspended_.end() ||
      now - found->second.since < kSilenceNoticed ||
      !WasFaultFree(request.gateway, found->second.since)) {
    return;
  }
  if (++found->second.arrivals == kMaxArrivalsAtSilentVm + 1) {
    Violation("more than " + std::to_string(kMaxArrivalsAtSilentVm) +
              " requests reached " + instance +
              ", whose VM had been silent for long");
  }
}

void promise_record::CheckRequestLimits(core::time_point now) {
  for (auto& span : arrivals_.WorstSpans(now)) {
    if (span.arrivals > span.allowed) {
      Violation(span.ToString() + ", although it names a limit");
    }
    if (!worst_span_ || span.Ratio() > worst_span_->Ratio()) {
      worst_span_ = std::move(span);
    }
  }
}

bool promise_record::WasFaultFree(int gateway, core::time_point since) const {
  const auto disturbed = gateway_disturbed_.find(gateway);
  return disturbed == gateway_disturbed_.end() ||
         disturbed->second + kFaultFreeTime < since;
}

void promise_record::CheckWholeRun(
    core::time_point now,
    const std::function<bool(const std::string& id, int gateway)>& never_sent) {
  for (const std::string& id : late_) {
    if (never_sent(id, requests_.at(id).gateway)) {
      never_sent_.insert(id);
    } else {
      Violation(id + " was answered after its deadline");
    }
  }
  for (const auto& [id, request] : requests_) {
    if (!request.answered_at && !request.cancelled_at &&
        now > request.sent_at + request.deadline + kSlack) {
      Violation(id + " was never answered");
    }
  }
  if (runs_after_cancellation_ > kMaxRunsAfterCancellation) {
    Violation(
        std::to_string(runs_after_cancellation_) +
        " requests reached endpoints after their callers had cancelled them");
  }
  CheckRetryBudget();
  CheckRequestLimits(now);
  CheckDeadlyRequests();
}

void promise_record::EngineCrashed(const std::string& id,
                                   core::time_point now) {
  const auto& repeated = requests_.at(id).repeated;
  (repeated ? repeated_crashes_[*repeated] : crashes_).push_back(now);
}

void promise_record::CheckDeadlyRequests() {
  CheckRunsAfter(deadly_runs_, crashes_, kCrashesBeforeBound,
                 "requests with a deadly prompt");
  for (const auto& [request, crashes] : repeated_crashes_) {
    CheckRunsAfter(repeated_runs_[request], crashes, kCrashesOfRequest,
                   "repeats of " + request);
  }
}

void promise_record::CheckRunsAfter(
    const deadly_runs& runs, const std::vector<core::time_point>& crashes,
    std::size_t crashes_before, const std::string& what) {
  if (crashes.size() < crashes_before) return;
  const auto bound = crashes[crashes_before - 1] + kFaultFreeTime;
  const auto after = std::count_if(
      runs.begin(), runs.end(),
      [&](const auto& run) { return run.first > bound && run.second; });
  if (after > kDeadlyRequestsAllowed) {
    Violation(std::to_string(after) + ' ' + what +
              " reached engines later than " +
              std::to_string(kFaultFreeTime.count()) + " ms after crash " +
              std::to_string(crashes_before) + " of " +
              std::to_string(crashes.size()));
  }
}

void promise_record::CheckRetryBudget() {
  for (const auto& [service, runs] : runs_) {
    const auto& sent = sent_[service];
    for (const auto& [end, is_retry] : runs) {
      if (!is_retry) continue;
      const auto in_window = [begin = end - kRetryBudgetWindow,
                              last = end](core::time_point time) {
        return time > begin && time <= last;
      };
      const auto retries =
          std::count_if(runs.begin(), runs.end(), [&](const auto& entry) {
            return entry.second && in_window(entry.first);
          });
      const auto requests = std::count_if(sent.begin(), sent.end(), in_window);
      const double allowed =
          kRetryRatio * static_cast<double>(requests) + kRetryBudgetExtra;
      if (static_cast<double>(retries) > allowed) {
        Violation(std::to_string(retries) + " retries at " + service +
                  " within the window, for " + std::to_string(requests) +
                  " requests");
        break;
      }
    }
  }
}

double promise_record::ServedShare(core::time_point since) const {
  int sent = 0;
  int served = 0;
  for (const auto& [id, request] : requests_) {
    if (request.sent_at < since || request.cancelled_at || request.deadly ||
        never_sent_.count(id) > 0) {
      continue;
    }
    ++sent;
    if (request.status == 200) ++served;
  }
  return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
}

std::string promise_record::Summary() const {
  std::map<std::string, std::map<int, int>> counts;
  for (const auto& [id, request] : requests_) {
    ++counts[request.deadly ? "deadly" : request.kind->route]
            [request.cancelled_at ? -1 : request.status];
  }
  std::ostringstream text;
  for (const auto& [route, statuses] : counts) {
    text << ' ' << route << ':';
    for (const auto& [status, count] : statuses) {
      text << ' ' << (status < 0 ? "left" : std::to_string(status)) << '='
           << count;
    }
  }
  if (!never_sent_.empty()) {
    text << ", lost on silent connections: " << never_sent_.size();
  }
  return text.str();
}

}  // namespace comfreyspring::soak
