#include "grants/grant_scheduler.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace comfreyspring::grants {
namespace {

/** Weight of a new sample in the long run. */
constexpr double kSmoothing = 0.1;
/**
 * Time from the grant to the first output in addition to prefill: network
 * latency and one decoding step.
 */
constexpr core::milliseconds kStartOverhead{40};
/** Held prompts are released this long before they would become late. */
constexpr core::milliseconds kHoldReserve{60};
/**
 * A granted prompt without output stops counting as pending after this time.
 */
constexpr core::milliseconds kMaximumPrefillTime{2000};
/** Share of the engine's cache that granted requests may fill. */
constexpr double kCacheShare = 0.95;
/**
 * Number of grants by priority after which the oldest request goes first, so
 * that none starves.
 */
constexpr int kGrantsPerOldest = 12;
/** Number of loads by value after which the longest wait goes first. */
constexpr int kLoadsPerOldest = 8;
/**
 * Weight of a request that can no longer meet its target, relative to one that
 * can.
 */
constexpr double kLateValue = 0.3;
/**
 * The weight store counts as congested if loads take this many times longer
 * than the initial estimate.
 */
constexpr double kCongestedFactor = 1.6;
constexpr core::milliseconds kOrderBackoff{50};
/** Successive reports of fewer orders that show a restart of the engine. */
constexpr int kReportsOfARestart = 3;
/**
 * Time until a load is retried for an adapter that the engine does not know.
 */
constexpr core::milliseconds kAdapterRetryDelay{3000};
/** Typical time until a restarted engine serves requests again. */
constexpr core::milliseconds kEngineRestartTime{1000};
/**
 * Window around the due time in which a retry is matched to its reservation.
 */
constexpr core::milliseconds kReservationEarly{100};
constexpr core::milliseconds kReservationLate{500};
constexpr std::size_t kMaximumReservations = 512;
/** Isolated requests that may wait here, each for the ones before it. */
constexpr std::size_t kMaximumIsolatedWaiting = 4;
/** Typical time from the grant of an isolated request to its first output. */
constexpr core::milliseconds kIsolatedStartTime{150};
/** Share of refused callers that retry at the same engine. */
constexpr double kRetryShare = 0.5;
/**
 * Share of an estimated wait that is certain: by value, a waiting request is
 * refused only when its time is shorter than that.
 */
constexpr double kCertainWaitShare = 0.7;

double MeanWork(const std::vector<overload::request_prospect>& requests) {
  double sum = 0.0;
  for (const auto& each : requests) sum += each.work;
  return std::max(1.0, sum / static_cast<double>(
                                 std::max<std::size_t>(1, requests.size())));
}

double ToDouble(core::milliseconds time) {
  return static_cast<double>(time.count());
}

core::milliseconds FromDouble(double milliseconds) {
  return core::milliseconds(std::llround(std::min(milliseconds, 1e7)));
}

/** @returns true if the order has been carried out or is in progress. */
bool ShowsEffect(const engine_state& state, const engine_order& order) {
  const auto held = std::find_if(
      state.models.begin(), state.models.end(),
      [&](const auto& each) { return each.model == order.subject.model; });
  if (order.subject.adapter.empty()) {
    return state.busy || held != state.models.end();
  }
  const bool is_loading = std::find(state.loading.begin(), state.loading.end(),
                                    order.subject) != state.loading.end();
  const bool is_held =
      held != state.models.end() &&
      std::any_of(held->adapters.begin(), held->adapters.end(),
                  [&](const auto& each) {
                    return each.adapter == order.subject.adapter &&
                           each.version >= order.version;
                  });
  return order.what == engine_order::kind::load ? is_loading || is_held
                                                : !is_loading && !is_held;
}

}  // namespace

void smoothed_time::Add(core::milliseconds sample) {
  // The initial value counts as one sample.
  const double weight = std::max(kSmoothing, 1.0 / (samples_ + 2));
  ++samples_;
  value_ =
      FromDouble(ToDouble(value_) * (1.0 - weight) + ToDouble(sample) * weight);
}

grant_scheduler::grant_scheduler(grant_options options)
    : options_(options),
      random_(options.random_seed),
      load_time_(options.initial_load_time),
      warm_load_time_(options.initial_warm_load_time),
      run_time_(options.initial_run_time),
      pacer_(options.initial_prefill_rate) {}

// Requests.

grant_scheduler::actions grant_scheduler::OnRequest(engine_request request,
                                                    core::time_point now) {
  actions out;
  request.received_at = now;
  const bool has_adapter = !request.adapter.adapter.empty();
  if (has_adapter) slots_.CountDemand(request.adapter, now);
  const auto refuse_for = [&](refusal_reason reason, core::milliseconds wait) {
    Refuse(request, reason, wait, now, out);
  };
  if (stopping_) {
    refuse_for(refusal_reason::stopping, core::milliseconds(0));
    return out;
  }
  if (!IsServing(now) || state_->leaving) {
    refuse_for(refusal_reason::engine_down, kEngineRestartTime);
    return out;
  }
  if (!HoldsModel(request.adapter.model)) {
    refuse_for(refusal_reason::model_absent, core::milliseconds(0));
    return out;
  }
  const auto unavailable = unavailable_until_.find(request.adapter);
  if (unavailable != unavailable_until_.end() && unavailable->second > now) {
    refuse_for(refusal_reason::adapter_unavailable,
               core::ToMilliseconds(unavailable->second - now));
    return out;
  }
  if (request.isolated && IsolatedWaiting() >= kMaximumIsolatedWaiting) {
    refuse_for(refusal_reason::wait_too_long,
               kIsolatedStartTime * static_cast<int>(IsolatedWaiting()));
    return out;
  }
  const auto wait = ExpectedWait(request, now);
  if (CannotFinish(request, wait, now)) {
    refuse_for(refusal_reason::cannot_finish, wait);
    return out;
  }
  request.is_retry = TakeReservation(request.adapter, now);
  if (!request.is_retry) {
    if (now + wait > request.deadline &&
        !(options_.sheds_by_value && !ExceedsLoadBound(request, now) &&
          MakeRoomFor(request, now, out))) {
      const bool is_limited =
          now + QueueWaitForLimit(request, now) > request.deadline;
      refuse_for(is_limited ? refusal_reason::rate_limited
                            : refusal_reason::wait_too_long,
                 wait);
      return out;
    }
  }
  if (ExceedsLoadBound(request, now)) {
    out.push_back(refusal{request.key, refusal_reason::fuller_than_known});
    return out;
  }
  const request_key key = request.key;
  waiting_[key] = std::move(request);
  Schedule(now, out);
  return out;
}

