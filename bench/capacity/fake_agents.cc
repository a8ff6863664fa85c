// Simulates many agents in one process, to measure an entry. Each agent listens
// on its own port, replies to hello and heartbeats, fetches configuration
// documents as a real agent does, and replies to a submit with a fixed number
// of chunks.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/documents.h"
#include "net/event_loop.h"
#include "net/frame_link.h"
#include "settings/flag_checks.h"
#include "settings/program_start.h"
#include "stream/stream_assembler.h"
#include "wire/codec.h"

DEFINE_int32(first_port, 20000,
             "Port of the first agent; the others use the next ports.");
DEFINE_int32(count, 12, "Number of agents.");
DEFINE_string(data_centre, "dc-1", "Data centre in their hello.");
DEFINE_int32(chunks, 4, "Chunks of each response, one token each.");
DEFINE_int32(chunk_period_ms, 0, "Time between chunks; 0 sends all at once.");

namespace {

namespace core = comfreyspring::core;
namespace config = comfreyspring::config;
namespace net = comfreyspring::net;
namespace settings = comfreyspring::settings;
namespace stream = comfreyspring::stream;
namespace wire = comfreyspring::wire;

constexpr std::int64_t kBatchLimit = 64;

/** Documents by hash, shared by all agents to save memory. */
using document_cache = std::map<std::uint64_t, std::string>;

/** One simulated agent; stores only the hashes of the parts it received. */
class fake_agent {
 public:
  fake_agent(net::event_loop& loop, int number, document_cache& documents)
      : loop_(loop),
        number_(number),
        documents_(documents),
        listener_(loop, "127.0.0.1",
                  static_cast<std::uint16_t>(FLAGS_first_port + number), {}, 64,
                  [this](const std::shared_ptr<net::frame_link>& link) {
                    return Accept(link);
                  }) {}

 private:
  using link_pointer = std::shared_ptr<net::frame_link>;

  net::frame_link_callbacks Accept(const link_pointer& link) {
    links_.insert(link);
    net::frame_link_callbacks callbacks;
    net::frame_link* raw = link.get();
    callbacks.on_frame = [this, raw](std::string_view frame) {
      const wire::message message = wire::Decode(frame);
      std::visit([&](const auto& typed) { Handle(*raw, typed); }, message);
    };
    callbacks.on_closed = [this, raw](const std::string&) {
      loop_.Post([this, raw] { RemoveLink(raw); });
    };
    return callbacks;
  }

  void RemoveLink(const net::frame_link* raw) {
    std::erase_if(links_,
                  [raw](const auto& link) { return link.get() == raw; });
  }

  wire::endpoint_report Report() const {
    wire::endpoint_report report;
    report.batch_limit = kBatchLimit;
    report.running = static_cast<std::int64_t>(streams_.size());
    report.endpoint_up = true;
    report.resident = true;
    return report;
  }

  void Handle(net::frame_link& link, const wire::hello& message) {
    wire::hello hello;
    hello.process = core::process_id("agent-" + std::to_string(number_));
    hello.role = "agent";
    hello.instance_ms = 1;
    hello.data_centre = core::data_centre_id(FLAGS_data_centre);
    hello.version = version_;
    hello.report = Report();
    link.Send(wire::Encode(hello));
    OnVersion(link, message.version);
  }

  void Handle(net::frame_link& link, const wire::heartbeat& message) {
    wire::heartbeat_reply reply;
    reply.nonce = message.nonce;
    reply.version = version_;
    reply.report = Report();
    link.Send(wire::Encode(reply));
    OnVersion(link, message.version);
  }

  void OnVersion(net::frame_link& link, core::config_version announced) {
    if (announced <= version_ || announced == fetching_) return;
    fetching_ = announced;
    link.Send(wire::Encode(wire::config_request{}));
  }

