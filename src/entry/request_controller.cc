#include "entry/request_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/hash.h"
#include "entry/delivered_output.h"
#include "entry/response_writer.h"
#include "stream/stream_assembler.h"
#include "trace/recording_router.h"

namespace comfreyspring::entry {
namespace {

using nlohmann::json;

constexpr core::milliseconds kTickPeriod{20};
/** Number of chunks between progress reports to the router, which detects slow
 * endpoints by them. */
constexpr std::uint64_t kProgressChunkInterval = 8;
/** Length of the prompt prefix that is hashed for the router, so that requests
 * can reuse cached prefixes. */
constexpr std::size_t kHashedPrefixBytes = 512;
/** A caller with more pending output is disconnected as too slow. */
constexpr std::size_t kMaximumPendingBytes = 8 * 1024 * 1024;

double MillisecondsBetween(core::time_point from, core::time_point to) {
  return static_cast<double>((to - from).count()) / 1000.0;
}

}  // namespace

struct request_controller::impl {
  struct attempt_state {
    core::request_id request;
    core::endpoint_id endpoint;
    stream::stream_assembler assembler;
    /** Chunks in order that are not yet written to the caller. */
    std::vector<std::string> buffered;
    bool has_output = false;
    /** If the chunk stream breaks before this message, the failure casts no
     * doubt on the earlier chunks. */
    bool finished_received = false;
  };

  struct request_state {
    explicit request_state(request_context accepted)
        : context(std::move(accepted)), writer(context) {}
    request_context context;
    response_writer writer;
    delivered_output delivered;
    core::attempt_id selected;
    std::vector<core::attempt_id> attempts;
  };

  impl(net::event_loop& event_loop, routing::router_options options,
       const membership::endpoint_directory& directory,
       agent_sender& agent_link, telemetry::metrics& registry,
       trace::trace_writer* trace)
      : loop(event_loop),
        router(options, directory, trace, event_loop.Now()),
        sender(agent_link),
        metrics(registry) {
    tick_timer = loop.SchedulePeriodic(
        kTickPeriod, [this] { Execute(router.OnTick(loop.Now())); });
  }

  ~impl() { loop.Cancel(tick_timer); }

  // Router actions.

  void Execute(const std::vector<routing::router_action>& actions) {
    for (const routing::router_action& action : actions) {
      std::visit([this](const auto& typed) { ExecuteAction(typed); }, action);
    }
  }

  void ExecuteAction(const routing::submit_attempt& action) {
    const auto position = requests.find(action.request);
    if (position == requests.end()) return;
    request_state& state = *position->second;
    if (action.continuation) BeginContinuation(state);
    state.attempts.push_back(action.attempt);
    attempt_state& attempt = attempts[action.attempt];
    attempt.request = action.request;
    attempt.endpoint = action.endpoint;
    const core::attempt_id id = action.attempt;
    if (action.continuation && RemainingTokens(state) <= 0) {
      loop.Post([this, id] { CompleteWithoutSubmit(id); });
      return;
    }
    if (sender.Send(action.endpoint, MakeSubmit(state, action))) return;
    loop.Post([this, id] { Execute(router.OnNotSent(id, loop.Now())); });
  }

  void ExecuteAction(const routing::withdraw_attempt& action) {
    sender.Send(action.endpoint, wire::withdraw{action.attempt});
  }

  void ExecuteAction(const routing::select_attempt& action) {
    const auto position = requests.find(action.request);
    if (position == requests.end()) return;
    request_state& state = *position->second;
    state.selected = action.attempt;
    attempt_state& attempt = attempts.at(action.attempt);
    if (state.delivered.ChunkCount() == 0) {
      metrics.Observe("entry_first_output_ms",
                      MillisecondsBetween(state.context.received, loop.Now()));
    }
    WriteBufferedChunks(state, attempt);
  }

  void ExecuteAction(const routing::complete_request& action) {
    const auto position = requests.find(action.request);
    if (position == requests.end()) return;
    metrics.Observe(
        "entry_request_ms",
        MillisecondsBetween(position->second->context.received, loop.Now()));
    metrics.Count("entry_requests_completed_total");
    request_state& state = *position->second;
    finished_message.tokens.value += state.delivered.EarlierChunkCount();
    state.writer.Finish(finished_message);
    RemoveRequest(action.request);
  }

  void ExecuteAction(const routing::fail_request& action) {
    const auto position = requests.find(action.request);
    if (position == requests.end()) return;
    LOG(WARNING) << "entry.request: Request " << action.request
                 << " failed with " << action.reason << ": " << action.message;
    metrics.Count("entry_requests_failed_total{reason=\"" + action.reason +
                  "\"}");
    position->second->writer.Fail(ErrorForFailure(
        action.outcome, action.reason, action.message, action.retry_after));
    RemoveRequest(action.request);
  }

  void ExecuteAction(const routing::suspect_link& action) {
    sender.ReplaceLink(action.endpoint);
  }

  // Helpers.

