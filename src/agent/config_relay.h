#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "agent/entry_instance.h"
#include "config/config_store.h"
#include "net/event_loop.h"
#include "wire/messages.h"

namespace comfreyspring::agent {

/**
 * Receives the configuration from entries and passes it on to entries with an
 * older version. An agent never reads the configuration service itself.
 */
class config_relay {
 public:
  using adopted_callback =
      std::function<void(std::shared_ptr<const config::configuration>)>;

  config_relay(net::event_loop& loop, entry_sender& sender,
               adopted_callback on_adopted);
  ~config_relay();
  config_relay(const config_relay&) = delete;
  config_relay& operator=(const config_relay&) = delete;

  void OnVersionSeen(const entry_instance& entry, core::config_version version);
  void OnRequest(const entry_instance& entry,
                 const wire::config_request& message);
  void OnPart(const entry_instance& entry, const wire::config_part& message);
  void OnEntryLost(const entry_instance& entry);

  core::config_version Version() const { return store_.CurrentVersion(); }
  std::shared_ptr<const config::configuration> Current() const {
    return store_.Current();
  }
  nlohmann::json ToJson() const;

 private:
  void Execute(const std::vector<config::store_action>& actions);
  void Apply(const config::fetch_manifest& action);
  void Apply(const config::fetch_part& action);
  void Apply(const config::adopted& action);
  void Apply(const config::rejected& action);
  void SendRequest(const config::source_id& source,
                   std::optional<std::uint64_t> hash);
  config::source_id SourceFor(const entry_instance& entry);

  net::event_loop& loop_;
  entry_sender& sender_;
  adopted_callback on_adopted_;
  config::config_store store_;
  std::map<config::source_id, entry_instance> sources_;
  net::timer_id tick_timer_ = 0;
};

}  // namespace comfreyspring::agent
