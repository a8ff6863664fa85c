#include "origins/origin_lookups.h"

#include <algorithm>

namespace comfreyspring::origins {

origin_lookups::actions origin_lookups::Start(std::uint64_t number,
                                              const stream_key& stream,
                                              const candidates& sidecars,
                                              core::time_point now) {
  actions out;
  search started{.stream = stream, .started = now};
  if (Advance(number, started, sidecars(stream), now, out)) {
    out.results.push_back({number, std::nullopt});
  } else {
    searches_.emplace(number, std::move(started));
  }
  return out;
}

origin_lookups::actions origin_lookups::OnAnswer(
    const std::string& ip, std::uint64_t number,
    const std::optional<stream_origin>& origin, const candidates& sidecars,
    core::time_point now) {
  actions out;
  const auto found = searches_.find(number);
  if (found == searches_.end()) return out;
  search& answered = found->second;
  answered.without_record.insert(ip);
  if (origin ||
      Advance(number, answered, sidecars(answered.stream), now, out)) {
    out.results.push_back({number, origin});
    searches_.erase(found);
  }
  return out;
}

origin_lookups::actions origin_lookups::OnTick(const candidates& sidecars,
                                               core::time_point now) {
  actions out;
  for (auto position = searches_.begin(); position != searches_.end();) {
    auto& [number, each] = *position;
    if (Advance(number, each, sidecars(each.stream), now, out)) {
      out.results.push_back({number, std::nullopt});
      position = searches_.erase(position);
    } else {
      ++position;
    }
  }
  return out;
}

bool origin_lookups::Advance(std::uint64_t number, search& each,
                             const std::vector<sidecar>& sidecars,
                             core::time_point now, actions& out) {
  if (now - each.started >= kTimeout) return true;
  for (const sidecar& candidate : sidecars) {
    if (!candidate.is_open) {
      // What it was asked is lost with the link.
      each.asked.erase(candidate.ip);
    } else if (each.asked.insert(candidate.ip).second) {
      out.asks.push_back({candidate.ip, number, each.stream});
    }
  }
  return std::all_of(sidecars.begin(), sidecars.end(),
                     [&](const sidecar& candidate) {
                       return each.without_record.count(candidate.ip) > 0;
                     });
}

}  // namespace comfreyspring::origins