  void Handle(net::frame_link& link, const wire::config_part& message) {
    if (!message.manifest) {
      documents_[message.hash] = message.bytes;
      received_hashes_.insert(message.hash);
      if (missing_hashes_.erase(message.hash) > 0 && missing_hashes_.empty())
        ApplyConfiguration(link);
      return;
    }
    missing_hashes_.clear();
    for (const auto& part : config::DecodeManifest(message.bytes).parts) {
      if (received_hashes_.contains(part.hash)) continue;
      missing_hashes_.insert(part.hash);
      link.Send(wire::Encode(wire::config_request{part.hash}));
    }
    if (missing_hashes_.empty()) ApplyConfiguration(link);
  }

  /** Switches to the fetched version; announces it with a heartbeat reply. */
  void ApplyConfiguration(net::frame_link& link) {
    version_ = fetching_;
    wire::heartbeat_reply reply;
    reply.version = version_;
    reply.report = Report();
    link.Send(wire::Encode(reply));
  }

  void Handle(net::frame_link& link, const wire::submit& message) {
    link.Send(wire::Encode(wire::accepted{message.attempt, Report()}));
    SendChunks(link, message, 0, {});
  }

  void SendChunks(net::frame_link& link, const wire::submit& message,
                  std::uint64_t sequence, stream::chunk_checksum checksum) {
    const auto count = static_cast<std::uint64_t>(FLAGS_chunks);
    while (sequence < count) {
      const std::string data = "tok" + std::to_string(sequence % 10) + " ";
      checksum.Add(data);
      link.Send(wire::Encode(wire::chunk{message.attempt, sequence, data}));
      ++sequence;
      if (FLAGS_chunk_period_ms > 0 && sequence < count) {
        ScheduleNextChunk(link, message, sequence, checksum);
        return;
      }
    }
    wire::finished finished;
    finished.attempt = message.attempt;
    finished.chunk_count = count;
    finished.checksum = checksum.Value();
    finished.adapter = message.adapter;
    finished.tokens.value = FLAGS_chunks;
    finished.report = Report();
    link.Send(wire::Encode(finished));
  }

  void ScheduleNextChunk(net::frame_link& link, const wire::submit& message,
                         std::uint64_t sequence,
                         stream::chunk_checksum checksum) {
    streams_.insert(message.attempt);
    net::frame_link* raw = &link;
    loop_.Schedule(core::milliseconds(FLAGS_chunk_period_ms),
                   [this, raw, message, sequence, checksum] {
                     streams_.erase(message.attempt);
                     for (const link_pointer& open : links_) {
                       if (open.get() != raw) continue;
                       SendChunks(*open, message, sequence, checksum);
                       return;
                     }
                   });
  }

  void Handle(net::frame_link& link, const wire::withdraw& message) {
    link.Send(
        wire::Encode(wire::withdrawn{message.attempt, core::outcome::unknown}));
  }

  template <class Message>
  void Handle(net::frame_link&, const Message&) {}

  net::event_loop& loop_;
  int number_;
  document_cache& documents_;
  std::set<link_pointer> links_;
  std::set<core::attempt_id> streams_;
  core::config_version version_;
  core::config_version fetching_;
  std::set<std::uint64_t> received_hashes_;
  std::set<std::uint64_t> missing_hashes_;
  net::frame_listener listener_;
};

void CheckFlags() {
  settings::RequireRange("count", FLAGS_count, 1, 2000);
  settings::RequireRange("first_port", FLAGS_first_port, 1024,
                         65535 - FLAGS_count);
  settings::RequireRange("chunks", FLAGS_chunks, 0, 100000);
  settings::RequireRange("chunk_period_ms", FLAGS_chunk_period_ms, 0, 600000);
}

int Run() {
  net::event_loop loop;
  document_cache documents;
  std::vector<std::unique_ptr<fake_agent>> agents;
  for (int number = 0; number < FLAGS_count; ++number) {
    agents.push_back(std::make_unique<fake_agent>(loop, number, documents));
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  std::cout << "listening " << FLAGS_first_port << std::endl;
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  return settings::StartProgram(argc, argv,
                                "Stand-ins for agents, to measure an entry.",
                                CheckFlags, Run);
}
