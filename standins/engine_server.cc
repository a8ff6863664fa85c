#include "standins/engine_server.h"

#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyspring::standins {
namespace {

// How long a stream without a client is kept so that it can be resumed.
constexpr core::milliseconds kResumeWindow{30000};
// Steps that are later than this are not caught up.
constexpr core::milliseconds kMaximumCatchUp{50};
// Batch size at which a step takes twice the configured token time.
constexpr double kDoubleTimeBatchSize = 32.0;
constexpr const char* kStreams = "/streams/";
constexpr const char* kCancel = "/cancel";

adapter_key AdapterOf(const nlohmann::json& body) {
  return {body.value("adapter", ""), body.value("version", "")};
}

bool IsUrgent(const nlohmann::json& body) {
  const auto found = body.find("priority");
  if (found == body.end()) return true;
  if (found->is_number()) return found->get<double>() > 0;
  return *found == "urgent";
}

net::http_server_options ServerOptions(const engine_options& options) {
  net::http_server_options result;
  result.address = options.address;
  result.port = options.port;
  return result;
}

}  // namespace

engine_server::engine_server(net::event_loop& loop, engine_options options)
    : loop_(loop),
      options_(std::move(options)),
      adapters_(options_.slots),
      batch_(options_.batch_limit),
      last_step_(loop.Now()),
      client_(loop),
      server_(loop, ServerOptions(options_),
              [this](const exchange_pointer& exchange) { Handle(exchange); }) {
  Restart();
}

engine_server::~engine_server() {
  loop_.Cancel(step_timer_);
  for (const auto& [id, client] : connections_) loop_.Cancel(client.expiry);
}

// Requests.

void engine_server::Handle(const exchange_pointer& exchange) {
  const bool is_control = exchange->Request().path.rfind("/standin/", 0) == 0;
  if (behaviour_.silent && !is_control) {
    held_exchanges_.push_back(exchange);
    return;
  }
  try {
    Route(exchange);
  } catch (const nlohmann::json::exception&) {
    RespondError(exchange, 400, "bad_request");
  }
}

void engine_server::Route(const exchange_pointer& exchange) {
  const net::http_request& request = exchange->Request();
  const std::string route = request.method + ' ' + request.path;
  if (route == "GET /status") return ShowStatus(exchange);
  if (route == "POST /v1/completions") return Complete(exchange);
  if (route == "POST /adapters/load") return LoadAdapter(exchange);
  if (route == "POST /adapters/unload") return UnloadAdapter(exchange);
  if (route == "POST /standin/behaviour") return SetBehaviour(exchange);
  if (route == "GET /standin/counts") return ShowCounts(exchange);
  if (request.path.rfind(kStreams, 0) == 0) return RouteStream(exchange);
  RespondError(exchange, 404, "unknown_path");
}

void engine_server::RouteStream(const exchange_pointer& exchange) {
  const net::http_request& request = exchange->Request();
  const std::string rest = request.path.substr(std::string(kStreams).size());
  const std::size_t slash = rest.find('/');
  const std::string id = rest.substr(0, slash);
  const std::string action =
      slash == std::string::npos ? "" : rest.substr(slash);
  if (batch_.Find(id) == nullptr) {
    return RespondError(exchange, 404, "unknown_stream");
  }
  if (request.method == "GET" && action.empty()) return Resume(exchange, id);
  if (request.method == "POST" && action == kCancel) {
    return Cancel(exchange, id);
  }
  RespondError(exchange, 404, "unknown_path");
}

void engine_server::ShowStatus(const exchange_pointer& exchange) {
  SampleLoad();
  nlohmann::json resident = nlohmann::json::array();
  for (const auto& [adapter, version] : adapters_.Resident()) {
    resident.push_back({{"adapter", adapter}, {"version", version}});
  }
  const load_sample& sample = load_samples_.front();
  // The sample was valid until the next one, which is newer than the lag.
  const auto age = std::min(core::ToMilliseconds(loop_.Now() - sample.taken),
                            options_.load_report_lag);
  const nlohmann::json load_report = {{"age_ms", age.count()},
                                      {"running", sample.running},
                                      {"waiting", sample.waiting}};
  RespondJson(exchange, 200,
              {{"instance_id", instance_id_},
               {"started_ms", started_ms_},
               {"model", options_.model},
               {"adapter_slots", adapters_.Slots()},
               {"batch_limit", options_.batch_limit},
               {"resident", resident},
               {"fencing_number", fencing_number_},
               {"checks_fencing", options_.checks_fencing},
               {"load_report", load_report}});
}