bool grant_scheduler::CannotFinish(const engine_request& request,
                                   core::milliseconds wait,
                                   core::time_point now) const {
  if (!request.answer_due || speed_.TokenTime().count() == 0) return false;
  const auto expected = wait + pacer_.PrefillTime(request.prompt_tokens) +
                        speed_.TokenTime() * request.output_tokens;
  return kCertainShare * std::chrono::duration<double>(expected) >
         *request.answer_due - now;
}

bool grant_scheduler::ExceedsLoadBound(const engine_request& request,
                                       core::time_point now) const {
  if (request.load_bound <= 0.0 || request.is_retry) return false;
  if (waiting_.empty() && IsReady(request) && CanStart(request, now)) {
    return false;
  }
  // One request of tolerance, so that equally loaded engines do not pass a
  // request around.
  const double tolerance =
      1.0 / static_cast<double>(std::max<std::size_t>(1, config_.batch_slots));
  return LoadOf(Status(now), config_.batch_slots) >
         request.load_bound + tolerance;
}

std::optional<granted_run> grant_scheduler::FindRunning(
    const request_key& key) const {
  const auto found = running_.find(key);
  if (found == running_.end()) return std::nullopt;
  return granted_run{&found->second.request, found->second.granted_at};
}

std::vector<granted_run> grant_scheduler::RunningWithoutOutput() const {
  std::vector<granted_run> result;
  for (const auto& [key, item] : running_) {
    if (!item.started) result.push_back({&item.request, item.granted_at});
  }
  return result;
}

bool grant_scheduler::IsIsolationTaken() const {
  return std::any_of(running_.begin(), running_.end(), [](const auto& entry) {
    return entry.second.request.isolated && !entry.second.started;
  });
}

std::size_t grant_scheduler::IsolatedWaiting() const {
  return static_cast<std::size_t>(
      std::count_if(waiting_.begin(), waiting_.end(),
                    [](const auto& entry) { return entry.second.isolated; }));
}

grant_scheduler::actions grant_scheduler::OnWithdrawn(const request_key& key,
                                                      core::time_point now) {
  actions out;
  waiting_.erase(key);
  const auto found = running_.find(key);
  if (found != running_.end()) {
    // The grant was still on its way, so the request has not been sent.
    if (found->second.took_token) tokens_.Return(now);
    RemoveRunning(found, now);
  }
  Schedule(now, out);
  return out;
}

grant_scheduler::actions grant_scheduler::OnStarted(const request_key& key,
                                                    core::time_point now) {
  actions out;
  const auto found = running_.find(key);
  if (found == running_.end() || found->second.started) return out;
  running_item& item = found->second;
  item.started = true;
  item.started_at = now;
  if (item.prefills_alone) {
    pacer_.OnFirstOutput(item.request.prompt_tokens,
                         core::ToMilliseconds(now - item.granted_at));
  }
  Schedule(now, out);
  return out;
}

grant_scheduler::actions grant_scheduler::OnEnded(const request_key& key,
                                                  bool adapter_missing,
                                                  core::time_point now,
                                                  std::int64_t output_tokens) {
  actions out;
  const auto found = running_.find(key);
  if (found == running_.end()) return out;
  if (found->second.started) {
    run_time_.Add(core::ToMilliseconds(now - found->second.granted_at));
    speed_.OnRunEnded(output_tokens, now - found->second.started_at, now);
  }
  RemoveRunning(found, now);
  // The next report shows which adapters are loaded.
  if (adapter_missing) RequireState(now);
  Schedule(now, out);
  return out;
}

grant_scheduler::actions grant_scheduler::OnLinkLost(std::uint64_t link,
                                                     core::time_point now) {
  actions out;
  std::erase_if(waiting_,
                [&](const auto& entry) { return entry.first.link == link; });
  for (auto item = running_.begin(); item != running_.end();) {
    const auto next = std::next(item);
    if (item->first.link == link) RemoveRunning(item, now);
    item = next;
  }
  Schedule(now, out);
  return out;
}

void grant_scheduler::RemoveRunning(
    std::map<request_key, running_item>::iterator position,
    core::time_point now) {
  const catalog::adapter_name adapter = position->second.request.adapter;
  running_.erase(position);
  if (adapter.adapter.empty()) return;
  slots_.OnUsed(adapter, now);
  const auto found = in_use_.find(adapter);
  if (found != in_use_.end() && --found->second == 0) in_use_.erase(found);
}

