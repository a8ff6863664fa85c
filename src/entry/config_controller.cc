#include "entry/config_controller.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

#include "config/documents.h"
#include "config/store_dump.h"
#include "core/json_parser.h"

namespace comfreyspring::entry {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr const char* kPlatformSource = "platform";
/** Timeout of a watch; shorter than config::kConfirmationLimit, so that a watch
 * without changes confirms the configuration to other entries in time. */
constexpr core::milliseconds kWatchTimeout{10000};
constexpr core::milliseconds kReadTimeout{3000};
constexpr core::milliseconds kRetryDelay{1000};
constexpr core::milliseconds kReaderCheckPeriod{1000};
constexpr core::milliseconds kTickPeriod{250};

}  // namespace

struct config_controller::impl {
  impl(net::event_loop& event_loop, net::http_client_interface& client,
       net::url platform, config::reader_selection readers,
       send_function send_message, adopted_function adopted_callback)
      : loop(event_loop),
        http(client),
        platform_url(std::move(platform)),
        selection(std::move(readers)),
        send(std::move(send_message)),
        on_adopted(std::move(adopted_callback)) {}

  ~impl() {
    loop.Cancel(watch_timer);
    loop.Cancel(tick_timer);
    for (const net::http_call_id call : calls) http.Cancel(call);
  }

  // Store actions.

  void Execute(const std::vector<config::store_action>& actions) {
    for (const config::store_action& action : actions) {
      std::visit([this](const auto& typed) { ExecuteAction(typed); }, action);
    }
  }

  void ExecuteAction(const config::fetch_manifest& action) {
    if (action.source == kPlatformSource) {
      ReadPlatform(ManifestUrl(), std::nullopt);
      return;
    }
    RequestFromAgent(action.source, std::nullopt);
  }

  void ExecuteAction(const config::fetch_part& action) {
    if (action.source == kPlatformSource) {
      ReadPlatform(net::url(platform_url)
                       .AddPath("/config/part")
                       .AddSegment(config::HashText(action.hash)),
                   action.hash);
      return;
    }
    RequestFromAgent(action.source, action.hash);
  }

  void ExecuteAction(const config::adopted& action) {
    LOG(INFO) << "entry.config: Adopted configuration "
              << core::ToString(action.set->version) << '.';
    on_adopted(action.set);
  }

  void ExecuteAction(const config::rejected& action) {
    LOG(WARNING) << "entry.config: Rejected configuration "
                 << core::ToString(action.version) << ": " << action.reason
                 << '.';
  }

  void RequestFromAgent(const config::source_id& source,
                        std::optional<std::uint64_t> hash) {
    const bool sent =
        send(core::endpoint_id(source), wire::config_request{hash});
    if (sent) return;
    // Posted, because the store is still processing the event that led here.
    loop.Post([this, source, hash] {
      Execute(store.OnFetchFailed(source, hash, loop.Now()));
    });
  }

  // Platform.

  net::http_call_id StartCall(
      net::url url, core::milliseconds timeout,
      std::function<void(const net::http_result&)> on_done) {
    net::http_call call;
    call.url = std::move(url);
    call.total_timeout = timeout;
    auto id = std::make_shared<net::http_call_id>(0);
    net::http_callbacks callbacks;
    callbacks.on_done =
        [this, id, done = std::move(on_done)](const net::http_result& result) {
          calls.erase(*id);
          done(result);
        };
    *id = http.Start(std::move(call), std::move(callbacks));
    calls.insert(*id);
    return *id;
  }

  /** JSON object with value and revision; nullopt if there is no value. */
  std::optional<json> ParseResponse(const net::http_result& result) {
    const bool reachable = result.failure == net::http_failure::none &&
                           result.status >= kOk && result.status < 500;
    if (reachable) {
      last_service_read = loop.Now();
      selection.OnConfirmation(*last_service_read);
    } else {
      selection.OnReadFailed(loop.Now());
    }
    if (reachable != platform_reachable) {
      platform_reachable = reachable;
      LOG(INFO) << "entry.config: Configuration service is "
                << (reachable ? "reachable." : "not reachable.");
    }
    if (result.status != kOk) return std::nullopt;
    json response = core::TryParseJson(result.body);
    const bool valid = response.is_object() && response.contains("value") &&
                       response["value"].is_string();
    if (!valid) return std::nullopt;
    return response;
  }

  net::url ManifestUrl() const {
    return net::url(platform_url).AddPath("/config/manifest");
  }

  void ReadPlatform(net::url url, std::optional<std::uint64_t> hash) {
    StartCall(
        std::move(url), kReadTimeout,
        [this, hash](const net::http_result& result) {
          const std::optional<json> response = ParseResponse(result);
          if (!response) {
            Execute(store.OnFetchFailed(kPlatformSource, hash, loop.Now()));
            return;
          }
          StoreDocument(*response, hash);
        });
  }

  void StoreDocument(const json& response, std::optional<std::uint64_t> hash) {
    const auto value = response["value"].get<std::string>();
    if (hash) {
      Execute(store.OnPart(kPlatformSource, *hash, value, loop.Now()));
      return;
    }
    Execute(store.OnManifest(kPlatformSource, value, loop.Now()));
  }

