#include "gateway/slot_client.h"

#include <algorithm>
#include <set>
#include <utility>

namespace comfreyspring::gateway {

bool slot_client::Ask(const std::string& ip, std::uint64_t request,
                      grants::slot_ask ask, core::time_point now) {
  const auto silent = silent_until_.find(ip);
  if (silent != silent_until_.end()) {
    if (now < silent->second) return false;
    silent_until_.erase(silent);
  }
  open_ask asked{.request = request,
                 .sidecar_ip = ip,
                 .candidates = ask.candidates,
                 .asked_at = now,
                 .asked_at_running = running_time_};
  const std::uint64_t number = ask.number;
  if (!send_(ip, std::move(ask))) return false;
  open_[number] = std::move(asked);
  return true;
}

void slot_client::OnQueued(std::uint64_t number) {
  const auto found = open_.find(number);
  if (found != open_.end()) found->second.is_queued = true;
}

std::optional<slot_client::issued_slot> slot_client::OnIssued(
    const std::string& ip, const grants::slot_issued& issued,
    core::time_point now) {
  const auto found = open_.find(issued.number);
  if (found == open_.end() || found->second.is_issued ||
      found->second.sidecar_ip != ip ||
      issued.candidate >= found->second.candidates.size()) {
    send_(ip,
          grants::slot_released{issued.number, overload::slot_result::unused});
    return std::nullopt;
  }
  open_ask& asked = found->second;
  asked.is_issued = true;
  return issued_slot{asked.request, asked.candidates[issued.candidate].endpoint,
                     core::ToMilliseconds(now - asked.asked_at)};
}

std::optional<slot_client::refused_ask> slot_client::OnRefused(
    std::uint64_t number) {
  const auto found = open_.find(number);
  if (found == open_.end() || found->second.is_issued) return std::nullopt;
  refused_ask refused{found->second.request, found->second.sidecar_ip};
  open_.erase(found);
  return refused;
}

void slot_client::Release(std::uint64_t number, overload::slot_result result) {
  const auto found = open_.find(number);
  if (found == open_.end()) return;
  send_(found->second.sidecar_ip, grants::slot_released{number, result});
  open_.erase(found);
}

std::vector<std::uint64_t> slot_client::OnSidecarLost(const std::string& ip) {
  std::vector<std::uint64_t> waited;
  std::erase_if(open_, [&](const auto& entry) {
    const open_ask& asked = entry.second;
    if (asked.sidecar_ip != ip) return false;
    if (!asked.is_issued) waited.push_back(asked.request);
    return true;
  });
  return waited;
}

std::vector<std::uint64_t> slot_client::OnTick(core::time_point now) {
  running_time_ += std::min<core::microseconds>(now - last_tick_, kMaximumTick);
  last_tick_ = now;
  std::set<std::string> unanswered;
  for (const auto& [number, asked] : open_) {
    if (!asked.is_queued && !asked.is_issued &&
        running_time_ - asked.asked_at_running >= kAckTimeout) {
      unanswered.insert(asked.sidecar_ip);
    }
  }
  std::vector<std::uint64_t> waited;
  for (const std::string& ip : unanswered) {
    silent_until_[ip] = now + kSilence;
    std::vector<std::uint64_t> given_up;
    for (const auto& [number, asked] : open_) {
      if (asked.sidecar_ip != ip || asked.is_issued) continue;
      waited.push_back(asked.request);
      given_up.push_back(number);
    }
    for (const std::uint64_t number : given_up) {
      Release(number, overload::slot_result::unused);
    }
  }
  return waited;
}

std::size_t slot_client::Waiting() const {
  return static_cast<std::size_t>(
      std::count_if(open_.begin(), open_.end(),
                    [](const auto& entry) { return !entry.second.is_issued; }));
}

}  // namespace comfreyspring::gateway
