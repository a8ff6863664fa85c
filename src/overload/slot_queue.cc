#include "overload/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace comfreyspring::overload {
namespace {

/** Assumed time of a request before the first answer of its endpoint. */
constexpr double kInitialRunTimeMs = 80.0;
/** Weight of a new sample in the means of an endpoint. */
constexpr double kSmoothing = 0.1;
/**
 * Share of the slots that may run in addition: with answers that take 60 ms, it
 * keeps the slots busy if the next request arrives within 20 ms.
 */
constexpr double kReserveShare = 1.0 / 3.0;
/** Factor on the allowed number when an endpoint turns a request away. */
constexpr double kTurnedAwayFactor = 0.7;
/** The same when its answers slow down. */
constexpr double kSlowFactor = 0.9;
/** An endpoint slows down when its mean exceeds its best mean by this factor.
 */
constexpr double kSlowRatio = 2.0;
/**
 * Increase of the best mean per answer, so that an endpoint that stays slower
 * for about 200 answers gets its full number again.
 */
constexpr double kBestRunTimeGrowth = 1.005;
/** Share of slots that remain allowed at an endpoint that only slows down. */
constexpr double kSlowFloor = 0.5;
/** Failure share that is not held against an endpoint. */
constexpr double kToleratedFailureShare = 0.2;
/** As short as gateways remember failures (see `endpoint_results`). */
constexpr double kFailureHalfLifeMs = 3000.0;
/** Failures in a row after which an endpoint is paused. */
constexpr int kFailuresUntilPause = 4;
constexpr core::milliseconds kFirstPause{100};
/** The pause doubles this often, up to 800 ms. */
constexpr int kMaximumPauseDoublings = 3;
/**
 * Share of the rate that late requests are assumed to get in the near future
 * while requests that can be on time use up the rest: bursts end. With 0.2, the
 * replay of bursts refuses 664 requests, with 0.4 only 150; with 0.7, requests
 * that are refused in the end wait longer for little more gain.
 */
constexpr double kLateShare = 0.5;
/**
 * A waiting request is refused when this share of its estimated wait exceeds
 * its time, since estimates may be too high.
 */
constexpr double kWaitTolerance = 0.5;
/** Window of the arrival rate; shorter than the bursts, which last seconds. */
constexpr core::milliseconds kArrivalHalfLife{500};
/** Longer than the time between two asks of a busy service. */
constexpr core::milliseconds kListingRetention{5000};
constexpr core::milliseconds kServiceRetention{60'000};
/** A gateway reports the end of a run soon after its deadline. */
constexpr core::milliseconds kPermitMargin{1000};
/** Limits the work per decision; 7 s of service at 300 requests a second. */
constexpr std::size_t kMaximumWaiting = 2048;
constexpr core::milliseconds kMinimumRetryAfter{100};
constexpr core::milliseconds kMaximumRetryAfter{4000};
/** Without endpoints, the wait is until one of them returns. */
constexpr core::milliseconds kWaitWithoutEndpoint{1000};

core::milliseconds FromDouble(double milliseconds) {
  return core::milliseconds(std::llround(std::min(milliseconds, 1e7)));
}

double ToDouble(core::microseconds time) {
  return static_cast<double>(time.count()) / 1e3;
}

double Ceiling(std::size_t slots) {
  return static_cast<double>(slots) +
         std::max(1.0, std::floor(kReserveShare * static_cast<double>(slots)));
}

}  // namespace

// Estimates.

double slot_queue::FailureShare(const endpoint_state& endpoint,
                                core::time_point now) {
  if (endpoint.failure_share <= 0.0) return 0.0;
  return endpoint.failure_share *
         std::exp2(-ToDouble(now - endpoint.judged_at) / kFailureHalfLifeMs);
}

std::size_t slot_queue::Capacity(const endpoint_state& endpoint,
                                 core::time_point now) {
  if (now < endpoint.paused_until) return 0;
  if (endpoint.failures_in_row >= kFailuresUntilPause) return 1;
  const double failed = FailureShare(endpoint, now);
  const double share = failed > kToleratedFailureShare ? 1.0 - failed : 1.0;
  return static_cast<std::size_t>(
      std::max(1.0, std::floor(endpoint.allowed * share)));
}

slot_queue::service_speed slot_queue::SpeedOf(const service_state& service,
                                              core::time_point now) {
  service_speed speed;
  for (const auto& [id, endpoint] : service.endpoints) {
    const std::size_t capacity = Capacity(endpoint, now);
    if (capacity == 0) continue;
    // The oldest run shows that an endpoint hangs before any run ends.
    double run_time = endpoint.run_time_ms;
    if (!endpoint.permitted_at.empty()) {
      run_time =
          std::max(run_time, ToDouble(now - *endpoint.permitted_at.begin()) -
                                 2.0 * endpoint.deviation_ms);
    }
    const double rate = static_cast<double>(capacity) * 1e3 / run_time;
    const double likely = endpoint.run_time_ms + 2.0 * endpoint.deviation_ms;
    speed.run_time_ms += rate * likely;
    speed.rate += rate;
  }
  speed.run_time_ms =
      speed.rate > 0.0 ? speed.run_time_ms / speed.rate : kInitialRunTimeMs;
  return speed;
}

bool slot_queue::IsLate(const slot_request& request, const service_speed& speed,
                        core::time_point now) {
  return now + FromDouble(speed.run_time_ms) > request.answer_due;
}

bool slot_queue::ComesBefore(const slot_request& left,
                             const slot_request& right,
                             const service_speed& speed, core::time_point now) {
  const auto rank = [&](const slot_request& request) {
    const bool is_late = IsLate(request, speed, now);
    return std::tuple(request.priority, is_late,
                      is_late ? request.deadline : request.answer_due,
                      request.key);
  };
  return rank(left) < rank(right);
}

core::milliseconds slot_queue::WaitFor(std::size_t ahead, bool is_late,
                                       int priority,
                                       const service_state& service,
                                       const service_speed& speed,
                                       core::time_point now) {
  if (speed.rate <= 0.0) return kWaitWithoutEndpoint;
  double rate = speed.rate;
  if (is_late) {
    // Requests that arrive later and can be on time go first.
    for (const auto& [other, arrivals] : service.arrivals) {
      if (other <= priority) rate -= arrivals.PerSecond(now);
    }
    rate = std::max(rate, kLateShare * speed.rate);
  }
  return FromDouble(static_cast<double>(ahead + 1) * 1e3 / rate);
}

bool slot_queue::HasFree(const service_state& service, core::time_point now) {
  return std::any_of(service.endpoints.begin(), service.endpoints.end(),
                     [&](const auto& entry) {
                       return entry.second.running <
                              Capacity(entry.second, now);
                     });
}

std::optional<std::size_t> slot_queue::FreeCandidate(
    const service_state& service, const slot_request& request,
    core::time_point now) {
  std::optional<std::size_t> best;
  double lowest = 0.0;
  for (std::size_t index = 0; index < request.candidates.size(); ++index) {
    const slot_candidate& each = request.candidates[index];
    const auto found = service.endpoints.find(each.endpoint);
    if (!each.is_usable || found == service.endpoints.end()) continue;
    const endpoint_state& endpoint = found->second;
    if (endpoint.running >= Capacity(endpoint, now)) continue;
    // Expected time: requests beyond the slots wait at the endpoint.
    const double turns = static_cast<double>(endpoint.running + 1) /
                         static_cast<double>(endpoint.slots);
    const double cost = endpoint.run_time_ms * turns /
                        std::max(0.05, 1.0 - FailureShare(endpoint, now));
    if (best && cost >= lowest) continue;
    best = index;
    lowest = cost;
  }
  return best;
}

// Requests.

void slot_queue::NoteListed(service_state& service, const slot_request& request,
                            core::time_point now) {
  for (const slot_candidate& each : request.candidates) {
    const auto [position, inserted] =
        service.endpoints.try_emplace(each.endpoint);
    endpoint_state& endpoint = position->second;
    endpoint.listed_at = now;
    if (!inserted && endpoint.slots == each.slots) continue;
    endpoint.slots = std::max<std::size_t>(1, each.slots);
    endpoint.allowed = Ceiling(endpoint.slots);
    if (inserted) endpoint.run_time_ms = kInitialRunTimeMs;
  }
}

slot_queue::actions slot_queue::OnRequest(slot_request request,
                                          core::time_point now) {
  actions out;
  if (stopping_) {
    out.push_back(slot_refusal{request.key, slot_refusal_reason::stopping});
    return out;
  }
  const core::service_id id = request.service;
  service_state& service = services_[id];
  service.used_at = now;
  request.received_at = now;
  NoteListed(service, request, now);
  service.arrivals
      .try_emplace(request.priority, adapters::decayed_value(kArrivalHalfLife))
      .first->second.Add(1.0, now);
  if (!HasFree(service, now)) {
    const service_speed speed = SpeedOf(service, now);
    const auto ahead = static_cast<std::size_t>(
        std::count_if(service.waiting.begin(), service.waiting.end(),
                      [&](const slot_request& other) {
                        return ComesBefore(other, request, speed, now);
                      }));
    auto wait = WaitFor(ahead, false, request.priority, service, speed, now);
    if (IsLate(request, speed, now + wait)) {
      // It will be in the order of late requests by then.
      const auto late_ahead = static_cast<std::size_t>(
          std::count_if(service.waiting.begin(), service.waiting.end(),
                        [&](const slot_request& other) {
                          return other.priority <= request.priority;
                        }));
      wait = WaitFor(late_ahead, true, request.priority, service, speed, now);
    }
    if (now + wait + FromDouble(speed.run_time_ms) > request.deadline) {
      Refuse(request, slot_refusal_reason::wait_too_long, wait, service, now,
             out);
      return out;
    }
  }
  service.waiting.push_back(std::move(request));
  Serve(id, service, now, out);
  if (service.waiting.size() > kMaximumWaiting) {
    const service_speed speed = SpeedOf(service, now);
    const auto last = std::max_element(
        service.waiting.begin(), service.waiting.end(),
        [&](const slot_request& left, const slot_request& right) {
          return ComesBefore(left, right, speed, now);
        });
    const slot_request least = std::move(*last);
    service.waiting.erase(last);
    Refuse(least, slot_refusal_reason::queue_full,
           WaitFor(service.waiting.size(), false, least.priority, service,
                   speed, now),
           service, now, out);
  }
  return out;
}

void slot_queue::Refuse(const slot_request& request, slot_refusal_reason reason,
                        core::milliseconds wait, service_state& service,
                        core::time_point now, actions& out) {
  const auto longest = std::clamp(request.maximum_retry_after,
                                  kMinimumRetryAfter, kMaximumRetryAfter);
  const double rate = std::max(1.0, SpeedOf(service, now).rate);
  auto due = std::max(now + kMinimumRetryAfter, service.next_return_at);
  // Beyond the schedule, callers are told the longest time.
  due = std::min(due, now + longest);
  service.next_return_at = due + core::microseconds(std::llround(1e6 / rate));
  out.push_back(
      slot_refusal{request.key, reason, core::ToMilliseconds(due - now), wait});
}

void slot_queue::Serve(const core::service_id& id, service_state& service,
                       core::time_point now, actions& out) {
  const service_speed speed = SpeedOf(service, now);
  while (!service.waiting.empty() && HasFree(service, now)) {
    const slot_request* best = nullptr;
    std::size_t best_candidate = 0;
    for (const slot_request& each : service.waiting) {
      if (best != nullptr && !ComesBefore(each, *best, speed, now)) continue;
      const auto candidate = FreeCandidate(service, each, now);
      if (!candidate) continue;
      best = &each;
      best_candidate = *candidate;
    }
    if (best == nullptr) return;
    const auto& chosen = best->candidates[best_candidate].endpoint;
    endpoint_state& endpoint = service.endpoints.at(chosen);
    ++endpoint.running;
    endpoint.permitted_at.insert(now);
    permits_[best->key] = {id, chosen, now, best->deadline};
    out.push_back(slot_permit{best->key, best_candidate,
                              core::ToMilliseconds(now - best->received_at)});
    service.waiting.erase(service.waiting.begin() +
                          (best - service.waiting.data()));
  }
}

void slot_queue::RefuseHopeless(service_state& service, core::time_point now,
                                actions& out) {
  if (service.waiting.empty()) return;
  const service_speed speed = SpeedOf(service, now);
  std::sort(service.waiting.begin(), service.waiting.end(),
            [&](const slot_request& left, const slot_request& right) {
              return ComesBefore(left, right, speed, now);
            });
  std::vector<slot_request> kept;
  for (slot_request& each : service.waiting) {
    const auto wait = WaitFor(kept.size(), IsLate(each, speed, now),
                              each.priority, service, speed, now);
    const auto least = FromDouble(
        kWaitTolerance * static_cast<double>(wait.count()) + speed.run_time_ms);
    if (now + least > each.deadline) {
      Refuse(each, slot_refusal_reason::wait_expired, wait, service, now, out);
    } else {
      kept.push_back(std::move(each));
    }
  }
  service.waiting = std::move(kept);
}

// The ends of runs.

slot_queue::actions slot_queue::OnWithdrawn(const core::request_key& key,
                                            core::time_point now) {
  for (auto& [id, service] : services_) {
    std::erase_if(service.waiting,
                  [&](const slot_request& each) { return each.key == key; });
  }
  return OnReleased(key, slot_result::unused, now);
}

slot_queue::actions slot_queue::OnReleased(const core::request_key& key,
                                           slot_result result,
                                           core::time_point now) {
  actions out;
  const auto found = permits_.find(key);
  if (found != permits_.end()) Free(found, result, now, out);
  return out;
}

void slot_queue::Free(std::map<core::request_key, permit>::iterator position,
                      slot_result result, core::time_point now, actions& out) {
  const permit ended = std::move(position->second);
  permits_.erase(position);
  const auto service = services_.find(ended.service);
  if (service == services_.end()) return;
  const auto found = service->second.endpoints.find(ended.endpoint);
  if (found != service->second.endpoints.end()) {
    endpoint_state& endpoint = found->second;
    --endpoint.running;
    endpoint.permitted_at.erase(endpoint.permitted_at.find(ended.issued_at));
    if (result == slot_result::answered) {
      OnAnswered(service->second, endpoint, ToDouble(now - ended.issued_at),
                 now);
    } else if (result != slot_result::unused) {
      OnFailed(endpoint, result, now);
    }
  }
  Serve(ended.service, service->second, now, out);
}

void slot_queue::OnAnswered(service_state& service, endpoint_state& endpoint,
                            double run_time_ms, core::time_point now) {
  endpoint.failure_share = (1.0 - kSmoothing) * FailureShare(endpoint, now);
  endpoint.judged_at = now;
  if (endpoint.failures_in_row >= kFailuresUntilPause) {
    endpoint.allowed = std::max(1.0, 0.5 * static_cast<double>(endpoint.slots));
  }
  endpoint.failures_in_row = 0;
  endpoint.deviation_ms +=
      kSmoothing *
      (std::abs(run_time_ms - endpoint.run_time_ms) - endpoint.deviation_ms);
  endpoint.run_time_ms += kSmoothing * (run_time_ms - endpoint.run_time_ms);
  endpoint.best_run_time_ms =
      endpoint.best_run_time_ms <= 0.0
          ? endpoint.run_time_ms
          : std::min(endpoint.best_run_time_ms * kBestRunTimeGrowth,
                     endpoint.run_time_ms);
  if (endpoint.run_time_ms > kSlowRatio * endpoint.best_run_time_ms) {
    if (now - endpoint.reduced_at < FromDouble(endpoint.run_time_ms)) return;
    endpoint.reduced_at = now;
    endpoint.allowed = std::max(
        std::max(1.0, kSlowFloor * static_cast<double>(endpoint.slots)),
        endpoint.allowed * kSlowFactor);
    return;
  }
  // Only an endpoint that is in demand shows that it can take more.
  const double running = static_cast<double>(endpoint.running + 1);
  if (service.waiting.empty() && running < std::floor(endpoint.allowed)) return;
  const double slots = static_cast<double>(endpoint.slots);
  endpoint.allowed =
      std::min(Ceiling(endpoint.slots),
               endpoint.allowed +
                   (endpoint.allowed < slots ? 0.5 : 1.0 / endpoint.allowed));
}

void slot_queue::OnFailed(endpoint_state& endpoint, slot_result result,
                          core::time_point now) {
  ++endpoint.failures_in_row;
  if (result == slot_result::failed) {
    const double share = FailureShare(endpoint, now);
    endpoint.failure_share = share + kSmoothing * (1.0 - share);
    endpoint.judged_at = now;
  } else if (now - endpoint.reduced_at >= FromDouble(endpoint.run_time_ms)) {
    // Once per run: those that were sent before this are no further news.
    endpoint.reduced_at = now;
    endpoint.allowed = std::max(1.0, endpoint.allowed * kTurnedAwayFactor);
  }
  if (endpoint.failures_in_row < kFailuresUntilPause) return;
  const int doublings = std::min(endpoint.failures_in_row - kFailuresUntilPause,
                                 kMaximumPauseDoublings);
  endpoint.paused_until = now + kFirstPause * (1 << doublings);
}

slot_queue::actions slot_queue::OnLinkLost(std::uint64_t link,
                                           core::time_point now) {
  actions out;
  for (auto& [id, service] : services_) {
    std::erase_if(service.waiting, [&](const slot_request& each) {
      return each.key.link == link;
    });
  }
  for (auto position = permits_.lower_bound({link, 0});
       position != permits_.end() && position->first.link == link;) {
    const auto next = std::next(position);
    Free(position, slot_result::unused, now, out);
    position = next;
  }
  return out;
}

slot_queue::actions slot_queue::OnStopping(core::time_point /*now*/) {
  actions out;
  stopping_ = true;
  for (auto& [id, service] : services_) {
    for (const slot_request& each : std::exchange(service.waiting, {})) {
      out.push_back(slot_refusal{each.key, slot_refusal_reason::stopping});
    }
  }
  return out;
}

slot_queue::actions slot_queue::OnTick(core::time_point now) {
  actions out;
  std::vector<core::request_key> expired;
  for (const auto& [key, each] : permits_) {
    if (now > each.deadline + kPermitMargin) expired.push_back(key);
  }
  for (const core::request_key& key : expired) {
    Free(permits_.find(key), slot_result::unused, now, out);
  }
  for (auto& [id, service] : services_) {
    Serve(id, service, now, out);
    RefuseHopeless(service, now, out);
    std::erase_if(service.endpoints, [&](const auto& entry) {
      return entry.second.running == 0 &&
             now - entry.second.listed_at > kListingRetention;
    });
  }
  std::erase_if(services_, [&](const auto& entry) {
    return entry.second.waiting.empty() &&
           now - entry.second.used_at > kServiceRetention;
  });
  return out;
}

// State.

bool slot_queue::IsWaiting(const core::request_key& key) const {
  return std::any_of(
      services_.begin(), services_.end(), [&](const auto& entry) {
        const auto& waiting = entry.second.waiting;
        return std::any_of(
            waiting.begin(), waiting.end(),
            [&](const slot_request& each) { return each.key == key; });
      });
}

std::size_t slot_queue::Waiting() const {
  std::size_t count = 0;
  for (const auto& [id, service] : services_) count += service.waiting.size();
  return count;
}

std::vector<slot_queue::endpoint_load> slot_queue::Endpoints(
    core::time_point now) const {
  std::vector<endpoint_load> result;
  for (const auto& [id, service] : services_) {
    for (const auto& [name, endpoint] : service.endpoints) {
      result.push_back(
          {id, name, endpoint.slots, endpoint.running, Capacity(endpoint, now),
           FromDouble(endpoint.run_time_ms), FailureShare(endpoint, now),
           now < endpoint.paused_until});
    }
  }
  return result;
}

}  // namespace comfreyspring::overload
