#include "arrival_record.h"

#include <algorithm>

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;

/** Time that a fleet has to adapt after the first naming (StableMs). */
constexpr milliseconds kAdaptTime{3000};
/** Time that a gateway has after the limit was named to it. */
constexpr milliseconds kNoticeTime{500};
constexpr double kTolerance = 1.5;
constexpr double kExtra = 5.0;

double Allowed(double per_second) {
  const double span_seconds =
      std::chrono::duration<double>(arrival_record::kSpan).count();
  return per_second * kTolerance * span_seconds + kExtra;
}

}  // namespace

std::string arrival_record::span::ToString() const {
  return instance + " got " + std::to_string(arrivals) +
         " requests in 4 s, allowed " + std::to_string(allowed);
}

void arrival_record::LimitSet(const std::string& instance,
                              std::optional<double> per_second,
                              core::time_point now) {
  endpoint& target = endpoints_[instance];
  if (!per_second) target.named_to.clear();
  target.namings.push_back({now, per_second});
}

void arrival_record::Named(const std::string& instance, int gateway,
                           core::time_point now) {
  const auto disturbed = disturbed_until_.find(gateway);
  if (disturbed != disturbed_until_.end() && disturbed->second > now) return;
  endpoints_[instance].named_to.try_emplace(gateway, now);
}

void arrival_record::Arrived(const std::string& instance, int gateway,
                             core::time_point now) {
  endpoint& target = endpoints_[instance];
  const auto named = target.named_to.find(gateway);
  target.arrivals.push_back({now, named != target.named_to.end() &&
                                      named->second + kNoticeTime <= now});
}

void arrival_record::GatewayDisturbed(int gateway, core::time_point until) {
  auto& latest = disturbed_until_[gateway];
  latest = std::max(latest, until);
  for (auto& [instance, target] : endpoints_) target.named_to.erase(gateway);
}

double arrival_record::HighestLimit(const endpoint& target,
                                    core::time_point begin,
                                    core::time_point end) {
  double highest = 0.0;
  for (std::size_t i = 0; i < target.namings.size(); ++i) {
    const naming& each = target.namings[i];
    const bool ends_before =
        i + 1 < target.namings.size() && target.namings[i + 1].time <= begin;
    if (each.time >= end || ends_before) continue;
    highest = std::max(highest, each.per_second.value_or(0.0));
  }
  return highest;
}

arrival_record::span arrival_record::WorstSpan(const endpoint& target,
                                               core::time_point begin,
                                               core::time_point end) {
  span worst;
  for (const arrival& first : target.arrivals) {
    if (!first.is_counted || first.time < begin || first.time >= end) continue;
    const auto last = std::min(first.time + kSpan, end);
    span current{.begin = first.time};
    for (const arrival& each : target.arrivals) {
      if (each.is_counted && each.time >= first.time && each.time < last) {
        ++current.arrivals;
      }
    }
    current.allowed = Allowed(HighestLimit(target, first.time, last));
    if (current.Ratio() >= (worst.arrivals == 0 ? 0.0 : worst.Ratio())) {
      worst = current;
    }
  }
  return worst;
}

std::vector<arrival_record::span> arrival_record::WorstSpans(
    core::time_point end) const {
  std::vector<span> spans;
  for (const auto& entry : endpoints_) {
    const endpoint& target = entry.second;
    std::optional<core::time_point> since;
    const auto close = [&](core::time_point until) {
      if (!since) return;
      span worst = WorstSpan(target, *since + kAdaptTime, until);
      since.reset();
      if (worst.arrivals == 0) return;
      worst.instance = entry.first;
      spans.push_back(std::move(worst));
    };
    for (const naming& each : target.namings) {
      if (each.per_second && !since) since = each.time;
      if (!each.per_second) close(each.time);
    }
    close(end);
  }
  return spans;
}

int arrival_record::ArrivedBetween(const std::string& instance,
                                   core::time_point begin,
                                   core::time_point end) const {
  const auto found = endpoints_.find(instance);
  if (found == endpoints_.end()) return 0;
  return static_cast<int>(
      std::count_if(found->second.arrivals.begin(),
                    found->second.arrivals.end(), [&](const arrival& each) {
                      return each.time >= begin && each.time < end;
                    }));
}

}  // namespace comfreyspring::process_test