  void WatchManifest() {
    if (!selection.ShouldRead(loop.Now())) {
      watched_revision = -1;
      watch_timer =
          loop.Schedule(kReaderCheckPeriod, [this] { WatchManifest(); });
      return;
    }
    net::url url = ManifestUrl();
    if (watched_revision >= 0) {
      url.AddParameter("watch_after", std::to_string(watched_revision))
          .AddParameter("timeout_ms", std::to_string(kWatchTimeout.count()));
    }
    StartCall(
        std::move(url), kWatchTimeout + kReadTimeout,
        [this](const net::http_result& result) { OnWatchResponse(result); });
  }

  void OnWatchResponse(const net::http_result& result) {
    const std::optional<json> response = ParseResponse(result);
    core::milliseconds delay{0};
    if (response) {
      const auto revision = response->value("revision", std::int64_t{0});
      // A watch that times out returns the same revision.
      if (revision != watched_revision) StoreDocument(*response, std::nullopt);
      if (revision == watched_revision) delay = kTickPeriod;
      watched_revision = revision;
    } else {
      watched_revision = -1;
      delay = kRetryDelay;
    }
    watch_timer = loop.Schedule(delay, [this] { WatchManifest(); });
  }

  net::event_loop& loop;
  net::http_client_interface& http;
  net::url platform_url;
  config::reader_selection selection;
  std::optional<core::time_point> last_service_read;
  send_function send;
  adopted_function on_adopted;
  config::config_store store;
  std::set<net::http_call_id> calls;
  net::timer_id watch_timer = 0;
  net::timer_id tick_timer = 0;
  std::int64_t watched_revision = -1;
  bool platform_reachable = false;
};

config_controller::config_controller(net::event_loop& loop,
                                     net::http_client_interface& http,
                                     net::url platform_url,
                                     config::reader_selection selection,
                                     send_function send,
                                     adopted_function on_adopted)
    : impl_(std::make_unique<impl>(loop, http, std::move(platform_url),
                                   std::move(selection), std::move(send),
                                   std::move(on_adopted))) {}

config_controller::~config_controller() = default;

void config_controller::Start() {
  if (!impl_->platform_url.empty()) impl_->WatchManifest();
  impl_->tick_timer = impl_->loop.SchedulePeriodic(kTickPeriod, [this] {
    impl_->Execute(impl_->store.OnTick(impl_->loop.Now()));
  });
}

void config_controller::OnPeerVersion(const core::endpoint_id& endpoint,
                                      core::config_version version) {
  impl_->Execute(
      impl_->store.OnVersionSeen(endpoint.Value(), version, impl_->loop.Now()));
}

void config_controller::OnConfigRequest(const core::endpoint_id& endpoint,
                                        const wire::config_request& message) {
  const std::string* bytes = message.hash
                                 ? impl_->store.PartBytes(*message.hash)
                                 : impl_->store.ManifestBytes();
  wire::config_part response;
  response.manifest = !message.hash.has_value();
  response.hash = message.hash.value_or(CurrentVersion().manifest_hash);
  if (bytes != nullptr) response.bytes = *bytes;
  impl_->send(endpoint, response);
}

void config_controller::OnConfigPart(const core::endpoint_id& endpoint,
                                     const wire::config_part& message) {
  const core::time_point now = impl_->loop.Now();
  const std::string& source = endpoint.Value();
  if (message.bytes.empty()) {
    impl_->Execute(
        impl_->store.OnFetchFailed(source, message.RequestedHash(), now));
    return;
  }
  impl_->Execute(
      message.manifest
          ? impl_->store.OnManifest(source, message.bytes, now)
          : impl_->store.OnPart(source, message.hash, message.bytes, now));
}

void config_controller::OnReaderStatus(const wire::heartbeat_reply& message) {
  impl_->selection.OnLiveEntries(message.entries);
  if (!message.service_read_age_ms) return;
  const core::milliseconds age(*message.service_read_age_ms);
  if (age >= config::kConfirmationLimit) return;
  impl_->selection.OnConfirmation(impl_->loop.Now() - age);
}

bool config_controller::ShouldReadPlatform() {
  return impl_->selection.ShouldRead(impl_->loop.Now());
}

std::optional<std::int64_t> config_controller::ServiceReadAgeMs() const {
  if (!impl_->last_service_read) return std::nullopt;
  return core::ToMilliseconds(impl_->loop.Now() - *impl_->last_service_read)
      .count();
}

std::shared_ptr<const config::configuration> config_controller::Current()
    const {
  return impl_->store.Current();
}

core::config_version config_controller::CurrentVersion() const {
  return impl_->store.CurrentVersion();
}

nlohmann::json config_controller::ToJson() const {
  json dump = config::DumpStore(impl_->store);
  dump["watches_platform"] = impl_->selection.IsWatcher();
  dump["platform_reachable"] = impl_->platform_reachable;
  return dump;
}

}  // namespace comfreyspring::entry
