#include "agent/config_relay.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "config/store_dump.h"

namespace comfreyspring::agent {

namespace {

constexpr core::milliseconds kTickPeriod{250};

}  // namespace

config_relay::config_relay(net::event_loop& loop, entry_sender& sender,
                           adopted_callback on_adopted)
    : loop_(loop), sender_(sender), on_adopted_(std::move(on_adopted)) {
  tick_timer_ = loop_.SchedulePeriodic(
      kTickPeriod, [this] { Execute(store_.OnTick(loop_.Now())); });
}

config_relay::~config_relay() { loop_.Cancel(tick_timer_); }

void config_relay::OnVersionSeen(const entry_instance& entry,
                                 core::config_version version) {
  Execute(store_.OnVersionSeen(SourceFor(entry), version, loop_.Now()));
}

void config_relay::OnRequest(const entry_instance& entry,
                             const wire::config_request& message) {
  const std::string* bytes =
      message.hash ? store_.PartBytes(*message.hash) : store_.ManifestBytes();
  wire::config_part answer;
  answer.manifest = !message.hash.has_value();
  answer.hash = message.hash.value_or(Version().manifest_hash);
  if (bytes != nullptr) answer.bytes = *bytes;
  sender_.Send(entry, answer);
}

void config_relay::OnPart(const entry_instance& entry,
                          const wire::config_part& message) {
  const config::source_id source = SourceFor(entry);
  if (message.bytes.empty()) {
    Execute(store_.OnFetchFailed(source, message.RequestedHash(), loop_.Now()));
    return;
  }
  Execute(
      message.manifest
          ? store_.OnManifest(source, message.bytes, loop_.Now())
          : store_.OnPart(source, message.hash, message.bytes, loop_.Now()));
}

void config_relay::OnEntryLost(const entry_instance& entry) {
  sources_.erase(SourceFor(entry));
}

config::source_id config_relay::SourceFor(const entry_instance& entry) {
  config::source_id source =
      entry.process.Value() + "/" + std::to_string(entry.instance_ms);
  sources_[source] = entry;
  return source;
}

void config_relay::Execute(const std::vector<config::store_action>& actions) {
  for (const config::store_action& action : actions) {
    std::visit([this](const auto& typed) { Apply(typed); }, action);
  }
}

void config_relay::Apply(const config::fetch_manifest& action) {
  SendRequest(action.source, std::nullopt);
}

void config_relay::Apply(const config::fetch_part& action) {
  SendRequest(action.source, action.hash);
}

void config_relay::Apply(const config::adopted& action) {
  LOG(INFO) << "agent.config: Adopted configuration "
            << core::ToString(action.set->version) << '.';
  on_adopted_(action.set);
}

void config_relay::Apply(const config::rejected& action) {
  LOG(WARNING) << "agent.config: Rejected configuration "
               << core::ToString(action.version) << ": " << action.reason
               << '.';
}

void config_relay::SendRequest(const config::source_id& source,
                               std::optional<std::uint64_t> hash) {
  const auto entry = sources_.find(source);
  if (entry != sources_.end() &&
      sender_.Send(entry->second, wire::config_request{hash})) {
    return;
  }
  // Deferred to the next loop turn: the store is still processing an event.
  loop_.Post([this, source, hash] {
    Execute(store_.OnFetchFailed(source, hash, loop_.Now()));
  });
}

nlohmann::json config_relay::ToJson() const {
  return config::DumpStore(store_);
}

}  // namespace comfreyspring::agent
