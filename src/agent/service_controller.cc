#include "agent/service_controller.h"

#include <glog/logging.h>

#include <cassert>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

namespace comfreyspring::agent {

namespace {

net::http_call CallFor(const wire::submit& request,
                       const service_options& options) {
  net::http_call call;
  call.method = request.method.empty() ? "POST" : request.method;
  call.url = options.url;
  // The entry has decoded the path.
  std::string_view rest = request.path;
  if (rest.starts_with('/')) rest.remove_prefix(1);
  for (std::size_t end = 0; end != std::string_view::npos;) {
    end = rest.find('/');
    call.url.AddSegment(rest.substr(0, end));
    if (end != std::string_view::npos) rest.remove_prefix(end + 1);
  }
  if (!request.content_type.empty()) {
    call.headers["content-type"] = request.content_type;
  }
  if (!request.key.empty()) {
    call.headers["idempotency-key"] = request.key.Value();
  }
  call.body = request.body;
  call.connect_timeout = options.connect_timeout;
  call.total_timeout = options.call_timeout;
  // The HTTP library resends a call when a reused connection turns out to have
  // been closed.
  call.fresh_connection = !request.idempotent;
  return call;
}

}  // namespace

struct service_controller::impl {
  impl(net::event_loop& event_loop, net::http_client_interface& client,
       service_options settings)
      : loop(event_loop), http(client), options(std::move(settings)) {}

  ~impl() {
    loop.Cancel(up_timer);
    for (const auto& [attempt, call] : calls) http.Cancel(call);
  }

  void OnDone(const core::attempt_id& attempt, const net::http_result& result) {
    calls.erase(attempt);
    if (result.failure == net::http_failure::none) {
      const auto type = result.headers.find("content-type");
      run_result response;
      response.status = result.status;
      if (type != result.headers.end()) response.content_type = type->second;
      response.body = result.body;
      listener->OnCompleted(attempt, response);
      return;
    }
    LOG(WARNING) << "agent.service: Call of attempt " << attempt
                 << " failed: " << result.error_message << '.';
    if (result.failure == net::http_failure::not_sent) {
      MarkDown();
      listener->OnFailed(attempt,
                         {core::outcome::not_run, "endpoint_down",
                          result.error_message, options.down_duration});
    } else {
      ++broken;
      listener->OnFailed(attempt, {core::outcome::unknown, "connection_broken",
                                   result.error_message});
    }
    listener->OnReleased(attempt);
  }

  void MarkDown() {
    loop.Cancel(up_timer);
    up_timer = loop.Schedule(options.down_duration, [this] {
      up = true;
      listener->OnEndpointAvailability();
    });
    if (!std::exchange(up, false)) return;
    LOG(WARNING) << "agent.service: Service refuses connections.";
    listener->OnEndpointAvailability();
  }

  net::event_loop& loop;
  net::http_client_interface& http;
  service_options options;
  endpoint_listener* listener = nullptr;
  std::unordered_map<core::attempt_id, net::http_call_id> calls;
  // There is no health probe: every request to a plain service counts as a run.
  bool up = false;
  net::timer_id up_timer = 0;
  std::uint64_t sent = 0;
  std::uint64_t broken = 0;
};

service_controller::service_controller(net::event_loop& loop,
                                       net::http_client_interface& http,
                                       service_options options)
    : impl_(std::make_unique<impl>(loop, http, std::move(options))) {}

service_controller::~service_controller() = default;

void service_controller::SetListener(endpoint_listener& listener) {
  impl_->listener = &listener;
}

void service_controller::Begin() {
  impl_->up = true;
  impl_->listener->OnEndpointState({0, impl_->options.concurrency}, {});
  impl_->listener->OnEndpointAvailability();
}

void service_controller::Run(run_request run) {
  const core::attempt_id attempt = run.request->attempt;
  net::http_callbacks callbacks;
  callbacks.on_done = [state = impl_.get(),
                       attempt](const net::http_result& result) {
    state->OnDone(attempt, result);
  };
  ++impl_->sent;
  impl_->calls[attempt] = impl_->http.Start(
      CallFor(*run.request, impl_->options), std::move(callbacks));
}

void service_controller::Cancel(const core::attempt_id& attempt) {
  const auto found = impl_->calls.find(attempt);
  if (found == impl_->calls.end()) return;
  impl_->http.Cancel(found->second);
  impl_->calls.erase(found);
  impl_->listener->OnCancelled(attempt);
}

void service_controller::Load(const core::adapter_reference&,
                              const std::optional<core::adapter_reference>&) {
  assert(false);
}

bool service_controller::IsUp() const { return impl_->up; }

bool service_controller::IsReady() const { return impl_->up; }

nlohmann::json service_controller::ToJson() const {
  return {{"url", impl_->options.url.Text()},
          {"up", impl_->up},
          {"calls_running", impl_->calls.size()},
          {"calls_sent", impl_->sent},
          {"calls_broken", impl_->broken}};
}

}  // namespace comfreyspring::agent