  /** Removes the earlier attempts, so that their late output is dropped. */
  void BeginContinuation(request_state& state) {
    for (const core::attempt_id& earlier : state.attempts) {
      attempts.erase(earlier);
    }
    state.attempts.clear();
    state.selected = core::attempt_id();
    state.delivered.BeginContinuation();
    metrics.Count("entry_continuations_total");
  }

  static std::int64_t RemainingTokens(const request_state& state) {
    return state.context.maximum_tokens - state.delivered.ChunkCount();
  }

  void CompleteWithoutSubmit(const core::attempt_id& id) {
    const auto position = attempts.find(id);
    if (position == attempts.end()) return;
    finished_message = wire::finished();
    Execute(router.OnNothingToContinue(id, loop.Now()));
  }

  /** Writes the buffered chunks of the selected attempt to the caller. */
  void WriteBufferedChunks(request_state& state, attempt_state& attempt) {
    const bool keep = state.context.idempotent &&
                      state.context.kind == core::request_kind::completion;
    for (const std::string& chunk : attempt.buffered) {
      state.writer.Write(chunk);
      if (keep) state.delivered.Add(chunk);
    }
    attempt.buffered.clear();
    if (!state.delivered.IsWithinLimit()) {
      router.DisallowContinuation(state.context.request, loop.Now());
    }
  }

  wire::submit MakeSubmit(const request_state& state,
                          const routing::submit_attempt& action) const {
    const request_context& context = state.context;
    const core::milliseconds remaining =
        core::ToMilliseconds(context.deadline - loop.Now());
    wire::submit message;
    message.attempt = action.attempt;
    message.kind = context.kind;
    message.adapter = context.adapter;
    message.version = context.configuration->version;
    message.priority = context.priority;
    message.remaining = remaining;
    message.expires_unix_ms =
        core::UnixMilliseconds(loop.WallNow() + remaining);
    message.expected_tokens = core::token_count{RemainingTokens(state)};
    message.idempotent = context.idempotent;
    message.key = context.key;
    message.ownership_epoch = context.key_owner ? context.key_owner->epoch : 0;
    message.service = context.service;
    if (context.kind == core::request_kind::completion) {
      const json body = {{"prompt", context.prompt + state.delivered.Text()},
                         {"max_tokens", RemainingTokens(state)}};
      message.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
      return message;
    }
    const net::http_request& request = context.exchange->Request();
    message.method = request.method;
    message.path = context.service_path;
    const auto type = request.headers.find("content-type");
    if (type != request.headers.end()) message.content_type = type->second;
    message.body = request.body;
    return message;
  }

  void RemoveRequest(const core::request_id& request) {
    const auto position = requests.find(request);
    if (position == requests.end()) return;
    for (const core::attempt_id& attempt : position->second->attempts) {
      attempts.erase(attempt);
    }
    requests.erase(position);
  }

  // Messages of attempts.

  void OnChunk(const wire::chunk& message) {
    const auto position = attempts.find(message.attempt);
    if (position == attempts.end()) return;
    attempt_state& attempt = position->second;
    std::vector<std::string> chunks = attempt.assembler.OnChunk(message);
    const core::request_id request = attempt.request;
    attempt.buffered.insert(attempt.buffered.end(),
                            std::make_move_iterator(chunks.begin()),
                            std::make_move_iterator(chunks.end()));
    if (attempt.assembler.State() == stream::assembly_state::broken) {
      Execute(router.OnBrokenAnswer(message.attempt, attempt.assembler.Reason(),
                                    loop.Now(), !attempt.finished_received));
      return;
    }
    if (!attempt.has_output && !attempt.buffered.empty()) {
      attempt.has_output = true;
      Execute(router.OnFirstChunk(message.attempt, loop.Now()));
    } else if (message.sequence % kProgressChunkInterval == 0) {
      router.OnProgress(message.attempt, attempt.assembler.NextSequence(),
                        loop.Now());
    }
    FlushSelectedAttempt(request, message.attempt);
  }

  /** Writes the chunks of an attempt if it is selected; disconnects a caller
   * that reads too slowly. */
  void FlushSelectedAttempt(const core::request_id& request,
                            const core::attempt_id& id) {
    const auto owner = requests.find(request);
    const auto position = attempts.find(id);
    if (owner == requests.end() || position == attempts.end()) return;
    request_state& state = *owner->second;
    if (state.selected != id) return;
    WriteBufferedChunks(state, position->second);
    if (state.writer.PendingBytes() <= kMaximumPendingBytes) return;
    LOG(WARNING) << "entry.request: Disconnected the caller of request "
                 << request << ": it reads the response too slowly.";
    state.context.exchange->Abort();
    OnCallerDisconnected(request);
  }

  void OnFinished(const wire::finished& message) {
    const auto position = attempts.find(message.attempt);
    if (position == attempts.end()) {
      Execute(router.OnFinished(message, loop.Now()));
      return;
    }
    attempt_state& attempt = position->second;
    const request_context& context = requests.at(attempt.request)->context;
    if (context.kind == core::request_kind::completion &&
        message.adapter != context.adapter) {
      Execute(router.OnBrokenAnswer(
          message.attempt,
          "response came from adapter " + core::ToString(message.adapter),
          loop.Now()));
      return;
    }
    attempt.finished_received = true;
    switch (attempt.assembler.OnFinished(message)) {
      case stream::assembly_state::open:
        // Chunks were lost with an earlier link and are requested again.
        sender.Send(
            attempt.endpoint,
            wire::resume{message.attempt, attempt.assembler.NextSequence()});
        return;
      case stream::assembly_state::broken:
        Execute(router.OnBrokenAnswer(message.attempt,
                                      attempt.assembler.Reason(), loop.Now()));
        return;
      case stream::assembly_state::complete:
        finished_message = message;
        Execute(router.OnFinished(message, loop.Now()));
        return;
    }
  }