// Engine.

void grant_scheduler::SetConfig(const engine_config& config) {
  config_ = config;
  slots_.SetCapacity(config.adapter_slots);
}

grant_scheduler::actions grant_scheduler::OnState(const engine_state& state,
                                                  core::time_point requested_at,
                                                  core::time_point now) {
  actions out;
  const report_kind kind = Compare(state, requested_at);
  // It tells nothing, not even that the engine serves.
  if (kind == report_kind::outdated) return out;
  older_reports_ = 0;
  orders_accepted_ = state.orders_accepted;
  const bool restarted = kind == report_kind::restarted;
  if (restarted) {
    slots_.Clear();
    open_order_.reset();
    is_order_sent_ = false;
  }
  const bool is_other_incarnation =
      limit_started_unix_ms_ != 0 && state.started_unix_ms != 0 &&
      limit_started_unix_ms_ != state.started_unix_ms;
  if (restarted || is_other_incarnation) ForgetLimit();
  ResolveOrder(state);
  for (const auto& done : slots_.Reconcile(state, requested_at, now)) {
    (done.warm ? warm_load_time_ : load_time_).Add(done.took);
  }
  if (!state.models.empty()) last_model_ = state.models.front().model;
  state_ = state;
  state_at_ = now;
  if (requested_at >= needs_state_since_) needs_state_ = false;
  const limits::response_interval generated{requested_at, now};
  if (state.limit.rate) {
    reports_name_limit_ = true;
    limit_started_unix_ms_ = state.started_unix_ms;
    OnLimitChange(limit_.OnNamed(*state.limit.rate, generated), now, out);
  } else if (reports_name_limit_ && !state.limit.present) {
    OnLimitChange(limit_.OnNotNamed(generated), now, out);
  }
  Schedule(now, out);
  return out;
}

grant_scheduler::report_kind grant_scheduler::Compare(
    const engine_state& state, core::time_point requested_at) {
  if (!state_) return report_kind::current;
  if (state.started_unix_ms != state_->started_unix_ms) {
    return report_kind::restarted;
  }
  if (state.orders_accepted >= orders_accepted_) return report_kind::current;
  if (requested_at >= needs_state_since_) ++older_reports_;
  // One report may be a late copy; an engine that keeps its start time when it
  // restarts goes on to report so.
  return older_reports_ < kReportsOfARestart ? report_kind::outdated
                                             : report_kind::restarted;
}

void grant_scheduler::ResolveOrder(const engine_state& state) {
  // An answer that is on its way tells more.
  if (!open_order_ || is_order_sent_ || !open_order_->orders_before ||
      state.orders_accepted <= *open_order_->orders_before) {
    return;
  }
  if (!ShowsEffect(state, *open_order_)) {
    // The engine has accepted another order, so this one rests on an older
    // report and is refused if it arrives.
    open_order_->orders_before = state.orders_accepted;
    return;
  }
  slots_.OnOrderAccepted(*open_order_);
  open_order_.reset();
}

void grant_scheduler::RequireState(core::time_point now) {
  needs_state_ = true;
  needs_state_since_ = now;
}

grant_scheduler::actions grant_scheduler::OnLimitObserved(
    const limit_observation& observation, core::time_point now) {
  actions out;
  const std::int64_t started = observation.endpoint.started_unix_ms;
  if (state_ && started != 0 && state_->started_unix_ms != 0 &&
      started != state_->started_unix_ms) {
    return out;
  }
  // The response was generated after the grant.
  limits::response_interval generated{
      .latest = std::min(observation.response_received, now)};
  if (observation.request) {
    const auto found = running_.find(*observation.request);
    if (found != running_.end()) generated.earliest = found->second.granted_at;
  }
  if (observation.rate) {
    if (started != 0) limit_started_unix_ms_ = started;
    OnLimitChange(limit_.OnNamed(*observation.rate, generated), now, out);
  } else {
    OnLimitChange(limit_.OnNotNamed(generated), now, out);
  }
  Schedule(now, out);
  return out;
}

void grant_scheduler::ForgetLimit() {
  limit_ = {};
  limit_started_unix_ms_ = 0;
  reports_name_limit_ = false;
}

void grant_scheduler::OnLimitChange(limits::limit_change change,
                                    core::time_point now, actions& out) {
  if (!Limit()) {
    // The next limit may be named in responses only.
    reports_name_limit_ = false;
    return;
  }
  if (change == limits::limit_change::heard) tokens_ = limits::token_bucket();
  // Reports can show the end of a limit, so that no request need be spent.
  tokens_.SetRate(
      reports_name_limit_ ? *Limit() : std::max(*Limit(), limits::kProbeRate),
      now);
  if (change != limits::limit_change::none) ReturnUnservable(now, out);
}

core::milliseconds grant_scheduler::LimitWait(double grants,
                                              core::time_point now) const {
  return Limit() ? tokens_.TimeUntil(grants, now) : core::milliseconds(0);
}

core::milliseconds grant_scheduler::QueueWaitForLimit(
    const engine_request& request, core::time_point now) const {
  if (!Limit()) return core::milliseconds(0);
  double ahead = 1.0;
  for (const auto& [key, other] : waiting_) {
    if (other.priority <= request.priority) ahead += 1.0;
  }
  const auto start = now + LimitWait(ahead, now);
  if (start == now) return core::milliseconds(0);
  const auto reserved =
      std::count_if(reservations_.begin(), reservations_.end(),
                    [&](const reservation& each) { return each.due <= start; });
  return LimitWait(ahead + kRetryShare * static_cast<double>(reserved), now);
}

