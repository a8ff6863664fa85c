#include "gateway/stream_takeups.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace comfreyspring::gateway {
namespace {

using origins::origin_lookups;
using origins::stream_key;
using origins::stream_origin;

constexpr core::milliseconds kTickPeriod{20};

/** For the rendezvous order of the sidecars with records of a stream. */
std::string RankingKey(const stream_key& stream) {
  return "stream/" + std::to_string(stream.Value());
}

}  // namespace

stream_takeups::stream_takeups(net::event_loop& loop, telemetry::event_log& log,
                               telemetry::metrics& metrics)
    : loop_(loop), log_(log), metrics_(metrics), history_(loop.Now()) {}

stream_takeups::~stream_takeups() { loop_.Cancel(tick_timer_); }

void stream_takeups::OnBegan(const core::request_id& stream,
                             const stream_origin& origin) {
  const stream_key key(stream);
  own_.Add(key, origin, loop_.Now());
  const auto keeps_records = [this](const auto& sidecar) {
    return sidecar.is_open && !IsLeaving(sidecar.ip);
  };
  for (const auto& sidecar :
       links_->FirstTargets(RankingKey(key), origins::kCopies, keeps_records)) {
    links_->Send(sidecar.ip, grants::stream_began{key, origin});
  }
}

void stream_takeups::Decide(const core::request_id& request,
                            const core::request_id& stream,
                            const core::service_id& service,
                            decision_callback on_decision) {
  const auto now = loop_.Now();
  const pending_decision pending{request, stream, service, now,
                                 std::move(on_decision)};
  if (stream.empty()) {
    OnFound(pending, std::nullopt);
    return;
  }
  const stream_key key(stream);
  if (const auto known = own_.Find(key, now)) {
    OnFound(pending, known, "own");
    return;
  }
  const std::uint64_t number = ++last_number_;
  pending_.emplace(number, pending);
  Perform(lookups_.Start(number, key, FirstCandidates(), now));
  ScheduleTick();
}

void stream_takeups::OnEndpoint(const catalog::endpoint_change& change) {
  const auto& record = change.record;
  if (change.what != catalog::endpoint_change::kind::gone && record.leaving) {
    leaving_[record.instance] = record.address.ip;
  } else {
    leaving_.erase(record.instance);
  }
  if (change.what == catalog::endpoint_change::kind::gone) {
    history_.OnGone(record.instance.Value(), loop_.Now());
  } else {
    history_.OnListed(record.instance.Value(), {record.service, record.version},
                      loop_.Now());
  }
}

void stream_takeups::OnSidecarMessage(const std::string& ip,
                                      const grants::message& value) {
  const auto* answer = std::get_if<grants::origin_answer>(&value);
  if (answer == nullptr) return;
  Perform(lookups_.OnAnswer(ip, answer->number, answer->origin,
                            FirstCandidates(), loop_.Now()));
}

bool stream_takeups::IsLeaving(const std::string& ip) const {
  return std::any_of(leaving_.begin(), leaving_.end(),
                     [&](const auto& entry) { return entry.second == ip; });
}

origin_lookups::candidates stream_takeups::FirstCandidates() const {
  return [this](const stream_key& stream) {
    std::vector<origin_lookups::sidecar> result;
    for (const auto& sidecar :
         links_->FirstTargets(RankingKey(stream), origin_lookups::kAsked)) {
      result.push_back({sidecar.ip, sidecar.is_open});
    }
    return result;
  };
}

void stream_takeups::Perform(const origin_lookups::actions& actions) {
  for (const auto& ask : actions.asks) {
    links_->Send(ask.ip, grants::origin_query{ask.number, ask.stream});
  }
  for (const auto& result : actions.results) {
    const auto found = pending_.find(result.number);
    const pending_decision pending = std::move(found->second);
    pending_.erase(found);
    OnFound(pending, result.origin);
  }
}

void stream_takeups::ScheduleTick() {
  if (tick_timer_ != 0 || lookups_.Size() == 0) return;
  tick_timer_ = loop_.Schedule(kTickPeriod, [this] {
    tick_timer_ = 0;
    Perform(lookups_.OnTick(FirstCandidates(), loop_.Now()));
    ScheduleTick();
  });
}

void stream_takeups::OnFound(const pending_decision& pending,
                             const std::optional<stream_origin>& origin,
                             const char* source) {
  const auto now = loop_.Now();
  takeup_decision decision{.origin = origin};
  if (!origin) {
    // A caller that names no stream does not expect several versions.
    const bool goes_on = pending.stream.empty()
                             ? !history_.HasSeveral(pending.service, now)
                             : history_.HasOnlyOne(pending.service, now);
    decision.is_refused = !goes_on;
    source = goes_on ? "only_version" : "unknown";
  }
  metrics_.Count(std::string("gateway_streams_taken_up_total{origin=\"") +
                 source + "\"}");
  log_.Request(decision.is_refused ? telemetry::line_class::failure
                                   : telemetry::line_class::routine,
               "taken_up", pending.request.Value())
      .Add("stream", pending.stream.Value())
      .Add("origin", source)
      .Add("service", origin ? origin->service.Value() : std::string())
      .Add("software_version", origin ? origin->version.Value() : std::string())
      .Add("waited_ms", core::ToMilliseconds(now - pending.started).count());
  pending.on_decision(decision);
}

}  // namespace comfreyspring::gateway