  void OnCallerDisconnected(const core::request_id& request) {
    Execute(router.OnCallerGone(request, loop.Now()));
    metrics.Count("entry_callers_gone_total");
    RemoveRequest(request);
  }

  net::event_loop& loop;
  trace::recording_router router;
  agent_sender& sender;
  telemetry::metrics& metrics;
  std::unordered_map<core::request_id, std::unique_ptr<request_state>> requests;
  std::unordered_map<core::attempt_id, attempt_state> attempts;
  /** Final message of the attempt that the next complete_request completes. */
  wire::finished finished_message;
  net::timer_id tick_timer = 0;
};

request_controller::request_controller(
    net::event_loop& loop, routing::router_options options,
    const membership::endpoint_directory& directory, agent_sender& sender,
    telemetry::metrics& metrics, trace::trace_writer* trace)
    : impl_(std::make_unique<impl>(loop, options, directory, sender, metrics,
                                   trace)) {}

request_controller::~request_controller() = default;

void request_controller::StartRequest(request_context context) {
  routing::request_attributes attributes;
  attributes.request = context.request;
  attributes.kind = context.kind;
  attributes.model = context.model;
  attributes.adapter = context.adapter;
  attributes.service = context.service;
  attributes.priority = context.priority;
  attributes.idempotent = context.idempotent;
  attributes.expected_tokens = core::token_count{context.maximum_tokens};
  attributes.deadline = context.deadline;
  if (context.key_owner) attributes.home = context.key_owner->endpoint;
  if (!context.prompt.empty()) {
    const std::string_view prompt = context.prompt;
    attributes.prefix_hash = core::Hash64(prompt.substr(0, kHashedPrefixBytes));
  }
  const core::request_id request = context.request;
  context.exchange->OnClientGone(
      [this, request] { impl_->OnCallerDisconnected(request); });
  impl_->requests.emplace(
      request, std::make_unique<impl::request_state>(std::move(context)));
  impl_->metrics.Count("entry_requests_total{class=\"" +
                       std::string(core::ToString(attributes.priority)) +
                       "\"}");
  impl_->Execute(impl_->router.OnRequest(attributes, impl_->loop.Now()));
}

void request_controller::OnMessage(const core::endpoint_id&,
                                   const wire::message& message) {
  const core::time_point now = impl_->loop.Now();
  if (const auto* chunk = std::get_if<wire::chunk>(&message)) {
    impl_->OnChunk(*chunk);
  } else if (const auto* finished = std::get_if<wire::finished>(&message)) {
    impl_->OnFinished(*finished);
  } else if (const auto* queued = std::get_if<wire::accepted>(&message)) {
    impl_->Execute(
        impl_->router.OnAccepted(queued->attempt, queued->report, now));
  } else if (const auto* refusal = std::get_if<wire::refused>(&message)) {
    impl_->Execute(impl_->router.OnRefused(*refusal, now));
  } else if (const auto* confirmed = std::get_if<wire::withdrawn>(&message)) {
    impl_->Execute(impl_->router.OnWithdrawn(*confirmed, now));
  }
}

void request_controller::OnResumed(const core::endpoint_id& endpoint) {
  for (const auto& [id, attempt] : impl_->attempts) {
    if (attempt.endpoint != endpoint) continue;
    impl_->sender.Send(endpoint,
                       wire::resume{id, attempt.assembler.NextSequence()});
  }
}

void request_controller::OnEndpointLost(const core::endpoint_id& endpoint) {
  impl_->Execute(impl_->router.OnEndpointLost(endpoint, impl_->loop.Now()));
}

std::size_t request_controller::OpenRequestCount() const {
  return impl_->requests.size();
}

nlohmann::json request_controller::ToJson() const {
  const routing::router_counters& counters = impl_->router.Counters();
  json loads = json::array();
  for (const routing::endpoint_load& load : impl_->router.Loads()) {
    loads.push_back({{"endpoint", load.endpoint.Value()},
                     {"outstanding", load.outstanding},
                     {"slowness_ratio", load.slowness},
                     {"ejected", load.ejected}});
  }
  return {{"open_requests", impl_->requests.size()},
          {"open_attempts", impl_->attempts.size()},
          {"requests", counters.requests},
          {"retries", counters.retries},
          {"continuations", counters.continuations},
          {"hedges", counters.hedges},
          {"hedges_won", counters.hedges_won},
          {"refused_overload", counters.refused_overload},
          {"late_frames_dropped", counters.late_frames_dropped},
          {"endpoint_loads", std::move(loads)}};
}

}  // namespace comfreyspring::entry