/**
 * Returns the waiting requests that the limit leaves no time for, or whose
 * gateways know of less loaded engines.
 */
void grant_scheduler::ReturnUnservable(core::time_point now, actions& out) {
  std::vector<const engine_request*> order;
  for (const auto& [key, request] : waiting_) order.push_back(&request);
  std::sort(order.begin(), order.end(),
            [&](const engine_request* left, const engine_request* right) {
              return ComesBefore(*left, *right, now);
            });
  std::vector<request_key> elsewhere;
  std::vector<request_key> unservable;
  double ahead = 1.0;
  for (const engine_request* request : order) {
    const auto wait = LimitWait(ahead, now);
    if (wait.count() > 0 && request->load_bound > 0.0) {
      elsewhere.push_back(request->key);
    } else if (now + wait > request->deadline) {
      unservable.push_back(request->key);
    } else {
      ahead += 1.0;
    }
  }
  for (const request_key& key : elsewhere) {
    waiting_.erase(key);
    out.push_back(refusal{key, refusal_reason::fuller_than_known});
  }
  for (const request_key& key : unservable) {
    const engine_request request = waiting_.extract(key).mapped();
    Refuse(request, refusal_reason::rate_limited, ExpectedWait(request, now),
           now, out);
  }
}

grant_scheduler::actions grant_scheduler::OnEngineDown(core::time_point now) {
  actions out;
  RequireState(now);
  state_at_ = now - options_.state_lifetime;
  RefuseAll(refusal_reason::engine_down, now, out);
  return out;
}

grant_scheduler::actions grant_scheduler::OnOrderEnded(
    const engine_order& order, order_result result, core::time_point now) {
  actions out;
  if (!open_order_ || open_order_->number != order.number) return out;
  is_order_sent_ = false;
  const bool is_accepted =
      result == order_result::accepted || result == order_result::done;
  // A refusal of a copy does not tell what becomes of the one before it.
  const bool is_settled =
      is_accepted || result == order_result::impossible ||
      (result != order_result::unknown && !may_arrive_late_);
  if (result == order_result::accepted && order.orders_before) {
    orders_accepted_ = std::max(orders_accepted_, *order.orders_before + 1);
  }
  if (is_settled) {
    open_order_.reset();
  } else {
    may_arrive_late_ = true;
  }
  if (!order.subject.adapter.empty() && is_settled) {
    slots_.OnOrderEnded(order, result, now);
    if (result == order_result::impossible &&
        order.what == engine_order::kind::load) {
      unavailable_until_[order.subject] = now + kAdapterRetryDelay;
      std::vector<request_key> unservable;
      for (const auto& [key, request] : waiting_) {
        if (request.adapter == order.subject) unservable.push_back(key);
      }
      for (const request_key& key : unservable) {
        Refuse(waiting_.extract(key).mapped(),
               refusal_reason::adapter_unavailable, kAdapterRetryDelay, now,
               out);
      }
    }
  }
  if (!is_accepted) order_backoff_until_ = now + kOrderBackoff;
  // The next order rests on what the engine reports after this one.
  RequireState(now);
  Schedule(now, out);
  return out;
}

void grant_scheduler::OnPaused(core::time_point now) { RequireState(now); }

grant_scheduler::actions grant_scheduler::OnStopping(core::time_point now) {
  actions out;
  stopping_ = true;
  RefuseAll(refusal_reason::stopping, now, out);
  return out;
}

grant_scheduler::actions grant_scheduler::OnTick(core::time_point now) {
  actions out;
  std::erase_if(unavailable_until_,
                [&](const auto& entry) { return entry.second <= now; });
  while (!reservations_.empty() &&
         reservations_.front().due + kReservationLate <= now) {
    reservations_.pop_front();
  }
  if (options_.sheds_by_value) RefuseHopeless(now, out);
  Schedule(now, out);
  return out;
}

bool grant_scheduler::IsServing(core::time_point now) const {
  return state_.has_value() && now - state_at_ < options_.state_lifetime &&
         !state_->models.empty();
}

bool grant_scheduler::HoldsModel(const core::model_id& model) const {
  if (!state_) return false;
  return std::any_of(
      state_->models.begin(), state_->models.end(),
      [&](const catalog::loaded_model& held) { return held.model == model; });
}

// Refusals.

void grant_scheduler::Refuse(const engine_request& request,
                             refusal_reason reason,
                             core::milliseconds expected_wait,
                             core::time_point now, actions& out) {
  // Jitter spreads the retries of callers that were refused together.
  auto retry_after =
      FromDouble(ToDouble(expected_wait) * (1.0 + 0.2 * random_.NextUnit()));
  const auto longest = std::clamp(request.maximum_retry_after,
                                  kMinimumRetryAfter, kMaximumRetryAfter);
  // A reservation is useless if the caller retries before it is due.
  const bool in_time = retry_after <= longest;
  retry_after = std::clamp(retry_after, kMinimumRetryAfter, longest);
  // A rate-limited request whose gateway knows of other engines goes there.
  const bool waits_here =
      reason == refusal_reason::wait_too_long ||
      reason == refusal_reason::wait_expired ||
      (reason == refusal_reason::rate_limited && request.load_bound <= 0.0);
  if (in_time && waits_here) {
    Reserve(request, now + retry_after);
  }
  out.push_back(refusal{request.key, reason, retry_after, expected_wait});
}

