#include "agent/engine_controller.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

#include "agent/fencing_number.h"
#include "agent/foreign_run_guard.h"
#include "core/json_parser.h"

namespace comfreyspring::agent {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kServerError = 500;
constexpr core::milliseconds kStreamTick{100};
constexpr core::milliseconds kRetryPeriod{250};
// Consecutive failed status reads after which the engine counts as down, so
// that a single failure is tolerated. A refused connection is enough by itself.
constexpr int kFailuresUntilDown = 2;
// Added to the status period: if the engine ignores fencing numbers, the
// previous agent yields only when it next reads the status.
constexpr core::milliseconds kSettleMargin{1000};
// Names no adapter: the command only conveys the fencing number.
constexpr const char* kNoAdapter = "fencing-number";

std::vector<core::adapter_reference> ParseResidentAdapters(const json& status) {
  std::vector<core::adapter_reference> resident;
  for (const json& entry : status.value("resident", json::array())) {
    resident.push_back(
        {core::adapter_id(entry.at("adapter").get<std::string>()),
         core::version_id(entry.at("version").get<std::string>())});
  }
  return resident;
}

}  // namespace

struct engine_controller::impl : public engine_stream_host {
  impl(net::event_loop& event_loop, net::http_client_interface& client,
       engine_options settings)
      : loop(event_loop),
        http(client),
        options(std::move(settings)),
        number(options.started_unix_ms),
        guard(options.status_period + kSettleMargin) {}

  ~impl() override {
    loop.Cancel(status_timer);
    loop.Cancel(tick_timer);
    if (status_call != 0) http.Cancel(status_call);
    if (control_call != 0) http.Cancel(control_call);
    for (const auto& [id, call] : command_calls) http.Cancel(call);
  }

  // Status.

  void ScheduleStatus(core::milliseconds delay) {
    loop.Cancel(status_timer);
    status_timer = loop.Schedule(delay, [this] {
      status_timer = 0;
      ReadStatus();
    });
  }

  void ReadStatus() {
    if (status_call != 0) return;
    const int validation = validation_serial;
    const int commands = command_serial;
    net::http_callbacks callbacks;
    callbacks.on_done = [this, validation,
                         commands](const net::http_result& result) {
      status_call = 0;
      ScheduleStatus(options.status_period);
      OnStatusDone(result, validation, commands);
    };
    status_call =
        http.Start({.url = net::url(options.stream.url).AddPath("/status"),
                    .connect_timeout = options.stream.connect_timeout,
                    .total_timeout = options.status_timeout},
                   std::move(callbacks));
  }

  void OnStatusDone(const net::http_result& result, int validation,
                    int commands) {
    json status = core::TryParseJson(result.body);
    if (result.status != kOk || !status.is_object()) {
      OnStatusFailed(result);
      return;
    }
    try {
      ApplyStatus(status, validation, commands);
    } catch (const json::exception& failure) {
      LOG(WARNING) << "agent.engine: Status is malformed: " << failure.what()
                   << '.';
      OnStatusFailed(result);
    }
  }

  void OnStatusFailed(const net::http_result& result) {
    ++failures;
    ScheduleStatus(kRetryPeriod);
    const bool refused = result.failure == net::http_failure::not_sent;
    if (!up || (!refused && failures < kFailuresUntilDown)) return;
    LOG(WARNING) << "agent.engine: Engine is down: " << result.error_message
                 << '.';
    up = false;
    listener->OnEndpointAvailability();
  }

