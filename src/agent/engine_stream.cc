#include "agent/engine_stream.h"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "agent/event_stream_parser.h"
#include "core/json_parser.h"

namespace comfreyspring::agent {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kMaximumErrorBytes = 4096;
constexpr core::milliseconds kCancelTimeout{2000};
// After the engine answers that it holds no such stream, the end event of the
// stream may still be in transit. Also the delay before a cancel is retried.
constexpr core::milliseconds kEndEventGracePeriod{1000};

enum class stream_phase {
  /** The call of the completion or of a resumption is open. */
  streaming,
  /** No connection; a resumption or the confirmation of a cancel is pending. */
  broken,
  ended,
};

}  // namespace

struct engine_stream::impl {
  impl(net::event_loop& event_loop, net::http_client_interface& client,
       engine_stream_host& owner, endpoint_listener& events,
       engine_stream_options settings, run_request new_run)
      : loop(event_loop),
        http(client),
        host(owner),
        listener(events),
        options(std::move(settings)),
        run(std::move(new_run)),
        attempt(run.request->attempt) {}

  // Calls.

  net::http_callbacks Callbacks(void (impl::*on_done)(const net::http_result&),
                                bool streams) {
    const std::weak_ptr<engine_stream> weak = self->weak_from_this();
    const int serial = ++call_serial;
    net::http_callbacks callbacks;
    if (streams) {
      callbacks.on_headers = [weak, serial](int http_status,
                                            const net::header_map&) {
        const auto alive = weak.lock();
        if (alive == nullptr || alive->impl_->call_serial != serial) return;
        alive->impl_->status = http_status;
      };
      callbacks.on_data = [weak, serial](std::string_view data) {
        const auto alive = weak.lock();
        if (alive == nullptr || alive->impl_->call_serial != serial) return;
        alive->impl_->OnData(data);
      };
    }
    callbacks.on_done = [weak, serial,
                         on_done](const net::http_result& result) {
      const auto alive = weak.lock();
      if (alive == nullptr || alive->impl_->call_serial != serial) return;
      alive->impl_->call = 0;
      (alive->impl_.get()->*on_done)(result);
    };
    return callbacks;
  }

