// Simulates many entries in one process, to measure one real agent. Each entry
// opens one link and sends a hello and heartbeats. --submits sets the total
// number of attempts. Prints `done` when all attempts have ended, and one line
// of JSON on SIGTERM.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "core/uuid.h"
#include "net/event_loop.h"
#include "net/frame_link.h"
#include "settings/flag_checks.h"
#include "settings/program_start.h"
#include "wire/codec.h"

DEFINE_int32(agent_port, 0, "Link port of the agent.");
DEFINE_int32(count, 2, "Number of entries.");
DEFINE_int32(heartbeat_ms, 1000, "Heartbeat interval; 0 sends none.");
DEFINE_int32(submits, 0, "Total number of attempts to send.");
DEFINE_int32(open_limit, 64, "Maximum number of attempts in flight.");
DEFINE_int32(tokens, 8, "max_tokens of each completion.");
DEFINE_int32(adapters, 4, "Number of adapters, requested round robin.");
DEFINE_string(service, "", "Sends non-repeatable calls to this service.");
DEFINE_string(attempt_prefix, "attempt-", "Prefix of the attempt ids.");
DEFINE_uint64(seed, 1, "Seed of the idempotency keys.");

namespace {

namespace core = comfreyspring::core;
namespace net = comfreyspring::net;
namespace settings = comfreyspring::settings;
namespace wire = comfreyspring::wire;

constexpr core::milliseconds kRemaining{3600000};

/** Counts over all entries. */
struct totals {
  int sent = 0;
  int finished = 0;
  int refused = 0;
  std::string last_refusal;
};

/** All links of the process and the attempts sent over them. */
class fake_entries {
 public:
  explicit fake_entries(net::event_loop& loop)
      : loop_(loop), random_(FLAGS_seed) {
    for (int number = 0; number < FLAGS_count; ++number) Connect(number);
    if (FLAGS_heartbeat_ms > 0) {
      loop_.SchedulePeriodic(core::milliseconds(FLAGS_heartbeat_ms),
                             [this] { SendHeartbeats(); });
    }
  }

  nlohmann::json Summary() const {
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    for (const auto& link : links_) {
      sent_bytes += link->SentBytes();
      received_bytes += link->ReceivedBytes();
    }
    return {
        {"sent", totals_.sent},       {"finished", totals_.finished},
        {"refused", totals_.refused}, {"last_refusal", totals_.last_refusal},
        {"sent_bytes", sent_bytes},   {"received_bytes", received_bytes}};
  }

 private:
  void Connect(int number) {
    net::frame_link_callbacks callbacks;
    callbacks.on_open = [this, number] { SendHello(number); };
    callbacks.on_frame = [this](std::string_view frame) { OnFrame(frame); };
    callbacks.on_closed = [number](const std::string& reason) {
      LOG(WARNING) << "fake_entries: Link " << number << ": " << reason << '.';
    };
    links_.push_back(net::ConnectFrameLink(
        loop_, "127.0.0.1", static_cast<std::uint16_t>(FLAGS_agent_port), {},
        std::move(callbacks)));
  }

  void SendHello(int number) {
    wire::hello hello;
    hello.process = core::process_id("fake-" + std::to_string(number));
    hello.role = "entry";
    hello.instance_ms = 1;
    hello.data_centre = core::data_centre_id("dc-1");
    links_[static_cast<std::size_t>(number)]->Send(wire::Encode(hello));
  }

  void SendHeartbeats() {
    wire::heartbeat message;
    message.nonce = ++nonce_;
    // The agent's own version, so that it does not request a configuration.
    message.version = version_;
    const std::string frame = wire::Encode(message);
    for (const auto& link : links_) {
      if (link->IsOpen()) link->Send(frame);
    }
  }

  void OnFrame(std::string_view frame) {
    const wire::message message = wire::Decode(frame);
    if (const auto* hello = std::get_if<wire::hello>(&message)) {
      version_ = std::max(version_, hello->version);
      if (++hellos_received_ == FLAGS_count) SubmitUpToLimit();
    } else if (const auto* reply =
                   std::get_if<wire::heartbeat_reply>(&message)) {
      version_ = std::max(version_, reply->version);
    } else if (std::holds_alternative<wire::finished>(message)) {
      ++totals_.finished;
      SubmitUpToLimit();
    } else if (const auto* end = std::get_if<wire::refused>(&message)) {
      ++totals_.refused;
      totals_.last_refusal = end->reason;
      SubmitUpToLimit();
    }
  }

  void SubmitUpToLimit() {
    const int ended = totals_.finished + totals_.refused;
    if (ended > 0 && ended == FLAGS_submits) std::cout << "done" << std::endl;
    while (totals_.sent < FLAGS_submits &&
           totals_.sent - totals_.finished - totals_.refused <
               FLAGS_open_limit) {
      SendSubmit();
    }
  }

  void SendSubmit() {
    const int number = totals_.sent++;
    wire::submit message;
    message.attempt =
        core::attempt_id(FLAGS_attempt_prefix + std::to_string(number));
    message.version = version_;
    message.remaining = kRemaining;
    message.expires_unix_ms =
        core::UnixMilliseconds(loop_.WallNow()) + kRemaining.count();
    if (FLAGS_service.empty()) {
      SetCompletion(message, number);
    } else {
      SetServiceCall(message);
    }
    links_[static_cast<std::size_t>(number) % links_.size()]->Send(
        wire::Encode(message));
  }

  static void SetCompletion(wire::submit& message, int number) {
    std::string digits = std::to_string(number % FLAGS_adapters);
    digits.insert(0, 4 - std::min<std::size_t>(4, digits.size()), '0');
    message.adapter = {core::adapter_id("adapter-" + digits),
                       core::version_id("v1")};
    message.expected_tokens.value = FLAGS_tokens;
    message.method = "POST";
    message.path = "/v1/completions";
    message.content_type = "application/json";
    message.body = nlohmann::json{
        {"prompt", "The buckle is worn."},
        {"max_tokens",
         FLAGS_tokens}}.dump();
  }

  void SetServiceCall(wire::submit& message) {
    message.kind = core::request_kind::service_call;
    message.idempotent = false;
    message.key =
        core::idempotency_key(core::MakeUuidV7(loop_.WallNow(), random_));
    message.service = core::service_id(FLAGS_service);
    message.method = "POST";
    message.path = "/new";
    message.content_type = "application/json";
    message.body = R"({"strap":"blue"})";
  }

  net::event_loop& loop_;
  core::random_source random_;
  std::vector<std::shared_ptr<net::frame_link>> links_;
  core::config_version version_;
  std::uint64_t nonce_ = 0;
  int hellos_received_ = 0;
  totals totals_;
};

void CheckFlags() {
  settings::RequireRange("agent_port", FLAGS_agent_port, 1, 65535);
  settings::RequireRange("count", FLAGS_count, 1, 2000);
  settings::RequireRange("heartbeat_ms", FLAGS_heartbeat_ms, 0, 600000);
  settings::RequireRange("submits", FLAGS_submits, 0, 1000000);
  settings::RequireRange("open_limit", FLAGS_open_limit, 1, 100000);
  settings::RequireRange("tokens", FLAGS_tokens, 1, 100000);
  settings::RequireRange("adapters", FLAGS_adapters, 1, 10000);
}

int Run() {
  net::event_loop loop;
  fake_entries entries(loop);
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  std::cout << "listening" << std::endl;
  loop.Run();
  std::cout << entries.Summary().dump() << std::endl;
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  return settings::StartProgram(argc, argv,
                                "Stand-ins for entries, to measure an agent.",
                                CheckFlags, Run);
}