  void ApplyStatus(const json& status, int validation, int commands) {
    const auto resident = ParseResidentAdapters(status);
    admission::engine_limits limits{
        status.at("adapter_slots").get<std::size_t>(),
        status.at("batch_limit").get<std::size_t>()};
    const std::string instance = status.at("instance_id").dump();
    const auto seen = status.value("fencing_number", std::int64_t{0});
    checks_fencing = status.value("checks_fencing", false);
    load_report = status.value("load_report", json::object());
    failures = 0;
    const bool was_up = up;
    const bool was_ready = IsReady();
    up = true;
    if (!known_instance.empty() && known_instance != instance) {
      OnRestarted(instance);
    }
    known_instance = instance;
    UpdateFencing(seen);
    ApplyLoadReport();
    limits.may_evict = guard.MayEvict();
    if (validation == validation_serial) validated = true;
    if (!yielding) {
      // A status requested before a load or unload ended may not reflect it.
      if (commands == command_serial && command_calls.empty()) {
        listener->OnEndpointState(limits, resident);
      } else {
        listener->OnEndpointState(limits, last_resident);
        ScheduleStatus(kRetryPeriod);
      }
    }
    if (commands == command_serial) last_resident = resident;
    if (!was_up) LOG(INFO) << "agent.engine: Engine is up.";
    if (was_up != up || was_ready != IsReady()) {
      listener->OnEndpointAvailability();
    }
  }

  void OnRestarted(const std::string& instance) {
    LOG(WARNING) << "agent.engine: Engine restarted as " << instance
                 << "; lost " << streams.size() << " runs.";
    ++restarts;
    const auto lost = std::exchange(streams, {});
    for (const auto& [attempt, stream] : lost) stream->Abandon();
    // Responses to commands sent to the previous instance no longer apply.
    for (const auto& [id, call] : command_calls) http.Cancel(call);
    command_calls.clear();
    last_resident.clear();
    if (control_call != 0) http.Cancel(std::exchange(control_call, 0));
    ResetControl();
    UpdateOwnRuns();
    ++command_serial;
    listener->OnEndpointRestart();
  }

  // Fencing.

  /**
   * Sends the current fencing number to the engine, so that commands of a
   * previous agent are rejected, or that agent sees the number and yields.
   */
  void AcquireControl() {
    if (has_control || control_call != 0) return;
    const std::int64_t sent_number = number.Value();
    const json body = {{"adapter", kNoAdapter},
                       {"version", kNoAdapter},
                       {"fencing_number", sent_number}};
    net::http_callbacks callbacks;
    callbacks.on_done = [this, sent_number](const net::http_result& result) {
      control_call = 0;
      OnControlResponse(result.status, sent_number);
    };
    control_call = http.Start(
        {.method = "POST",
         .url = net::url(options.stream.url).AddPath("/adapters/unload"),
         .headers = {{"content-type", "application/json"}},
         .body = body.dump(),
         .connect_timeout = options.stream.connect_timeout,
         .total_timeout = options.status_timeout},
        std::move(callbacks));
  }

  void OnControlResponse(int status, std::int64_t sent_number) {
    if (status == kConflict) {
      OnFencingRefused();
      return;
    }
    const bool accepted = status != 0 && status < kServerError;
    if (!accepted || sent_number != number.Value()) return;
    has_control = true;
    guard.OnControlAcquired(loop.Now());
  }

  void ResetControl() {
    has_control = false;
    guard.OnControlLost();
  }

  void RenewNumber(std::int64_t seen) {
    number.Renew(seen);
    ResetControl();
  }

  void ApplyLoadReport() {
    if (yielding) return;
    AcquireControl();
    const auto age = load_report.value("age_ms", std::int64_t{0});
    const auto runs = load_report.value("running", std::int64_t{0}) +
                      load_report.value("waiting", std::int64_t{0});
    guard.OnLoadReport(runs, loop.Now() - core::milliseconds(age));
  }