void grant_scheduler::Reserve(const engine_request& request,
                              core::time_point due) {
  if (reservations_.size() >= kMaximumReservations) return;
  const reservation reserved{due, request.adapter, request.minimum_version,
                             request.priority};
  reservations_.insert(
      std::upper_bound(reservations_.begin(), reservations_.end(), reserved,
                       [](const reservation& left, const reservation& right) {
                         return left.due < right.due;
                       }),
      reserved);
}

void grant_scheduler::RefuseAll(refusal_reason reason, core::time_point now,
                                actions& out) {
  for (const auto& [key, request] : std::exchange(waiting_, {})) {
    Refuse(request, reason, kEngineRestartTime, now, out);
  }
}

void grant_scheduler::RefuseExpired(core::time_point now, actions& out) {
  std::vector<request_key> expired;
  for (const auto& [key, request] : waiting_) {
    if (request.deadline <= now) expired.push_back(key);
  }
  for (const request_key& key : expired) {
    const engine_request request = waiting_.extract(key).mapped();
    Refuse(request, refusal_reason::wait_expired, ExpectedWait(request, now),
           now, out);
  }
}

// By value.

overload::request_prospect grant_scheduler::ProspectOf(
    const engine_request& request, core::time_point now) const {
  // A reservation is matched by adapter only, so a retry counts as late like
  // any other request.
  const auto first_output =
      now + kStartOverhead + pacer_.PrefillTime(request.prompt_tokens);
  return {
      .key = request.key,
      .priority = request.priority,
      .can_be_on_time = first_output <= request.first_output_due,
      .due = request.first_output_due,
      .deadline = request.deadline,
      .work = overload::WorkOf(request.prompt_tokens, request.output_tokens),
      .is_promised = request.is_retry || request.isolated};
}

std::vector<overload::request_prospect> grant_scheduler::Prospects(
    core::time_point now) const {
  std::vector<overload::request_prospect> order;
  order.reserve(waiting_.size() + 1);
  for (const auto& [key, request] : waiting_) {
    order.push_back(ProspectOf(request, now));
  }
  std::sort(order.begin(), order.end(), overload::ServesBefore);
  return order;
}

bool grant_scheduler::MakeRoomFor(const engine_request& request,
                                  core::time_point now, actions& out) {
  auto order = Prospects(now);
  const auto own = ProspectOf(request, now);
  std::erase_if(order, [&](const overload::request_prospect& each) {
    return !overload::ServesBefore(each, own);
  });
  order.push_back(own);
  const std::size_t last = order.size() - 1;
  const std::size_t least =
      overload::CheapestToRefuse(order, last, MeanWork(order));
  if (least == last) return false;
  auto removed = waiting_.extract(order[least].key);
  const auto wait = ExpectedWait(request, now);
  if (now + wait > request.deadline) {
    waiting_.insert(std::move(removed));
    return false;
  }
  const engine_request refused = std::move(removed.mapped());
  ++displaced_;
  Refuse(refused, refusal_reason::wait_too_long, ExpectedWait(refused, now),
         now, out);
  return true;
}

void grant_scheduler::RefuseHopeless(core::time_point now, actions& out) {
  // No engine or no slots: other rules refuse then.
  if (waiting_.empty() || !IsServing(now)) return;
  auto order = Prospects(now);
  const double mean = MeanWork(order);
  const std::size_t slots = std::max<std::size_t>(1, config_.batch_slots);
  const double free =
      static_cast<double>(slots - std::min(slots, running_.size()));
  const double turn = ToDouble(run_time_.Value()) / static_cast<double>(slots);
  // Of those before the current one.
  double turns = 0.0;
  std::int64_t tokens = PendingPrefillTokens(now);
  for (std::size_t index = 0; index < order.size();) {
    const overload::request_prospect& current = order[index];
    const double wait = std::max(std::max(0.0, turns + 1.0 - free) * turn,
                                 ToDouble(pacer_.PrefillTime(tokens)));
    if (current.is_promised ||
        now + FromDouble(kCertainWaitShare * wait) <= current.deadline) {
      turns += current.work / mean;
      tokens += waiting_.at(current.key).prompt_tokens;
      ++index;
      continue;
    }
    const std::size_t least = overload::CheapestToRefuse(order, index, mean);
    const engine_request refused = waiting_.extract(order[least].key).mapped();
    if (least < index) {
      turns -= order[least].work / mean;
      tokens -= refused.prompt_tokens;
      --index;
      ++displaced_;
    } else {
      ++hopeless_;
    }
    order.erase(order.begin() + static_cast<std::ptrdiff_t>(least));
    Refuse(refused, refusal_reason::wait_too_long, ExpectedWait(refused, now),
           now, out);
  }
}

bool grant_scheduler::TakeReservation(const catalog::adapter_name& adapter,
                                      core::time_point now) {
  const auto found =
      std::find_if(reservations_.begin(), reservations_.end(),
                   [&](const reservation& reserved) {
                     return reserved.adapter == adapter &&
                            reserved.due - kReservationEarly <= now &&
                            now < reserved.due + kReservationLate;
                   });
  if (found == reservations_.end()) return false;
  reservations_.erase(found);
  return true;
}

// Grants.

void grant_scheduler::Schedule(core::time_point now, actions& out) {
  RefuseExpired(now, out);
  if (stopping_ || state_at_ + options_.state_lifetime <= now || !state_) {
    return;
  }
  GrantReady(now, out);
  PlanOrder(now, out);
}

bool grant_scheduler::IsReady(const engine_request& request) const {
  if (!HoldsModel(request.adapter.model)) return false;
  return request.adapter.adapter.empty() ||
         slots_.IsReady(request.adapter, request.minimum_version);
}