  std::string CompletionBody() const {
    json input = core::TryParseJson(run.request->body);
    if (!input.is_object()) input = json::object();
    const std::int64_t maximum = input.value("max_tokens", std::int64_t{16});
    std::string id = attempt.Value();
    if (run.run_index > 0) id += ".run" + std::to_string(run.run_index);
    const json body = {
        {"request_id", id},
        {"adapter", run.request->adapter.adapter.Value()},
        {"version", run.request->adapter.version.Value()},
        {"prompt", input.value("prompt", std::string()) + run.delivered_text},
        {"max_tokens",
         std::max<std::int64_t>(1, maximum - run.delivered_tokens.value)},
        {"priority", std::string(core::ToString(run.request->priority))},
        {"fencing_number", host.FencingNumber()}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
  }

  void StartCompletion() {
    last_activity = loop.Now();
    OpenStream({.method = "POST",
                .url = net::url(options.url).AddPath("/v1/completions"),
                .headers = {{"content-type", "application/json"}},
                .body = CompletionBody()});
  }

  /** The engine may name its streams as it likes. */
  net::url StreamUrl() const {
    return net::url(options.url).AddPath("/streams").AddSegment(stream_id);
  }

  void Resume() {
    resume_timer = 0;
    if (phase != stream_phase::broken) return;
    ++resumes;
    phase = stream_phase::streaming;
    last_activity = loop.Now();
    OpenStream({.url = StreamUrl().AddParameter("offset",
                                                std::to_string(next_offset))});
  }

  void OpenStream(net::http_call request) {
    status = 0;
    error_body.clear();
    parser = event_stream_parser();
    request.connect_timeout = options.connect_timeout;
    request.total_timeout = core::milliseconds(0);
    auto callbacks = Callbacks(&impl::OnStreamDone, true);
    call = http.Start(std::move(request), std::move(callbacks));
  }

  void DropCall() {
    ++call_serial;
    if (call != 0) http.Cancel(std::exchange(call, 0));
  }

  // Events of the stream.

  void OnData(std::string_view data) {
    if (status != kOk) {
      if (error_body.size() < kMaximumErrorBytes) error_body += data;
      return;
    }
    for (const std::string& text : parser.Feed(data)) {
      const json event = core::TryParseJson(text);
      if (!event.is_object()) {
        Interrupt("the engine sent an event that is not JSON");
        return;
      }
      if (!HandleEvent(event)) return;
    }
    if (parser.Overflowed()) Interrupt("the engine sent an oversized event");
  }

  // @returns false if the stream has ended or its connection was dropped.
  bool HandleEvent(const json& event) {
    last_activity = loop.Now();
    resumes = 0;
    if (wrong_adapter) {
      if (event.value("done", false)) EndAfterCancel();
      return phase != stream_phase::ended;
    }
    if (!CheckAdapter(event)) return false;
    if (event.contains("stream_id") && event["stream_id"].is_string()) {
      stream_id = event["stream_id"].get<std::string>();
      if (cancel_requested && !cancel_in_flight) SendCancel();
    }
    if (event.value("done", false)) {
      Complete(event.value("tokens", next_offset));
      return false;
    }
    if (event.value("cancelled", false)) {
      OnCancelEvent();
      return false;
    }
    if (!event.contains("text") || !event["text"].is_string()) return true;
    const std::int64_t offset = event.value("offset", next_offset);
    if (offset < next_offset) return true;
    if (offset > next_offset) {
      Interrupt("the engine skipped an event");
      return false;
    }
    ++next_offset;
    // Output after a cancel is not passed on, since the next run would not
    // continue it.
    if (cancel_requested) {
      output_suppressed = true;
    } else {
      listener.OnOutput(attempt, event["text"].get<std::string>());
    }
    return phase != stream_phase::ended;
  }

  // The first event must name the adapter; later ones must not contradict it.
  bool CheckAdapter(const json& event) {
    const bool named = event.contains("adapter") && event.contains("version");
    if (!named && adapter_checked) return true;
    const auto& expected = run.request->adapter;
    const bool matches = named &&
                         event["adapter"] == expected.adapter.Value() &&
                         event["version"] == expected.version.Value();
    if (matches) {
      adapter_checked = true;
      return true;
    }
    LOG(ERROR) << "agent.engine: Attempt " << attempt << " requested "
               << core::ToString(expected) << " but the engine responded with "
               << event.dump().substr(0, 200) << '.';
    if (event.contains("stream_id") && event["stream_id"].is_string()) {
      stream_id = event["stream_id"].get<std::string>();
    }
    wrong_adapter = true;
    host.OnStateMismatch();
    if (adapter_checked) {
      // Output was already passed on, so another run cannot replace it.
      Fail({core::outcome::incomplete, "wrong_adapter",
            "the engine changed the adapter during the response"});
    }
    StartCancel();
    return false;
  }

  void Interrupt(const std::string& reason) {
    DropCall();
    OnStreamBroken(reason);
  }

  void OnStreamDone(const net::http_result& result) {
    if (phase == stream_phase::ended) return;
    if (result.status == kConflict) {
      host.OnFencingRefused();
      EndNotRun("stale_fencing_number",
                "the engine rejected the fencing number");
      return;
    }
    if (result.failure == net::http_failure::not_sent) {
      host.OnEngineUnresponsive();
      if (stream_id.empty()) {
        EndNotRun("endpoint_down", result.error_message);
      } else {
        OnStreamBroken(result.error_message);
      }
      return;
    }
    if (result.status == kOk || result.status == 0) {
      OnStreamBroken(result.error_message.empty()
                         ? "the stream ended before its final event"
                         : result.error_message);
      return;
    }
    OnErrorStatus(result.status);
  }

  void OnErrorStatus(int http_status) {
    const std::string message = "the engine returned status " +
                                std::to_string(http_status) + " " + error_body;
    if (!stream_id.empty()) {
      // A resumption was refused: the engine no longer holds the stream.
      EndFailed({core::outcome::incomplete, "stream_interrupted", message});
      return;
    }
    if (http_status == kNotFound) {
      Finish();
      host.OnStateMismatch();
      listener.OnAdapterMissing(attempt, false);
      return;
    }
    if ((http_status >= 400 && http_status < 500) ||
        http_status == kServiceUnavailable) {
      run_failure failure{core::outcome::not_run, "refused_by_engine", message};
      if (http_status == kTooManyRequests ||
          http_status == kServiceUnavailable) {
        failure.retry_after = core::milliseconds(1000);
      }
      EndFailed(failure);
      return;
    }
    EndFailed({core::outcome::unknown, "engine_error", message});
  }

  void OnStreamBroken(const std::string& reason) {
    if (wrong_adapter || failed) {
      // Only the confirmation of the cancel is outstanding.
      phase = stream_phase::broken;
      if (stream_id.empty()) EndAfterCancel();
      return;
    }
    if (stream_id.empty()) {
      // Without a stream id the run can be neither resumed nor cancelled.
      if (cancel_requested) {
        EndAfterCancel();
      } else {
        EndFailed({core::outcome::incomplete, "stream_interrupted", reason});
      }
      return;
    }
    phase = stream_phase::broken;
    if (cancel_requested) return;
    if (resumes >= options.maximum_resumes) {
      host.OnEngineUnresponsive();
      Fail({core::outcome::incomplete, "stream_interrupted", reason});
      StartCancel();
      return;
    }
    LOG(WARNING) << "agent.engine: Stream of attempt " << attempt
                 << " broke at event " << next_offset << ": " << reason << '.';
    resume_timer = After(options.retry_delay, &impl::Resume);
  }

  net::timer_id After(core::milliseconds delay, void (impl::*step)()) {
    const std::weak_ptr<engine_stream> weak = self->weak_from_this();
    return loop.Schedule(delay, [weak, step] {
      if (const auto alive = weak.lock()) (alive->impl_.get()->*step)();
    });
  }

  // Cancel.

  void OnCancelEvent() {
    if (cancel_requested) {
      EndAfterCancel();
      return;
    }
    EndFailed({core::outcome::incomplete, "cancelled_at_engine",
               "the engine cancelled the stream"});
  }

  void StartCancel() {
    if (phase == stream_phase::ended) return;
    cancel_requested = true;
    loop.Cancel(std::exchange(resume_timer, 0));
    if (cancel_in_flight) return;
    if (!stream_id.empty()) {
      SendCancel();
    } else if (call == 0) {
      EndAfterCancel();
    }
    // Otherwise the cancel is sent when the first event brings the stream id.
  }

  void SendCancel() {
    cancel_timer = 0;
    if (phase == stream_phase::ended) return;
    cancel_in_flight = true;
    const std::weak_ptr<engine_stream> weak = self->weak_from_this();
    net::http_callbacks callbacks;
    callbacks.on_done = [weak](const net::http_result& result) {
      const auto alive = weak.lock();
      if (alive == nullptr) return;
      alive->impl_->cancel_call = 0;
      alive->impl_->OnCancelDone(result);
    };
    const json body = {{"fencing_number", host.FencingNumber()}};
    cancel_call = http.Start({.method = "POST",
                              .url = StreamUrl().AddPath("/cancel"),
                              .headers = {{"content-type", "application/json"}},
                              .body = body.dump(),
                              .connect_timeout = options.connect_timeout,
                              .total_timeout = kCancelTimeout},
                             std::move(callbacks));
  }

  void OnCancelDone(const net::http_result& result) {
    if (phase == stream_phase::ended) return;
    if (result.status == kOk) {
      const json response = core::TryParseJson(result.body);
      if (response.is_object() && response.value("cancelled", false)) {
        EndAfterCancel();
        return;
      }
    }
    if (result.status == kConflict) host.OnFencingRefused();
    if (result.status == kOk || result.status == kNotFound) {
      // The run is over, but its end event may still be in transit.
      if (phase == stream_phase::broken) {
        EndAfterCancel();
      } else {
        cancel_timer = After(kEndEventGracePeriod, &impl::EndAfterCancel);
      }
      return;
    }
    if (result.failure != net::http_failure::none) host.OnEngineUnresponsive();
    // The adapter stays pinned until the engine confirms, so retry the cancel.
    cancel_timer = After(kEndEventGracePeriod, &impl::SendCancel);
  }

  // Ends.

  void Finish() {
    phase = stream_phase::ended;
    DropCall();
    if (cancel_call != 0) http.Cancel(std::exchange(cancel_call, 0));
    loop.Cancel(std::exchange(resume_timer, 0));
    loop.Cancel(std::exchange(cancel_timer, 0));
    host.OnStreamEnded(attempt);
  }

  void Complete(std::int64_t tokens) {
    Finish();
    if (failed) {
      listener.OnReleased(attempt);
    } else if (output_suppressed) {
      listener.OnCancelled(attempt);
    } else {
      run_result result;
      result.tokens = core::token_count{run.delivered_tokens.value + tokens};
      listener.OnCompleted(attempt, result);
    }
  }

  void EndAfterCancel() {
    if (phase == stream_phase::ended) return;
    Finish();
    if (failed) {
      listener.OnReleased(attempt);
    } else if (wrong_adapter) {
      listener.OnAdapterMissing(attempt, true);
    } else {
      listener.OnCancelled(attempt);
    }
  }

  void EndNotRun(const std::string& reason, const std::string& message) {
    // Output of this run, or an earlier run, rules out `not_run`.
    const auto outcome = next_offset > 0 || run.run_index > 0
                             ? core::outcome::incomplete
                             : core::outcome::not_run;
    EndFailed({outcome, reason, message, core::milliseconds(1000)});
  }

  void EndFailed(const run_failure& failure) {
    Finish();
    if (!failed) listener.OnFailed(attempt, failure);
    failed = true;
    listener.OnReleased(attempt);
  }

  void Fail(const run_failure& failure) {
    if (std::exchange(failed, true)) return;
    listener.OnFailed(attempt, failure);
  }

  engine_stream* self = nullptr;
  net::event_loop& loop;
  net::http_client_interface& http;
  engine_stream_host& host;
  endpoint_listener& listener;
  engine_stream_options options;
  run_request run;
  core::attempt_id attempt;
  stream_phase phase = stream_phase::streaming;
  net::http_call_id call = 0;
  int call_serial = 0;
  int status = 0;
  std::string error_body;
  event_stream_parser parser;
  std::string stream_id;
  std::int64_t next_offset = 0;
  int resumes = 0;
  bool adapter_checked = false;
  bool wrong_adapter = false;
  bool failed = false;
  bool cancel_requested = false;
  bool cancel_in_flight = false;
  bool output_suppressed = false;
  net::http_call_id cancel_call = 0;
  net::timer_id resume_timer = 0;
  net::timer_id cancel_timer = 0;
  core::time_point last_activity;
};

engine_stream::engine_stream(net::event_loop& loop,
                             net::http_client_interface& http,
                             engine_stream_host& host,
                             endpoint_listener& listener,
                             const engine_stream_options& options,
                             run_request run)
    : impl_(std::make_unique<impl>(loop, http, host, listener, options,
                                   std::move(run))) {
  impl_->self = this;
}

engine_stream::~engine_stream() { Abandon(); }

void engine_stream::Start() { impl_->StartCompletion(); }

void engine_stream::Cancel() { impl_->StartCancel(); }

void engine_stream::Abandon() {
  impl_->phase = stream_phase::ended;
  impl_->DropCall();
  if (impl_->cancel_call != 0) {
    impl_->http.Cancel(std::exchange(impl_->cancel_call, 0));
  }
  impl_->loop.Cancel(std::exchange(impl_->resume_timer, 0));
  impl_->loop.Cancel(std::exchange(impl_->cancel_timer, 0));
}

void engine_stream::OnTick(core::time_point now) {
  if (impl_->phase != stream_phase::streaming || impl_->failed) return;
  const bool first = !impl_->adapter_checked;
  const auto timeout =
      first ? impl_->options.first_token_timeout : impl_->options.idle_timeout;
  if (now - impl_->last_activity < timeout) return;
  LOG(WARNING) << "agent.engine: Attempt " << impl_->attempt
               << " had no event for " << timeout.count() << " ms.";
  impl_->host.OnEngineUnresponsive();
  // The open connection may be dead while new ones work.
  impl_->Interrupt("no event within the timeout");
}

}  // namespace comfreyspring::agent