  void UpdateFencing(std::int64_t seen) {
    const core::time_point now = loop.Now();
    if (!number_initialized) {
      number_initialized = true;
      if (seen >= number.Value()) RenewNumber(seen);
    } else if (seen > number.Value() && !yielding) {
      LOG(ERROR)
          << "agent.engine: Yielded to a newer agent with fencing number "
          << seen << '.';
      yielding = true;
      ResetControl();
      ++yields;
      yield_until = now + options.yield_time;
      listener->OnEndpointAvailability();
    } else if (yielding && seen != last_seen_number) {
      yield_until = now + options.yield_time;
    } else if (yielding && now >= yield_until) {
      LOG(WARNING) << "agent.engine: Regained control of the engine.";
      yielding = false;
      RenewNumber(seen);
      listener->OnEndpointAvailability();
    } else if (!validated && !yielding) {
      RenewNumber(seen);
    }
    last_seen_number = seen;
  }

  void Invalidate() {
    ++validation_serial;
    const bool was_ready = IsReady();
    validated = false;
    if (was_ready) listener->OnEndpointAvailability();
    ReadStatusAgain();
  }

  // A read that is in flight started too early to count.
  void ReadStatusAgain() {
    if (status_call != 0) http.Cancel(std::exchange(status_call, 0));
    ReadStatus();
  }

  bool IsUp() const { return up && !yielding; }
  bool IsReady() const { return IsUp() && validated; }

  // Commands.

  void SendCommand(net::url::literal path,
                   const core::adapter_reference& adapter,
                   std::function<void(const net::http_result&)> on_done) {
    const int id = ++next_command;
    const json body = {{"adapter", adapter.adapter.Value()},
                       {"version", adapter.version.Value()},
                       {"fencing_number", number.Value()}};
    net::http_callbacks callbacks;
    callbacks.on_done =
        [this, id, done = std::move(on_done)](const net::http_result& result) {
          command_calls.erase(id);
          ++command_serial;
          if (result.status == kConflict) OnFencingRefused();
          if (result.failure != net::http_failure::none) OnEngineUnresponsive();
          done(result);
        };
    command_calls[id] =
        http.Start({.method = "POST",
                    .url = net::url(options.stream.url).AddPath(path),
                    .headers = {{"content-type", "application/json"}},
                    .body = body.dump(),
                    .connect_timeout = options.stream.connect_timeout,
                    .total_timeout = options.load_timeout},
                   std::move(callbacks));
  }

  void StartLoad(const core::adapter_reference& adapter) {
    const core::time_point started = loop.Now();
    SendCommand("/adapters/load", adapter,
                [this, adapter, started](const net::http_result& result) {
                  if (result.status == kOk) {
                    last_resident.push_back(adapter);
                    listener->OnLoadDone(
                        adapter, core::ToMilliseconds(loop.Now() - started));
                    return;
                  }
                  OnLoadFailed(adapter, result);
                });
  }

  void OnLoadFailed(const core::adapter_reference& adapter,
                    const net::http_result& result) {
    LOG(WARNING) << "agent.engine: Load of " << core::ToString(adapter)
                 << " failed: status " << result.status << ' '
                 << result.error_message << result.body.substr(0, 200) << '.';
    ScheduleStatus(kRetryPeriod);
    listener->OnLoadFailed(adapter);
  }

  // engine_stream_host.

  std::int64_t FencingNumber() const override { return number.Value(); }

  void OnFencingRefused() override {
    LOG(WARNING) << "agent.engine: Engine rejected the fencing number.";
    ++fencing_refusals;
    Invalidate();
  }

  void OnEngineUnresponsive() override { ReadStatus(); }

  void OnStateMismatch() override {
    ++state_mismatches;
    ReadStatus();
  }

  void OnStreamEnded(const core::attempt_id& attempt) override {
    streams.erase(attempt);
    UpdateOwnRuns();
  }

  void UpdateOwnRuns() {
    guard.OnOwnRuns(static_cast<std::int64_t>(streams.size()), loop.Now());
  }

  void Tick() {
    const auto current = streams;
    for (const auto& [attempt, stream] : current) stream->OnTick(loop.Now());
  }

