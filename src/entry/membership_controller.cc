#include "entry/membership_controller.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "core/json_parser.h"

namespace comfreyspring::entry {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr core::milliseconds kInitialHeartbeatLimit{3000};

wire::vm_list ParseVmList(const std::string& body) {
  const json parsed = core::TryParseJson(body);
  wire::vm_list list;
  list.revision = parsed.at("revision").get<std::int64_t>();
  for (const json& item : parsed.at("vms")) {
    const auto state = item.at("state").get<std::string>();
    list.vms.push_back(
        {core::vm_id(item.at("id").get<std::string>()),
         state == "leaving" ? wire::vm_state::leaving : wire::vm_state::live});
  }
  return list;
}

}  // namespace

membership_controller::membership_controller(net::event_loop& loop,
                                             net::http_client_interface& http,
                                             net::url platform_url,
                                             core::milliseconds poll_period)
    : loop_(loop),
      http_(http),
      platform_url_(std::move(platform_url)),
      poll_period_(poll_period),
      directory_(kInitialHeartbeatLimit) {
  if (!platform_url_.empty()) Poll();
}

membership_controller::~membership_controller() {
  loop_.Cancel(timer_);
  if (call_ != 0) http_.Cancel(call_);
}

void membership_controller::OnNewVmList(
    std::function<void(const wire::vm_list&)> callback) {
  on_new_list_ = std::move(callback);
}

void membership_controller::UpdateVmList(const wire::vm_list& list) {
  if (list.revision <= list_.revision) return;
  list_ = list;
  directory_.OnVmList(list_);
  if (on_new_list_) on_new_list_(list_);
}

void membership_controller::SetReadCondition(std::function<bool()> condition) {
  read_condition_ = std::move(condition);
}

void membership_controller::SchedulePoll() {
  timer_ = loop_.Schedule(poll_period_, [this] { Poll(); });
}

void membership_controller::Poll() {
  if (read_condition_ && !read_condition_()) {
    SchedulePoll();
    return;
  }
  net::http_call call;
  call.url = net::url(platform_url_).AddPath("/vms");
  call.total_timeout = core::milliseconds(2000);
  net::http_callbacks callbacks;
  callbacks.on_done = [this](const net::http_result& result) {
    call_ = 0;
    OnPollResponse(result);
    SchedulePoll();
  };
  call_ = http_.Start(std::move(call), std::move(callbacks));
}

void membership_controller::OnPollResponse(const net::http_result& result) {
  const bool reachable =
      result.failure == net::http_failure::none && result.status == kOk;
  if (reachable != platform_reachable_) {
    platform_reachable_ = reachable;
    LOG(INFO) << "entry.membership: VM list service is "
              << (reachable ? "reachable." : "not reachable.");
  }
  if (!reachable) return;
  try {
    UpdateVmList(ParseVmList(result.body));
  } catch (const json::exception& failure) {
    LOG(WARNING) << "entry.membership: Ignored a malformed VM list: "
                 << failure.what() << '.';
  }
}

nlohmann::json membership_controller::ToJson() const {
  const core::time_point now = loop_.Now();
  json endpoints = json::array();
  for (const core::endpoint_id& endpoint : directory_.All()) {
    json item = {
        {"endpoint", endpoint.Value()},
        {"availability", std::string(membership::ToString(
                             directory_.AvailabilityOf(endpoint, now)))}};
    const membership::endpoint_view* view = directory_.Find(endpoint);
    if (view != nullptr && view->report) {
      item["running"] = view->report->running;
      item["waiting_urgent"] = view->report->waiting_urgent;
      item["waiting_may_wait"] = view->report->waiting_may_wait;
      item["expected_wait_ms"] = view->report->expected_wait.count();
      item["config_generation"] = view->version.generation;
    }
    endpoints.push_back(std::move(item));
  }
  return {{"vm_list_revision", list_.revision},
          {"platform_reachable", platform_reachable_},
          {"endpoints", std::move(endpoints)}};
}

}  // namespace comfreyspring::entry
