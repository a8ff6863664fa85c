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
    return now - known.at > options_.report_lifetime;
  });
  double reported = 0.0;
  for (const reported_rate& known : state.reported) reported += known.rate;
  const double own = state.own_count * Decay(now - state.counted_at) /
                     Seconds(options_.rate_window);
  return std::max(own, reported);
}

std::size_t replica_controller::UpdateReplicaCount(adapter_key key,
                                                   double capacity,
                                                   std::size_t members,
                                                   core::time_point now) {
  assert(members > 0);
  adapter_state& state = adapters_[key];
  const double per_replica =
      std::max(capacity * options_.target_utilization, 1e-9);
  const double demand = Demand(state, now);
  const double needed = std::ceil(demand / per_replica);
  const std::size_t wanted =
      needed >= static_cast<double>(members)
          ? members
          : std::max<std::size_t>(1, static_cast<std::size_t>(needed));
  const double lower =
      static_cast<double>(state.replica_count - 1) * per_replica;
  if (wanted > state.replica_count) {
    state.replica_count = wanted;
    state.changed_at = now;
  } else if (state.replica_count == 1 ||
             demand > lower * options_.scale_down_threshold) {
    // The demand still needs this number of replicas, so the interval restarts.
    state.changed_at = now;
  } else if (now - state.changed_at >= options_.scale_down_interval) {
    --state.replica_count;
    state.changed_at = now;
  }
  state.replica_count = std::min(state.replica_count, members);
  return state.replica_count;
}

std::size_t replica_controller::LastReplicaCount(adapter_key key) const {
  const adapter_state* state = adapters_.Peek(key);
  return state == nullptr ? 1 : state->replica_count;
}

}  // namespace comfreyspring::placement
