#include "entry/request_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/hash.h"
#include "entry/answer_writer.h"
#include "entry/delivered_output.h"
#include "stream/stream_assembler.h"
#include "trace/recording_router.h"

namespace comfreyspring::entry {
namespace {

using nlohmann::json;

constexpr core::milliseconds kTickPeriod{20};
/** Every so many chunks the router hears how fast a stream moves. */
constexpr std::uint64_t kProgressChunks = 8;
/** The start of a prompt that decides about reuse of cached prefixes. */
constexpr std::size_t kPrefixBytes = 512;
/** A caller that takes its answer this slowly is disconnected. */
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
    /** Pieces in order that arrived before the attempt was selected. */
    std::vector<std::string> unselected;
    bool begun = false;
    /** A break without a final marker says nothing against earlier pieces. */
    bool final_seen = false;
  };

  struct request_state {
    explicit request_state(request_context accepted)
        : context(std::move(accepted)), writer(context) {}
    request_context context;
    answer_writer writer;
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
      std::visit([this](const auto& typed) { Do(typed); }, action);
    }
  }

  void Do(const routing::submit_attempt& action) {
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
      loop.Post([this, id] { CompleteWithoutRest(id); });
      return;
    }
    if (sender.Send(action.endpoint, SubmitOf(state, action))) return;
    loop.Post([this, id] { Execute(router.OnNotSent(id, loop.Now())); });
  }

  void Do(const routing::withdraw_attempt& action) {
    sender.Send(action.endpoint, wire::withdraw{action.attempt});
  }

  void Do(const routing::select_attempt& action) {
    const auto position = requests.find(action.request);
    if (position == requests.end()) return;
    request_state& state = *position->second;
    state.selected = action.attempt;
    attempt_state& attempt = attempts.at(action.attempt);
    if (state.delivered.Pieces() == 0) {
      metrics.Observe("entry_first_output_ms",
                      MillisecondsBetween(state.context.received, loop.Now()));
    }
    Deliver(state, attempt);
  }

  void Do(const routing::complete_request& action) {
    const auto position = requests.find(action.request);
    if (position == requests.end()) return;
    metrics.Observe(
        "entry_request_ms",
        MillisecondsBetween(position->second->context.received, loop.Now()));
    metrics.Count("entry_requests_completed_total");
    request_state& state = *position->second;
    final_message.tokens.value += state.delivered.EarlierPieces();
    state.writer.Finish(final_message);
    Forget(action.request);
  }

  void Do(const routing::fail_request& action) {
    const auto position = requests.find(action.request);
    if (position == requests.end()) return;
    LOG(WARNING) << "entry.request: Request " << action.request
                 << " failed with " << action.reason << ": " << action.message;
    metrics.Count("entry_requests_failed_total{reason=\"" + action.reason +
                  "\"}");
    position->second->writer.Fail(ErrorForFailure(
        action.outcome, action.reason, action.message, action.retry_after));
    Forget(action.request);
  }

  void Do(const routing::suspect_link& action) {
    sender.Suspect(action.endpoint);
  }

  // Helpers.

  /** Output that arrives late from an earlier attempt is dropped. */
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
    return state.context.maximum_tokens - state.delivered.Pieces();
  }

  void CompleteWithoutRest(const core::attempt_id& id) {
    const auto position = attempts.find(id);
    if (position == attempts.end()) return;
    final_message = wire::finished();
    Execute(router.OnNothingToContinue(id, loop.Now()));
  }

  /** Writes the pieces of the selected attempt. */
  void Deliver(request_state& state, attempt_state& attempt) {
    const bool keep = state.context.idempotent &&
                      state.context.kind == core::request_kind::completion;
    for (const std::string& piece : attempt.unselected) {
      state.writer.Write(piece);
      if (keep) state.delivered.Add(piece);
    }
    attempt.unselected.clear();
    if (!state.delivered.IsKept()) {
      router.DisallowContinuation(state.context.request, loop.Now());
    }
  }

  wire::submit SubmitOf(const request_state& state,
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
    message.ownership_epoch = context.home ? context.home->epoch : 0;
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

  void Forget(const core::request_id& request) {
    const auto position = requests.find(request);
    if (position == requests.end()) return;
    for (const core::attempt_id& attempt : position->second->attempts) {
      attempts.erase(attempt);
    }
    requests.erase(position);
  }

  // Answers.

  void OnChunk(const wire::chunk& message) {
    const auto position = attempts.find(message.attempt);
    if (position == attempts.end()) return;
    attempt_state& attempt = position->second;
    std::vector<std::string> pieces = attempt.assembler.OnChunk(message);
    const core::request_id request = attempt.request;
    attempt.unselected.insert(attempt.unselected.end(),
                              std::make_move_iterator(pieces.begin()),
                              std::make_move_iterator(pieces.end()));
    if (attempt.assembler.State() == stream::assembly_state::broken) {
      Execute(router.OnBrokenAnswer(message.attempt, attempt.assembler.Reason(),
                                    loop.Now(), !attempt.final_seen));
      return;
    }
    if (!attempt.begun && !attempt.unselected.empty()) {
      attempt.begun = true;
      Execute(router.OnFirstChunk(message.attempt, loop.Now()));
    } else if (message.sequence % kProgressChunks == 0) {
      router.OnProgress(message.attempt, attempt.assembler.NextSequence(),
                        loop.Now());
    }
    Flush(request, message.attempt);
  }

  /** Writes what the selected attempt has delivered so far. */
  void Flush(const core::request_id& request, const core::attempt_id& id) {
    const auto owner = requests.find(request);
    const auto position = attempts.find(id);
    if (owner == requests.end() || position == attempts.end()) return;
    request_state& state = *owner->second;
    if (state.selected != id) return;
    Deliver(state, position->second);
    if (state.writer.PendingBytes() <= kMaximumPendingBytes) return;
    LOG(WARNING) << "entry.request: Disconnected the caller of request "
                 << request << ": it takes its answer too slowly.";
    state.context.exchange->Abort();
    OnCallerGone(request);
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
          "answer came from adapter " + core::ToString(message.adapter),
          loop.Now()));
      return;
    }
    attempt.final_seen = true;
    switch (attempt.assembler.OnFinished(message)) {
      case stream::assembly_state::open:
        // Chunks are missing: they were lost with an earlier link.
        sender.Send(
            attempt.endpoint,
            wire::resume{message.attempt, attempt.assembler.NextSequence()});
        return;
      case stream::assembly_state::broken:
        Execute(router.OnBrokenAnswer(message.attempt,
                                      attempt.assembler.Reason(), loop.Now()));
        return;
      case stream::assembly_state::complete:
        final_message = message;
        Execute(router.OnFinished(message, loop.Now()));
        return;
    }
  }

  void OnCallerGone(const core::request_id& request) {
    Execute(router.OnCallerGone(request, loop.Now()));
    metrics.Count("entry_callers_gone_total");
    Forget(request);
  }

  net::event_loop& loop;
  trace::recording_router router;
  agent_sender& sender;
  telemetry::metrics& metrics;
  std::unordered_map<core::request_id, std::unique_ptr<request_state>> requests;
  std::unordered_map<core::attempt_id, attempt_state> attempts;
  /** The final marker that the next complete_request refers to. */
  wire::finished final_message;
  net::timer_id tick_timer = 0;
};

