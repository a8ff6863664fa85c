#include "sidecar/scheduler_driver.h"

#include <utility>
#include <variant>

#include "core/overloaded.h"

namespace comfreyspring::sidecar {
namespace {

/** Resolution of request deadlines. */
constexpr core::milliseconds kTickPeriod{20};
/** Resolution of the lifetime of crash records. */
constexpr core::milliseconds kEvidencePeriod{1000};

std::string NameOf(const catalog::adapter_name& name) {
  return name.adapter.empty() ? name.model.Value()
                              : name.model.Value() + '/' + name.adapter.Value();
}

}  // namespace

scheduler_driver::scheduler_driver(net::event_loop& loop, engine_port& engine,
                                   scheduler_driver_options options,
                                   sender send, broadcaster send_to_all,
                                   telemetry::event_log& log,
                                   telemetry::metrics& metrics)
    : loop_(loop),
      engine_(engine),
      options_(std::move(options)),
      send_(std::move(send)),
      send_to_all_(std::move(send_to_all)),
      log_(log),
      metrics_(metrics),
      scheduler_(options_.grants),
      permits_(options_.grants.random_seed),
      fencing_(loop.WallNow()),
      watch_(options_.node),
      last_answer_at_(loop.Now()) {}

scheduler_driver::~scheduler_driver() {
  *alive_ = false;
  loop_.Cancel(read_timer_);
  loop_.Cancel(tick_timer_);
  loop_.Cancel(evidence_timer_);
}

void scheduler_driver::Start() {
  tick_timer_ = loop_.SchedulePeriodic(kTickPeriod, [this] {
    Perform(scheduler_.OnTick(loop_.Now()));
    Perform(permits_.OnTick(loop_.Now()));
    Perform(watch_.OnTick(scheduler_.RunningWithoutOutput(), loop_.Now()));
  });
  evidence_timer_ = loop_.SchedulePeriodic(
      kEvidencePeriod, [this] { evidence_.OnTick(loop_.Now()); });
  ReadState();
}

void scheduler_driver::Stop() {
  Perform(scheduler_.OnStopping(loop_.Now()));
  Perform(permits_.OnStopping(loop_.Now()));
}

void scheduler_driver::OnPaused(core::milliseconds length) {
  log_.SystemEvent("pause_noticed").Add("length_ms", length.count());
  scheduler_.OnPaused(loop_.Now());
}

grants::engine_status scheduler_driver::Status() const {
  return scheduler_.Status(loop_.Now());
}

// Messages.

void scheduler_driver::OnMessage(std::uint64_t link,
                                 const grants::message& value) {
  const auto now = loop_.Now();
  std::visit(
      core::overloaded{
          [&](const grants::gateway_hello& hello) {
            scheduler_.SetConfig(hello.config);
          },
          [&](const grants::grant_request& request) {
            OnRequest(link, request);
          },
          [&](const grants::grant_withdrawn& withdrawn) {
            Perform(scheduler_.OnWithdrawn({link, withdrawn.number}, now));
            Perform(permits_.OnWithdrawn({link, withdrawn.number}, now));
          },
          [&](const grants::run_started& started) {
            Perform(scheduler_.OnStarted({link, started.number}, now));
          },
          [&](const grants::run_ended& ended) { OnRunEnded(link, ended); },
          [&](const grants::crash_notice& notice) {
            OnCrash(notice.record, "gateway");
          },
          [&](const grants::streams_stalled&) {
            metrics_.Count("sidecar_stream_pauses_total");
            scheduler_.OnStreamsStalled(now);
          },
          [&](const grants::permit_request& request) {
            OnPermitRequest(link, request);
          },
          [&](const grants::limit_observed& observed) {
            OnLimitObserved(link, observed);
          },
          [&](const auto&) {
            log_.SystemEvent("message_unexpected").Add("link", link);
          }},
      value);
}

void scheduler_driver::OnRequest(std::uint64_t link,
                                 const grants::grant_request& request) {
  const auto now = loop_.Now();
  metrics_.Count("sidecar_asks_total");
  Perform(scheduler_.OnRequest(
      {.key = {link, request.number},
       .request_id = request.request_id,
       .adapter = request.adapter,
       .minimum_version = request.minimum_version,
       .priority = request.priority,
       .prompt_tokens = request.prompt_tokens,
       .output_tokens = request.output_tokens,
       .event_gap_target = request.event_gap_target,
       .first_output_due = now + request.first_output_due_in,
       .deadline = now + request.deadline_in,
       .load_bound = request.load_bound,
       .maximum_retry_after = request.maximum_retry_after,
       .isolated = request.isolated,
       .blamed_parts = request.blamed_parts,
       .answer_due = request.answer_due_in.count() > 0
                         ? std::optional(now + request.answer_due_in)
                         : std::nullopt},
      now));
  if (scheduler_.IsWaiting({link, request.number})) {
    send_(link, grants::grant_queued{request.number});
  }
}

void scheduler_driver::OnPermitRequest(std::uint64_t link,
                                       const grants::permit_request& request) {
  const auto now = loop_.Now();
  metrics_.Count("sidecar_permit_requests_total");
  const bool was_known = permits_.LimitOf(request.endpoint).has_value();
  const auto actions = permits_.OnRequest(
      {.key = {link, request.number},
       .endpoint = request.endpoint,
       .role = request.is_fallback ? grants::permit_role::fallback
                                   : grants::permit_role::primary,
       .rate = request.rate,
       .priority = request.priority,
       .deadline = now + request.deadline_in,
       .maximum_retry_after = request.maximum_retry_after},
      now);
  const auto limit = permits_.LimitOf(request.endpoint);
  // A fallback does not see what most gateways hear of the endpoint.
  if (limit && !was_known && !request.is_fallback) {
    send_to_all_(grants::limit_notice{request.endpoint, limit});
  } else if (limit != request.rate) {
    send_(link, grants::limit_notice{request.endpoint, limit});
  }
  Perform(actions);
  if (permits_.IsWaiting({link, request.number})) {
    send_(link, grants::grant_queued{request.number});
  }
}

void scheduler_driver::OnLimitObserved(std::uint64_t link,
                                       const grants::limit_observed& observed) {
  const auto now = loop_.Now();
  grants::limit_observation observation{
      .endpoint = observed.endpoint,
      .rate = observed.rate,
      .response_received = now - observed.age};
  if (observed.number != 0) observation.request = {link, observed.number};
  if (!observed.own_engine) {
    const auto before = permits_.LimitOf(observed.endpoint);
    const auto change = permits_.OnLimitObserved(observation, now);
    if (change == limits::limit_change::none) return;
    const auto after = permits_.LimitOf(observed.endpoint);
    metrics_.Count("sidecar_counted_limit_changes_total{change=\"" +
                   std::string(ToString(change)) + "\"}");
    log_.SystemEvent("endpoint_limit")
        .Add("change", ToString(change))
        .Add("instance", observed.endpoint.instance.Value())
        .Add("origin", "gateway")
        .Add("before_per_s", limits::ToText(before))
        .Add("per_s", limits::ToText(after));
    const grants::limit_notice notice{observed.endpoint, after};
    if (observed.is_fallback) {
      send_(link, notice);
    } else {
      send_to_all_(notice);
    }
    return;
  }
  const auto before = scheduler_.Limit();
  Perform(scheduler_.OnLimitObserved(observation, now));
  NoteLimitChange(before, "response");
}

void scheduler_driver::NoteLimitChange(
    const std::optional<limits::request_rate>& before,
    std::string_view origin) {
  const auto& after = scheduler_.Limit();
  if (after == before) return;
  const auto change = !before  ? limits::limit_change::heard
                      : !after ? limits::limit_change::ended
                               : limits::limit_change::changed;
  metrics_.Count("sidecar_engine_limit_changes_total{change=\"" +
                 std::string(ToString(change)) + "\"}");
  log_.SystemEvent("engine_limit")
      .Add("change", ToString(change))
      .Add("origin", origin)
      .Add("before_per_s", limits::ToText(before))
      .Add("per_s", limits::ToText(after))
      .Add("waiting", scheduler_.Waiting())
      .Add("running", scheduler_.Running());
  if (on_status_change_) on_status_change_();
}

void scheduler_driver::OnGatewayLinked(std::uint64_t link) {
  for (const auto& known : permits_.Limits()) {
    send_(link, grants::limit_notice{known.endpoint, known.rate});
  }
  for (auto& record : evidence_.Records(loop_.Now())) {
    send_(link, grants::crash_notice{std::move(record)});
  }
}

void scheduler_driver::OnLinkLost(std::uint64_t link) {
  permits_.OnLinkLost(link);
  Perform(scheduler_.OnLinkLost(link, loop_.Now()));
}

// Crashes of the engine.

void scheduler_driver::OnRunEnded(std::uint64_t link,
                                  const grants::run_ended& ended) {
  const auto now = loop_.Now();
  const grants::request_key key{link, ended.number};
  if (ended.lost) {
    if (const auto run = scheduler_.FindRunning(key)) {
      watch_.OnRunLost(key, run->request->blamed_parts, run->granted_at, now);
    } else {
      watch_.OnRunLost(key, {}, now, now);
    }
    ReadStateNow();
  }
  Perform(
      scheduler_.OnEnded(key, ended.adapter_missing, now, ended.output_tokens));
}

void scheduler_driver::Perform(const crash_watch::findings& found) {
  if (found.crash) OnCrash(*found.crash, "engine");
  for (const auto& verdict : found.verdicts) {
    send_(verdict.run.link,
          grants::run_checked{verdict.run.number, verdict.engine_ended});
  }
}

void scheduler_driver::OnCrash(const quarantine::crash_record& record,
                               std::string_view origin) {
  auto news = evidence_.OnCrash(record, loop_.Now());
  if (!news) return;
  metrics_.Count("sidecar_crash_records_total{origin=\"" + std::string(origin) +
                 "\"}");
  auto line = log_.SystemEvent("crash_record");
  line.Add("origin", origin)
      .Add("sidecar", news->crash.sidecar.Value())
      .Add("engine_started_ms", news->crash.engine_started_unix_ms)
      .Add("age_ms", news->age.count())
      .Add("parts", quarantine::ToText(news->parts));
  send_to_all_(grants::crash_notice{std::move(*news)});
}

// Actions.

void scheduler_driver::Perform(grants::grant_scheduler::actions actions) {
  for (const grants::grant_action& action : actions) {
    std::visit(
        core::overloaded{
            [&](const grants::grant& given) {
              metrics_.Count("sidecar_grants_total");
              metrics_.Observe("sidecar_grant_wait_ms",
                               static_cast<double>(given.waited.count()));
              metrics_.Observe(
                  "sidecar_load_wait_ms",
                  static_cast<double>(given.waited_for_load.count()));
              send_(given.key.link,
                    grants::grant_issued{given.key.number, given.version,
                                         given.waited_for_load});
            },
            [&](const grants::refusal& refused) {
              metrics_.Count("sidecar_refusals_total{reason=\"" +
                             std::string(grants::ToString(refused.reason)) +
                             "\"}");
              send_(refused.key.link,
                    grants::grant_refused{refused.key.number, refused.reason,
                                          refused.retry_after,
                                          refused.expected_wait});
            },
            [&](const grants::engine_order& order) { PerformOrder(order); }},
        action);
  }
}

void scheduler_driver::PerformOrder(const grants::engine_order& order) {
  order_in_flight_ = true;
  try {
    SendOrder(order);
  } catch (const std::exception& failure) {
    // A caller may have sent a name that cannot be encoded in an order.
    order_in_flight_ = false;
    log_.SystemEvent("engine_order")
        .Add("subject", NameOf(order.subject))
        .Add("result", "not_sent")
        .Add("reason", failure.what());
    loop_.Post([this, order, alive = alive_] {
      if (!*alive) return;
      Perform(scheduler_.OnOrderEnded(order, grants::order_result::impossible,
                                      loop_.Now()));
    });
  }
}

void scheduler_driver::SendOrder(const grants::engine_order& order) {
  const std::int64_t fencing = fencing_.Value();
  engine_.Order(order, {options_.node, fencing}, options_.order_timeout,
                [this, order, fencing, alive = alive_](
                    grants::order_result result, const std::string& text) {
                  if (!*alive) return;
                  order_in_flight_ = false;
                  const bool loads =
                      order.what == grants::engine_order::kind::load;
                  log_.SystemEvent("engine_order")
                      .Add("order", loads ? "load" : "unload")
                      .Add("subject", NameOf(order.subject))
                      .Add("version", order.version)
                      .Add("fencing", fencing)
                      .Add("number", order.number)
                      .Add("orders_before", order.orders_before.value_or(-1))
                      .Add("result", std::string(grants::ToString(result)))
                      .Add("answer", text);
                  metrics_.Count(std::string("sidecar_orders_total{order=\"") +
                                 (loads ? "load" : "unload") + "\",result=\"" +
                                 std::string(grants::ToString(result)) + "\"}");
                  if (result == grants::order_result::stale_fencing) {
                    fencing_.OnStale(loop_.WallNow());
                  }
                  Perform(scheduler_.OnOrderEnded(order, result, loop_.Now()));
                  // The next order waits for it.
                  ReadStateNow();
                });
}

// Engine state.

void scheduler_driver::ReadState() {
  const auto requested_at = loop_.Now();
  read_in_progress_ = true;
  engine_.ReadState(
      options_.state_timeout,
      [this, requested_at, alive = alive_](const state_reading& reading) {
        if (!*alive) return;
        read_in_progress_ = false;
        OnState(reading, requested_at);
        if (std::exchange(reads_again_, false)) {
          ReadState();
        } else {
          ScheduleRead();
        }
      });
}

void scheduler_driver::ReadStateNow() {
  if (read_in_progress_) {
    reads_again_ = true;
    return;
  }
  loop_.Cancel(std::exchange(read_timer_, 0));
  ReadState();
}

void scheduler_driver::OnState(const state_reading& reading,
                               core::time_point requested_at) {
  const auto now = loop_.Now();
  if (const auto& state = reading.state) {
    last_answer_at_ = now;
    if (!engine_reachable_) {
      engine_reachable_ = true;
      log_.Dependency("engine", "regained")
          .Add("started_ms", state->started_unix_ms);
    }
    if (engine_started_ms_ != state->started_unix_ms) {
      log_.SystemEvent("engine_instance")
          .Add("before_ms", engine_started_ms_)
          .Add("started_ms", state->started_unix_ms)
          .Add("orders", state->orders_accepted);
      engine_started_ms_ = state->started_unix_ms;
    }
    LogUnreadableLimit(state->limit);
    Perform(watch_.OnEngineAnswered(state->started_unix_ms, state->leaving,
                                    requested_at, now));
    const auto limit_before = scheduler_.Limit();
    Perform(scheduler_.OnState(*state, requested_at, now));
    NoteLimitChange(limit_before, "report");
    return;
  }
  metrics_.Count("sidecar_state_failures_total");
  if (reading.is_refused) watch_.OnEngineRefused(now);
  if (now - last_answer_at_ < options_.down_after) return;
  if (engine_reachable_) {
    engine_reachable_ = false;
    log_.Dependency("engine", "lost")
        .Add("reason", reading.error)
        .Add("silent_ms", core::ToMilliseconds(now - last_answer_at_).count());
  }
  Perform(scheduler_.OnEngineDown(now));
}

void scheduler_driver::LogUnreadableLimit(
    const limits::limit_announcement& limit) {
  const bool is_unreadable = limit.present && !limit.rate;
  // Reports follow each other closely, so only the first one is logged.
  if (is_unreadable && !reported_limit_is_unreadable_) {
    metrics_.Count("sidecar_engine_limit_changes_total{change=\"unreadable\"}");
    log_.SystemEvent("engine_limit")
        .Add("change", "unreadable")
        .Add("origin", "report")
        .Add("per_s", limits::ToText(scheduler_.Limit()));
  }
  reported_limit_is_unreadable_ = is_unreadable;
}

void scheduler_driver::ScheduleRead() {
  const bool urgent = !engine_reachable_ || order_in_flight_ ||
                      watch_.IsPending() || scheduler_.Slots().Loading() > 0;
  read_timer_ = loop_.Schedule(
      urgent ? options_.urgent_state_period : options_.state_period, [this] {
        read_timer_ = 0;
        ReadState();
      });
}

void scheduler_driver::LogState() {
  const auto status = Status();
  const auto usage = scheduler_.SlotUsage(loop_.Now());
  log_.SystemEvent("engine_state")
      .Add("serving", status.serving)
      .Add("running", status.running)
      .Add("waiting", status.waiting)
      .Add("free_adapter_slots", status.free_adapter_slots)
      .Add("places_running", usage.running)
      .Add("places_loading", usage.loading)
      .Add("places_waited_for", usage.waited_for)
      .Add("places_promised", usage.reserved)
      .Add("places_unused", usage.unused)
      .Add("loads_waiting", status.loads_waiting)
      .Add("run_time_ms", scheduler_.RunTime().count())
      .Add("load_time_ms", scheduler_.LoadTime().count())
      .Add("displaced", scheduler_.Displaced())
      .Add("hopeless", scheduler_.Hopeless())
      .Add("prompt_tokens_per_s",
           static_cast<std::int64_t>(scheduler_.PrefillRate() * 1e3))
      .Add("token_time_us", scheduler_.TokenTime().count())
      .Add("state_age_ms",
           core::ToMilliseconds(loop_.Now() - last_answer_at_).count());
}

void scheduler_driver::UpdateMetrics() {
  const auto status = Status();
  metrics_.SetGauge("sidecar_running", static_cast<double>(status.running));
  metrics_.SetGauge("sidecar_waiting", static_cast<double>(status.waiting));
  metrics_.SetGauge("sidecar_adapter_slots_free",
                    static_cast<double>(status.free_adapter_slots));
  metrics_.SetGauge("sidecar_loads_waiting",
                    static_cast<double>(status.loads_waiting));
  metrics_.SetGauge("sidecar_serving", status.serving ? 1 : 0);
  metrics_.SetGauge("sidecar_engine_limit_per_s",
                    status.limit ? status.limit->PerSecond() : -1.0);
  metrics_.SetGauge("sidecar_counted_limits",
                    static_cast<double>(permits_.Limits().size()));
  metrics_.SetGauge("sidecar_crash_records",
                    static_cast<double>(evidence_.RecordCount()));
  metrics_.SetGauge("sidecar_permits_waiting",
                    static_cast<double>(permits_.Waiting()));
  metrics_.SetGauge("sidecar_engine_limit_wait_ms",
                    static_cast<double>(status.limit_wait.count()));
  metrics_.SetGauge("sidecar_load_time_ms",
                    static_cast<double>(scheduler_.LoadTime().count()));
  metrics_.SetGauge("sidecar_run_time_ms",
                    static_cast<double>(scheduler_.RunTime().count()));
  metrics_.SetGauge("sidecar_displaced_requests",
                    static_cast<double>(scheduler_.Displaced()));
  metrics_.SetGauge("sidecar_hopeless_requests",
                    static_cast<double>(scheduler_.Hopeless()));
  metrics_.SetGauge("sidecar_prompt_tokens_per_ms", scheduler_.PrefillRate());
  metrics_.SetGauge("sidecar_token_time_us",
                    static_cast<double>(scheduler_.TokenTime().count()));
}

}  // namespace comfreyspring::sidecar
