#include "placement/replica_controller.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace comfreyspring::placement {
namespace {

double Seconds(core::microseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

replica_controller::replica_controller(replica_options options)
    : options_(options), adapters_(options.maximum_adapters) {}

double replica_controller::Decay(core::microseconds elapsed) const {
  return std::exp(-Seconds(elapsed) / Seconds(options_.rate_window));
}

void replica_controller::OnRequest(adapter_key key, core::time_point now) {
  adapter_state& state = adapters_[key];
  state.own_count = state.own_count * Decay(now - state.counted_at) + 1.0;
  state.counted_at = now;
}

void replica_controller::OnReportedRate(adapter_key key,
                                        const core::endpoint_id& endpoint,
                                        double rate, core::time_point now) {
  adapter_state& state = adapters_[key];
  for (reported_rate& known : state.reported) {
    if (known.endpoint != endpoint) continue;
    known.rate = rate;
    known.at = now;
    return;
  }
  state.reported.push_back({endpoint, rate, now});
}

double replica_controller::Demand(adapter_state& state,
                                  core::time_point now) const {
  std::erase_if(state.reported, [&](const reported_rate& known) {
    return now - known.at > options_.report_age;
  });
  double reported = 0.0;
  for (const reported_rate& known : state.reported) reported += known.rate;
  const double own = state.own_count * Decay(now - state.counted_at) /
                     Seconds(options_.rate_window);
  return std::max(own, reported);
}

std::size_t replica_controller::Homes(adapter_key key, double capacity,
                                      std::size_t members,
                                      core::time_point now) {
  assert(members > 0);
  adapter_state& state = adapters_[key];
  const double per_home = std::max(capacity * options_.target_fill, 1e-9);
  const double demand = Demand(state, now);
  const double needed = std::ceil(demand / per_home);
  const std::size_t wanted =
      needed >= static_cast<double>(members)
          ? members
          : std::max<std::size_t>(1, static_cast<std::size_t>(needed));
  const double lower = static_cast<double>(state.homes - 1) * per_home;
  if (wanted > state.homes) {
    state.homes = wanted;
    state.changed_at = now;
  } else if (state.homes == 1 || demand > lower * options_.step_down_fill) {
    // The demand still justifies the homes: the interval starts anew.
    state.changed_at = now;
  } else if (now - state.changed_at >= options_.step_down_interval) {
    --state.homes;
    state.changed_at = now;
  }
  state.homes = std::min(state.homes, members);
  return state.homes;
}

std::size_t replica_controller::LastHomes(adapter_key key) const {
  const adapter_state* state = adapters_.Peek(key);
  return state == nullptr ? 1 : state->homes;
}

}  // namespace comfreyspring::placement