bool grant_scheduler::IsLate(const engine_request& request,
                             core::time_point now) const {
  const auto prefill = pacer_.PrefillTime(request.prompt_tokens);
  // A retried request is late already, but must not be deprioritised again.
  return !request.is_retry &&
         now + kStartOverhead + prefill > request.first_output_due;
}

bool grant_scheduler::ComesBefore(const engine_request& left,
                                  const engine_request& right,
                                  core::time_point now) const {
  if (options_.sheds_by_value) {
    return overload::ServesBefore(ProspectOf(left, now),
                                  ProspectOf(right, now));
  }
  return std::tuple(left.priority, IsLate(left, now), left.first_output_due,
                    left.key) < std::tuple(right.priority, IsLate(right, now),
                                           right.first_output_due, right.key);
}

void grant_scheduler::GrantReady(core::time_point now, actions& out) {
  while (!waiting_.empty()) {
    // By value, priorities are strict, and late requests wait for a lull.
    const bool oldest_first =
        !options_.sheds_by_value && grants_since_oldest_ >= kGrantsPerOldest;
    const bool isolation_taken = IsIsolationTaken();
    const engine_request* best = nullptr;
    for (const auto& [key, request] : waiting_) {
      if (!IsReady(request) || (request.isolated && isolation_taken)) continue;
      if (best == nullptr ||
          (oldest_first ? request.first_output_due < best->first_output_due
                        : ComesBefore(request, *best, now))) {
        best = &request;
      }
    }
    if (best == nullptr || !CanStart(*best, now)) return;
    grants_since_oldest_ = oldest_first ? 0 : grants_since_oldest_ + 1;
    const request_key key = best->key;
    running_item item{.request = waiting_.extract(key).mapped(),
                      .granted_at = now};
    item.took_token = Limit() && tokens_.TryTake(now);
    item.prefills_alone = PendingPrefillTokens(now) == 0;
    if (!item.prefills_alone) {
      for (auto& [other_key, other] : running_) {
        if (!other.started) other.prefills_alone = false;
      }
    }
    if (item.request.event_gap_target.count() > 0) {
      pacer_.SetEventGapTarget(item.request.event_gap_target);
    }
    grant issued{
        .key = key,
        .waited = core::ToMilliseconds(now - item.request.received_at)};
    const catalog::adapter_name& adapter = item.request.adapter;
    if (!adapter.adapter.empty()) {
      const adapter_slot& slot = *slots_.Find(adapter);
      issued.version = slot.version;
      issued.waited_for_load = std::max(
          core::milliseconds(0),
          core::ToMilliseconds(slot.changed_at - item.request.received_at));
      slots_.OnUsed(adapter, now);
      ++in_use_[adapter];
    }
    running_[key] = std::move(item);
    out.push_back(issued);
  }
}

std::int64_t grant_scheduler::PendingPrefillTokens(core::time_point now) const {
  std::int64_t tokens = 0;
  for (const auto& [key, item] : running_) {
    if (item.started || now - item.granted_at > kMaximumPrefillTime) continue;
    tokens += item.request.prompt_tokens;
  }
  return tokens;
}

bool grant_scheduler::CanHold(const engine_request& request,
                              core::time_point now) const {
  return !request.is_retry && !IsLate(request, now + kHoldReserve);
}

bool grant_scheduler::CanStart(const engine_request& request,
                               core::time_point now) const {
  if (LimitWait(1.0, now).count() > 0) return false;
  if (running_.size() >= config_.batch_slots) return false;
  if (running_.empty()) return true;
  if (config_.cache_tokens > 0) {
    std::int64_t tokens = request.prompt_tokens + request.output_tokens;
    for (const auto& [key, item] : running_) {
      tokens += item.request.prompt_tokens + item.request.output_tokens;
    }
    if (static_cast<double>(tokens) >
        kCacheShare * static_cast<double>(config_.cache_tokens)) {
      return false;
    }
  }
  if (pacer_.IsHeld(now) && CanHold(request, now)) return false;
  return pacer_.HasRoom(PendingPrefillTokens(now), request.prompt_tokens);
}

// Loads.

/**
 * The window opens one load time early, so that the adapter can be loaded and
 * its slot is kept until the retry.
 */
bool grant_scheduler::IsDueSoon(const reservation& reserved,
                                core::time_point now) const {
  return reserved.due - kReservationEarly - load_time_.Value() <= now &&
         now < reserved.due + kReservationLate;
}

bool grant_scheduler::IsInUse(const catalog::adapter_name& adapter,
                              core::time_point now) const {
  if (in_use_.count(adapter) > 0) return true;
  if (std::any_of(reservations_.begin(), reservations_.end(),
                  [&](const reservation& reserved) {
                    return reserved.adapter == adapter &&
                           IsDueSoon(reserved, now);
                  })) {
    return true;
  }
  return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& entry) {
    return entry.second.adapter == adapter;
  });
}

void grant_scheduler::PlanOrder(core::time_point now, actions& out) {
  if (is_order_sent_ || needs_state_ || now < order_backoff_until_) return;
  if (open_order_) {
    // Asks for nothing that the copy before did not ask for.
    Send(out);
    return;
  }
  if (state_->models.empty()) {
    PlanModelLoad(now, out);
    return;
  }
  const auto next = NextLoad(now);
  if (!next) return;
  if (slots_.Find(next->subject) != nullptr || slots_.HasFreeSlot()) {
    loads_since_oldest_ =
        loads_since_oldest_ >= kLoadsPerOldest ? 0 : loads_since_oldest_ + 1;
    Issue(*next, now, out);
    return;
  }
  const auto victim = slots_.Victim(
      [&](const catalog::adapter_name& name) { return !IsInUse(name, now); },
      now);
  if (victim) Issue({engine_order::kind::unload, *victim, 0}, now, out);
}