request_controller::request_controller(
    net::event_loop& loop, routing::router_options options,
    const membership::endpoint_directory& directory, agent_sender& sender,
    telemetry::metrics& metrics, trace::trace_writer* trace)
    : impl_(std::make_unique<impl>(loop, options, directory, sender, metrics,
                                   trace)) {}

request_controller::~request_controller() = default;

void request_controller::Start(request_context context) {
  routing::request_attributes facts;
  facts.request = context.request;
  facts.kind = context.kind;
  facts.model = context.model;
  facts.adapter = context.adapter;
  facts.service = context.service;
  facts.priority = context.priority;
  facts.idempotent = context.idempotent;
  facts.expected_tokens = core::token_count{context.maximum_tokens};
  facts.deadline = context.deadline;
  if (context.home) facts.home = context.home->endpoint;
  if (!context.prompt.empty()) {
    const std::string_view prompt = context.prompt;
    facts.prefix_hash = core::Hash64(prompt.substr(0, kPrefixBytes));
  }
  const core::request_id request = context.request;
  context.exchange->OnClientGone(
      [this, request] { impl_->OnCallerGone(request); });
  impl_->requests.emplace(
      request, std::make_unique<impl::request_state>(std::move(context)));
  impl_->metrics.Count("entry_requests_total{class=\"" +
                       std::string(core::ToString(facts.priority)) + "\"}");
  impl_->Execute(impl_->router.OnRequest(facts, impl_->loop.Now()));
}

void request_controller::OnMessage(const core::endpoint_id&,
                                   const wire::message& message) {
  const core::time_point now = impl_->loop.Now();
  if (const auto* piece = std::get_if<wire::chunk>(&message)) {
    impl_->OnChunk(*piece);
  } else if (const auto* final_marker = std::get_if<wire::finished>(&message)) {
    impl_->OnFinished(*final_marker);
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

std::size_t request_controller::OpenRequests() const {
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