void engine_server::SampleLoad() {
  const core::time_point now = loop_.Now();
  load_samples_.push_back({now, batch_.Running(), batch_.Waiting()});
  // Keeps the newest sample that is at least as old as the lag.
  while (load_samples_.size() > 1 &&
         now - load_samples_[1].taken >= options_.load_report_lag) {
    load_samples_.pop_front();
  }
}

void engine_server::ShowCounts(const exchange_pointer& exchange) {
  RespondJson(
      exchange, 200,
      {{"requests", counters_.requests},
       {"tokens", counters_.tokens},
       {"loads", counters_.loads},
       {"load_failures", counters_.load_failures},
       {"unloads", counters_.unloads},
       {"unloads_with_running_streams", counters_.unloads_with_running_streams},
       {"fencing_refusals", counters_.fencing_refusals},
       {"resumes", counters_.resumes},
       {"cancels", counters_.cancels}});
}

// Adapters.

bool engine_server::RejectIfStale(const exchange_pointer& exchange,
                                  const nlohmann::json& body) {
  const auto number = body.value("fencing_number", std::uint64_t{0});
  if (options_.checks_fencing && number < fencing_number_) {
    ++counters_.fencing_refusals;
    RespondJson(exchange, 409,
                {{"error", "stale_fencing_number"},
                 {"fencing_number", fencing_number_}});
    return true;
  }
  fencing_number_ = std::max(fencing_number_, number);
  return false;
}

void engine_server::LoadAdapter(const exchange_pointer& exchange) {
  const nlohmann::json body = ParseBody(*exchange);
  const adapter_key adapter = AdapterOf(body);
  if (RejectIfStale(exchange, body)) return;
  switch (adapters_.StartLoad(adapter)) {
    case engine_adapters::load_start::resident:
      return RespondJson(exchange, 200, {{"loaded", true}});
    case engine_adapters::load_start::no_free_slot:
      return RespondError(exchange, 507, "no_free_slot");
    case engine_adapters::load_start::started:
      StartLoad(adapter);
      break;
    case engine_adapters::load_start::in_progress:
      break;
  }
  load_waiters_[adapter].push_back(exchange);
}

void engine_server::StartLoad(const adapter_key& adapter) {
  const std::uint64_t restarts = restarts_;
  const auto finish = [this, adapter, restarts](bool loaded) {
    if (restarts == restarts_) FinishLoad(adapter, loaded);
  };
  if (options_.weights_url.empty()) {
    loop_.Schedule(options_.load_time, [finish] { finish(true); });
    return;
  }
  net::http_call call;
  call.url = net::url(options_.weights_url)
                 .AddSegment(adapter.first)
                 .AddSegment(adapter.second);
  call.total_timeout = core::milliseconds(60000);
  net::http_callbacks callbacks;
  callbacks.on_done = [finish](const net::http_result& result) {
    finish(result.failure == net::http_failure::none && result.status == 200);
  };
  client_.Start(std::move(call), std::move(callbacks));
}

void engine_server::FinishLoad(const adapter_key& adapter, bool loaded) {
  if (loaded && behaviour_.fail_loads > 0) {
    --behaviour_.fail_loads;
    loaded = false;
  }
  if (!adapters_.FinishLoad(adapter, loaded)) loaded = false;
  ++(loaded ? counters_.loads : counters_.load_failures);
  const auto waiters = load_waiters_.extract(adapter);
  if (waiters.empty()) return;
  for (const exchange_pointer& exchange : waiters.mapped()) {
    if (loaded) {
      RespondJson(exchange, 200, {{"loaded", true}});
    } else {
      RespondError(exchange, 502, "load_failed");
    }
  }
}