  net::event_loop& loop;
  net::http_client_interface& http;
  engine_options options;
  endpoint_listener* listener = nullptr;
  std::unordered_map<core::attempt_id, std::shared_ptr<engine_stream>> streams;

  net::timer_id status_timer = 0;
  net::timer_id tick_timer = 0;
  net::http_call_id status_call = 0;
  int failures = 0;
  std::string known_instance;
  std::vector<core::adapter_reference> last_resident;
  json load_report;
  bool checks_fencing = false;
  bool up = false;
  bool validated = false;
  int validation_serial = 0;

  fencing_number number;
  foreign_run_guard guard;
  bool has_control = false;
  net::http_call_id control_call = 0;
  bool number_initialized = false;
  bool yielding = false;
  core::time_point yield_until;
  std::int64_t last_seen_number = 0;

  std::unordered_map<int, net::http_call_id> command_calls;
  int next_command = 0;
  /** Changes whenever the resident adapters may have changed. */
  int command_serial = 0;

  std::uint64_t restarts = 0;
  std::uint64_t yields = 0;
  std::uint64_t fencing_refusals = 0;
  std::uint64_t state_mismatches = 0;
};

engine_controller::engine_controller(net::event_loop& loop,
                                     net::http_client_interface& http,
                                     engine_options options)
    : impl_(std::make_unique<impl>(loop, http, std::move(options))) {}

engine_controller::~engine_controller() = default;

void engine_controller::SetListener(endpoint_listener& listener) {
  impl_->listener = &listener;
}

void engine_controller::Begin() {
  impl_->ReadStatus();
  impl_->tick_timer = impl_->loop.SchedulePeriodic(
      kStreamTick, [state = impl_.get()] { state->Tick(); });
}

void engine_controller::Run(run_request run) {
  const core::attempt_id attempt = run.request->attempt;
  auto stream = std::make_shared<engine_stream>(
      impl_->loop, impl_->http, *impl_, *impl_->listener, impl_->options.stream,
      std::move(run));
  impl_->streams[attempt] = stream;
  impl_->UpdateOwnRuns();
  stream->Start();
}

void engine_controller::Cancel(const core::attempt_id& attempt) {
  const auto found = impl_->streams.find(attempt);
  if (found == impl_->streams.end()) return;
  const auto stream = found->second;
  stream->Cancel();
}

void engine_controller::Load(
    const core::adapter_reference& adapter,
    const std::optional<core::adapter_reference>& evict) {
  if (!evict) {
    impl_->StartLoad(adapter);
    return;
  }
  std::erase(impl_->last_resident, *evict);
  impl_->SendCommand(
      "/adapters/unload", *evict,
      [state = impl_.get(), adapter](const net::http_result& result) {
        if (result.status == kOk || result.status == kNotFound) {
          state->StartLoad(adapter);
          return;
        }
        state->OnLoadFailed(adapter, result);
      });
}

void engine_controller::Revalidate() { impl_->Invalidate(); }

bool engine_controller::IsUp() const { return impl_->IsUp(); }

bool engine_controller::IsReady() const { return impl_->IsReady(); }

nlohmann::json engine_controller::ToJson() const {
  return {{"url", impl_->options.stream.url.Text()},
          {"up", impl_->up},
          {"ready", impl_->IsReady()},
          {"yielding", impl_->yielding},
          {"instance_id", impl_->known_instance},
          {"checks_fencing", impl_->checks_fencing},
          {"may_evict", impl_->guard.MayEvict()},
          {"fencing_number", impl_->number.Value()},
          {"fencing_number_seen", impl_->last_seen_number},
          {"runs", impl_->streams.size()},
          {"commands_in_flight", impl_->command_calls.size()},
          {"engine_load_report", impl_->load_report},
          {"restarts", impl_->restarts},
          {"yields", impl_->yields},
          {"fencing_refusals", impl_->fencing_refusals},
          {"state_mismatches", impl_->state_mismatches}};
}

}  // namespace comfreyspring::agent