double grant_scheduler::ValueOf(const engine_request& request,
                                core::time_point now) const {
  const double urgency = 1.0 / (1.0 + request.priority);
  return IsLate(request, now) ? kLateValue * urgency : urgency;
}

std::map<catalog::adapter_name, grant_scheduler::load_demand>
grant_scheduler::LoadDemand(core::time_point now) const {
  std::map<catalog::adapter_name, load_demand> demand;
  for (const auto& [key, request] : waiting_) {
    if (request.adapter.adapter.empty() || IsReady(request)) continue;
    const adapter_slot* slot = slots_.Find(request.adapter);
    if (slot != nullptr && slot->phase != adapter_slot::state::resident) {
      continue;
    }
    const auto [position, inserted] = demand.try_emplace(request.adapter);
    load_demand& total = position->second;
    total.value += ValueOf(request, now);
    total.minimum_version =
        std::max(total.minimum_version, request.minimum_version);
    if (inserted || request.first_output_due < total.earliest_due) {
      total.earliest_due = request.first_output_due;
    }
  }
  // Waiting requests take precedence over expected retries.
  if (!demand.empty() || IsCongested()) return demand;
  for (const reservation& reserved : reservations_) {
    if (reserved.adapter.adapter.empty() || !IsDueSoon(reserved, now) ||
        slots_.Find(reserved.adapter) != nullptr ||
        !HoldsModel(reserved.adapter.model)) {
      continue;
    }
    const auto [position, inserted] = demand.try_emplace(reserved.adapter);
    load_demand& total = position->second;
    total.value += kRetryShare / (1.0 + reserved.priority);
    total.minimum_version =
        std::max(total.minimum_version, reserved.minimum_version);
    if (inserted) total.earliest_due = reserved.due;
  }
  return demand;
}

bool grant_scheduler::IsCongested() const {
  return ToDouble(load_time_.Value()) >
         kCongestedFactor * ToDouble(options_.initial_load_time);
}

std::size_t grant_scheduler::ColdLoadLimit() const {
  return IsCongested() ? options_.congested_cold_loads
                       : options_.maximum_cold_loads;
}

core::milliseconds grant_scheduler::LoadTimeOf(
    const catalog::adapter_name& adapter, core::time_point now) const {
  return slots_.IsWarm(adapter, now) ? warm_load_time_.Value()
                                     : load_time_.Value();
}

std::optional<engine_order> grant_scheduler::NextLoad(
    core::time_point now) const {
  if (slots_.Loading() >= options_.maximum_loads) return std::nullopt;
  const bool cold_allowed = slots_.ColdLoading() < ColdLoadLimit();
  const bool oldest_first = loads_since_oldest_ >= kLoadsPerOldest;
  std::optional<engine_order> best;
  double highest = 0.0;
  core::time_point earliest;
  for (const auto& [name, demand] : LoadDemand(now)) {
    if (!cold_allowed && !slots_.IsWarm(name, now)) continue;
    const double value =
        demand.value / std::max(1.0, ToDouble(LoadTimeOf(name, now)));
    const bool better =
        oldest_first ? demand.earliest_due < earliest : value > highest;
    if (best && !better) continue;
    best = engine_order{engine_order::kind::load, name, demand.minimum_version};
    highest = value;
    earliest = demand.earliest_due;
  }
  return best;
}

void grant_scheduler::PlanModelLoad(core::time_point now, actions& out) {
  // A restarted engine has no model and does not load one on its own.
  if (state_->busy) return;
  core::model_id model = last_model_;
  if (model.empty() && !config_.models.empty()) model = config_.models.front();
  if (model.empty()) return;
  Issue({engine_order::kind::load, {model, core::adapter_id()}, 0}, now, out);
}

void grant_scheduler::Issue(engine_order order, core::time_point now,
                            actions& out) {
  order.number = ++last_order_;
  order.orders_before = state_->orders_accepted;
  may_arrive_late_ = false;
  if (order.subject.adapter.empty()) {
    // Prevents the order from being repeated before the engine has reported.
    RequireState(now);
  } else if (order.what == engine_order::kind::load) {
    slots_.OnLoadOrdered(order.subject, now);
  } else {
    slots_.OnUnloadOrdered(order.subject, now);
  }
  open_order_ = std::move(order);
  Send(out);
}

void grant_scheduler::Send(actions& out) {
  is_order_sent_ = true;
  out.push_back(*open_order_);
}

// Estimates.