void engine_server::UnloadAdapter(const exchange_pointer& exchange) {
  const nlohmann::json body = ParseBody(*exchange);
  const adapter_key adapter = AdapterOf(body);
  if (RejectIfStale(exchange, body)) return;
  const bool was_resident = adapters_.Unload(adapter);
  if (was_resident) ++counters_.unloads;
  const std::vector<std::string> streams = batch_.ActiveStreams(adapter);
  if (was_resident && !streams.empty()) {
    ++counters_.unloads_with_running_streams;
  }
  // These streams cannot continue without their adapter.
  for (const std::string& id : streams) {
    if (const auto& client = connections_[id].exchange) client->Abort();
    RemoveStream(id);
  }
  RespondJson(exchange, 200, {{"unloaded", was_resident}});
}

// Fault injection.

void engine_server::SetBehaviour(const exchange_pointer& exchange) {
  const nlohmann::json body = ParseBody(*exchange);
  if (!body.is_object()) return RespondError(exchange, 400, "bad_request");
  behaviour_.slow_factor = body.value("slow_factor", behaviour_.slow_factor);
  behaviour_.fail_loads = body.value("fail_loads", behaviour_.fail_loads);
  options_.checks_fencing =
      body.value("checks_fencing", options_.checks_fencing);
  behaviour_.silent = body.value("silent", behaviour_.silent);
  if (body.value("restart", false)) Restart();
  if (body.value("drop_streams", false)) DropConnections();
  RespondJson(exchange, 200, {{"applied", true}});
  if (behaviour_.silent) return;
  ScheduleStep();
  const auto held = std::exchange(held_exchanges_, {});
  for (const exchange_pointer& waiting : held) Handle(waiting);
}

void engine_server::DropConnections() {
  std::vector<std::string> ids;
  for (const auto& [id, connection] : connections_) ids.push_back(id);
  for (const std::string& id : ids) {
    const exchange_pointer client = connections_[id].exchange;
    if (!client) continue;
    Detach(id);
    client->Abort();
  }
  for (const auto& [adapter, waiters] : load_waiters_) {
    for (const exchange_pointer& waiting : waiters) waiting->Abort();
  }
  load_waiters_.clear();
  for (const exchange_pointer& waiting : held_exchanges_) waiting->Abort();
  held_exchanges_.clear();
}

void engine_server::Restart() {
  DropConnections();
  while (!connections_.empty()) {
    const std::string id = connections_.begin()->first;
    RemoveStream(id);
  }
  adapters_.Clear();
  load_samples_.clear();
  fencing_number_ = 0;
  started_ms_ = core::UnixMilliseconds(loop_.WallNow());
  instance_id_ = std::to_string(started_ms_) + '-' +
                 std::to_string(::getpid()) + '-' + std::to_string(++restarts_);
}

// Streams.

void engine_server::Complete(const exchange_pointer& exchange) {
  const nlohmann::json body = ParseBody(*exchange);
  if (!body.is_object()) return RespondError(exchange, 400, "bad_request");
  ++counters_.requests;
  if (RejectIfStale(exchange, body)) return;
  stream_request request;
  request.adapter = AdapterOf(body);
  request.prompt = body.value("prompt", "");
  request.maximum_tokens = body.value("max_tokens", std::size_t{16});
  request.urgent = IsUrgent(body);
  if (!adapters_.IsResident(request.adapter)) {
    return RespondError(exchange, 404, "adapter_not_resident");
  }
  Attach(batch_.Add(std::move(request)), exchange, 0);
  ScheduleStep();
}

void engine_server::Resume(const exchange_pointer& exchange,
                           const std::string& id) {
  ++counters_.resumes;
  if (const exchange_pointer client = connections_[id].exchange) {
    Detach(id);
    client->Abort();
  }
  Attach(id, exchange, QueryNumber(*exchange, "offset"));
  SendTokens(id);
}

void engine_server::Cancel(const exchange_pointer& exchange,
                           const std::string& id) {
  ++counters_.cancels;
  batch_.Cancel(id);
  const std::size_t tokens = batch_.Find(id)->tokens;
  RespondJson(exchange, 200, {{"cancelled", true}, {"tokens", tokens}});
  SendTokens(id);
}

void engine_server::Attach(const std::string& id,
                           const exchange_pointer& exchange,
                           std::size_t offset) {
  stream_connection& connection = connections_[id];
  loop_.Cancel(std::exchange(connection.expiry, 0));
  connection.exchange = exchange;
  connection.next_offset = offset;
  connection.stream_id_sent = false;
  exchange->BeginStream(200, {{"content-type", "text/event-stream"},
                              {"x-stream-id", id},
                              {"x-instance-id", instance_id_}});
  exchange->OnClientGone([this, id, restarts = restarts_] {
    if (restarts == restarts_) Detach(id);
  });
}

void engine_server::Detach(const std::string& id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  if (found->second.exchange) found->second.exchange->OnClientGone([] {});
  found->second.exchange = nullptr;
  ScheduleExpiry(id);
}

void engine_server::ScheduleExpiry(const std::string& id) {
  stream_connection& connection = connections_[id];
  loop_.Cancel(connection.expiry);
  connection.expiry =
      loop_.Schedule(kResumeWindow, [this, id] { RemoveStream(id); });
}

void engine_server::RemoveStream(const std::string& id) {
  const auto found = connections_.find(id);
  if (found != connections_.end()) {
    loop_.Cancel(found->second.expiry);
    connections_.erase(found);
  }
  batch_.Remove(id);
}

void engine_server::SendTokens(const std::string& id) {
  stream_connection& connection = connections_[id];
  const engine_stream& stream = *batch_.Find(id);
  if (!connection.exchange) {
    if (!stream.IsActive()) ScheduleExpiry(id);
    return;
  }
  for (; connection.next_offset < stream.tokens; ++connection.next_offset) {
    SendEvent(id,
              {{"offset", connection.next_offset},
               {"text", TokenText(stream.request, connection.next_offset)}});
  }
  if (!stream.IsActive()) SendEnd(id);
}

void engine_server::SendEvent(const std::string& id, nlohmann::json event) {
  stream_connection& connection = connections_[id];
  if (!std::exchange(connection.stream_id_sent, true)) {
    const adapter_key& adapter = batch_.Find(id)->request.adapter;
    event["stream_id"] = id;
    event["adapter"] = adapter.first;
    event["version"] = adapter.second;
  }
  connection.exchange->Write("data: " + event.dump() + "\n\n");
}

void engine_server::SendEnd(const std::string& id) {
  const engine_stream& stream = *batch_.Find(id);
  const bool is_done = stream.current_phase == engine_stream::phase::done;
  SendEvent(id, {{is_done ? "done" : "cancelled", true},
                 {"tokens", stream.tokens},
                 {"adapter", stream.request.adapter.first},
                 {"version", stream.request.adapter.second}});
  const exchange_pointer client = connections_[id].exchange;
  client->EndStream();
  Detach(id);
}

// Steps.

core::microseconds engine_server::StepTime() const {
  const auto batch = static_cast<double>(
      std::min(batch_.Running() + batch_.Waiting(), options_.batch_limit));
  const double base_us =
      static_cast<double>(core::microseconds(options_.token_time).count());
  return core::microseconds(static_cast<std::int64_t>(
      base_us * (1.0 + batch / kDoubleTimeBatchSize) * behaviour_.slow_factor));
}

void engine_server::ScheduleStep() {
  if (step_timer_ != 0 || behaviour_.silent) return;
  if (batch_.Running() + batch_.Waiting() == 0) return;
  // Each step is scheduled from the due time of the previous one, so that
  // rounding of timers to milliseconds does not accumulate.
  const core::time_point now = loop_.Now();
  if (now - last_step_ > StepTime() + kMaximumCatchUp) last_step_ = now;
  const auto delay =
      std::max(core::microseconds(0), last_step_ + StepTime() - now);
  last_step_ += StepTime();
  step_timer_ =
      loop_.Schedule(std::chrono::round<core::milliseconds>(delay), [this] {
        step_timer_ = 0;
        Step();
      });
}

void engine_server::Step() {
  if (behaviour_.silent) return;
  const std::vector<std::string> stepped = batch_.Step();
  counters_.tokens += stepped.size();
  for (const std::string& id : stepped) SendTokens(id);
  SampleLoad();
  ScheduleStep();
}

}  // namespace comfreyspring::standins