core::milliseconds grant_scheduler::ExpectedLoad(const engine_request& request,
                                                 core::time_point now) const {
  if (request.adapter.adapter.empty() || IsReady(request)) {
    return core::milliseconds(0);
  }
  const adapter_slot* slot = slots_.Find(request.adapter);
  if (slot != nullptr && slot->phase == adapter_slot::state::loading) {
    const auto passed = core::ToMilliseconds(now - slot->changed_at);
    return std::max(load_time_.Value() - passed, core::milliseconds(0));
  }
  // Adapters that are being loaded already occupy a slot and are not counted.
  std::set<catalog::adapter_name> ahead;
  const double own_time =
      std::max(1.0, ToDouble(LoadTimeOf(request.adapter, now)));
  const auto demand = LoadDemand(now);
  const auto own = demand.find(request.adapter);
  const double own_value =
      ValueOf(request, now) + (own == demand.end() ? 0.0 : own->second.value);
  double loading_ms = 0.0;
  for (const auto& [name, other] : demand) {
    if (name == request.adapter) continue;
    const double time = std::max(1.0, ToDouble(LoadTimeOf(name, now)));
    if (other.value / time < own_value / own_time) continue;
    loading_ms += time;
    if (slots_.Find(name) == nullptr) ahead.insert(name);
  }
  loading_ms += static_cast<double>(slots_.ColdLoading()) *
                ToDouble(load_time_.Value()) / 2.0;
  double wait = own_time + loading_ms / static_cast<double>(ColdLoadLimit());
  // Slots become free as the requests that use them end.
  const std::size_t unused = UnusedSlots(now);
  if (unused <= ahead.size()) {
    const auto missing_slots = static_cast<double>(ahead.size() - unused + 1);
    const auto used_slots =
        static_cast<double>(std::max<std::size_t>(1, in_use_.size()));
    wait += missing_slots * ToDouble(run_time_.Value()) / used_slots;
  }
  return FromDouble(wait);
}

core::milliseconds grant_scheduler::ExpectedWait(const engine_request& request,
                                                 core::time_point now) const {
  std::size_t ahead = 0;
  std::int64_t tokens_ahead = PendingPrefillTokens(now);
  for (const auto& [key, other] : waiting_) {
    if (options_.sheds_by_value ? !ComesBefore(other, request, now)
                                : other.priority > request.priority) {
      continue;
    }
    ++ahead;
    tokens_ahead += other.prompt_tokens;
  }
  const std::size_t slots = std::max<std::size_t>(1, config_.batch_slots);
  const std::size_t free = slots - std::min(slots, running_.size());
  double slot_wait = 0.0;
  if (ahead + 1 > free) {
    const double turn =
        ToDouble(run_time_.Value()) / static_cast<double>(slots);
    slot_wait = static_cast<double>(ahead + 1 - free) * turn;
    // Account for reservations due before then. Only some of the callers retry,
    // and a slot that is free now is not reserved for anyone.
    const auto start = now + FromDouble(slot_wait);
    const auto reserved_count = std::count_if(
        reservations_.begin(), reservations_.end(),
        [&](const reservation& reserved) { return reserved.due <= start; });
    slot_wait += kRetryShare * static_cast<double>(reserved_count) * turn;
  }
  const auto prefill_wait = pacer_.PrefillTime(tokens_ahead);
  const auto isolation_wait =
      request.isolated
          ? kIsolatedStartTime * static_cast<int>(IsolatedWaiting() +
                                                  (IsIsolationTaken() ? 1 : 0))
          : core::milliseconds(0);
  return std::max({FromDouble(slot_wait), prefill_wait,
                   QueueWaitForLimit(request, now), isolation_wait}) +
         ExpectedLoad(request, now);
}

std::size_t grant_scheduler::UnusedSlots(core::time_point now) const {
  std::size_t unused =
      slots_.Capacity() - std::min(slots_.Size(), slots_.Capacity());
  for (const auto& [name, slot] : slots_.Slots()) {
    if (slot.phase == adapter_slot::state::resident && !IsInUse(name, now)) {
      ++unused;
    }
  }
  return unused;
}

// State.

grant_scheduler::slot_usage grant_scheduler::SlotUsage(
    core::time_point now) const {
  slot_usage usage;
  for (const auto& [name, slot] : slots_.Slots()) {
    const auto is_wanted_by = [&name = name](const auto& entry) {
      return entry.second.adapter == name;
    };
    if (slot.phase != adapter_slot::state::resident) {
      ++usage.loading;
    } else if (in_use_.count(name) > 0) {
      ++usage.running;
    } else if (std::any_of(waiting_.begin(), waiting_.end(), is_wanted_by)) {
      ++usage.waited_for;
    } else if (IsInUse(name, now)) {
      ++usage.reserved;
    } else {
      ++usage.unused;
    }
  }
  return usage;
}

std::set<std::uint64_t> grant_scheduler::LinksWithWaitingRequests() const {
  std::set<std::uint64_t> links;
  for (const auto& [key, request] : waiting_) links.insert(key.link);
  return links;
}

engine_status grant_scheduler::Status(core::time_point now) const {
  engine_status status;
  status.serving = IsServing(now) && !state_->leaving && !stopping_;
  status.running = running_.size();
  status.waiting = waiting_.size();
  status.batch_slots = config_.batch_slots;
  status.free_adapter_slots = UnusedSlots(now);
  std::set<catalog::adapter_name> loads;
  for (const auto& [key, request] : waiting_) {
    if (!request.adapter.adapter.empty() && !IsReady(request)) {
      loads.insert(request.adapter);
    }
  }
  status.loads_waiting = loads.size();
  std::int64_t tokens_ahead = PendingPrefillTokens(now);
  for (const auto& [key, request] : waiting_) {
    if (IsReady(request)) tokens_ahead += request.prompt_tokens;
  }
  status.prefill_wait = pacer_.PrefillTime(tokens_ahead);
  if (state_) status.engine_started_unix_ms = state_->started_unix_ms;
  status.token_time = speed_.TokenTime();
  status.prefill_rate = pacer_.Rate();
  status.limit = Limit();
  status.limit_wait = LimitWait(static_cast<double>(waiting_.size() + 1), now);
  status.adapters_revision = slots_.Revision();
  status.adapters = slots_.Adapters();
  return status;
}

}  // namespace comfreyspring::grants
