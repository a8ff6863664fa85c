#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/config_store.h"
#include "config/config_test_sets.h"
#include "config/documents.h"
#include "core/hash.h"
#include "core/random_source.h"

namespace comfreyspring::config {
namespace {

using core::config_version;

constexpr const char* kPlatform = "platform";

/** A response in flight to a store; without bytes the fetch has failed. */
struct response {
  std::size_t store = 0;
  source_id source;
  std::optional<std::uint64_t> hash;
  std::optional<std::string> bytes;
};

/** Probability of each fault, in percent. */
struct fault_rates {
  std::uint64_t lost = 0;
  std::uint64_t duplicated = 0;
  std::uint64_t corrupted = 0;
};

/**
 * Simulates stores, a service that may answer with stale manifests, and a
 * network that reorders, loses, duplicates and corrupts responses.
 */
class simulated_network {
 public:
  simulated_network(std::size_t stores, std::uint64_t seed) : random_(seed) {
    for (std::size_t number = 0; number < stores; ++number) {
      stores_.push_back(std::make_unique<config_store>());
    }
    versions_.resize(stores);
  }

  void Publish(const configuration& set, bool is_valid) {
    document_set documents = EncodeSet(set);
    const config_version version = VersionOf(
        DecodeManifest(documents.manifest_bytes), documents.manifest_bytes);
    parts_.insert(documents.parts.begin(), documents.parts.end());
    if (is_valid) valid_[version] = set.adapters.size();
    history_.push_back(std::move(documents.manifest_bytes));
  }

  /** The service answers with any manifest published so far. */
  void ReadService(std::size_t store) {
    if (history_.empty()) return;
    Send({store, kPlatform, std::nullopt,
          history_[random_.NextBelow(history_.size())]});
  }

  void Gossip(std::size_t from, std::size_t to) {
    Execute(to,
            stores_[to]->OnVersionSeen(std::to_string(from),
                                       stores_[from]->CurrentVersion(), now_));
  }

  void Tick(core::milliseconds step) {
    now_ += step;
    for (std::size_t at = 0; at < stores_.size(); ++at) {
      Execute(at, stores_[at]->OnTick(now_));
    }
  }

  /** Delivers a random response in flight. */
  void DeliverAny() {
    if (in_flight_.empty()) return;
    const std::size_t at = random_.NextBelow(in_flight_.size());
    const response item = in_flight_[at];
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(at));
    Deliver(item);
  }

  void Step() {
    const std::size_t first = random_.NextBelow(stores_.size());
    const std::size_t second = random_.NextBelow(stores_.size());
    switch (random_.NextBelow(8)) {
      case 0:
        return ReadService(first);
      case 1:
      case 2:
        return Gossip(first, second);
      case 3:
        return Tick(core::milliseconds(
            static_cast<std::int64_t>(random_.NextBelow(1500))));
      default:
        return DeliverAny();
    }
  }

  /** Without faults, reads each manifest once and gossips for 60 rounds. */
  void Settle() {
    rates_ = {};
    for (const std::string& bytes : history_) {
      Send({0, kPlatform, std::nullopt, bytes});
    }
    for (int round = 0; round < 60; ++round) {
      while (!in_flight_.empty()) DeliverAny();
      for (std::size_t at = 1; at < stores_.size(); ++at) {
        Gossip(at - 1, at);
        Gossip(at, at - 1);
      }
      Tick(core::milliseconds(1000));
    }
  }

  config_version GreatestValid() const {
    return valid_.empty() ? config_version{} : valid_.rbegin()->first;
  }

  void SetRates(fault_rates rates) { rates_ = rates; }
  const config_store& Store(std::size_t at) const { return *stores_[at]; }
  std::size_t size() const { return stores_.size(); }

 private:
  void Send(response item) {
    if (Happens(rates_.lost)) return;
    if (Happens(rates_.duplicated)) in_flight_.push_back(item);
    if (item.bytes && !item.bytes->empty() && Happens(rates_.corrupted)) {
      std::string& bytes = *item.bytes;
      // A digit keeps most documents parseable, so that only the hash and
      // checksum checks detect the corruption.
      bytes[random_.NextBelow(bytes.size())] =
          static_cast<char>('0' + random_.NextBelow(10));
    }
    in_flight_.push_back(std::move(item));
  }

  bool Happens(std::uint64_t percent) {
    return random_.NextBelow(100) < percent;
  }

  void Deliver(const response& item) {
    config_store& store = *stores_[item.store];
    if (!item.bytes) {
      Execute(item.store, store.OnFetchFailed(item.source, item.hash, now_));
    } else if (item.hash) {
      Execute(item.store,
              store.OnPart(item.source, *item.hash, *item.bytes, now_));
    } else {
      Execute(item.store, store.OnManifest(item.source, *item.bytes, now_));
    }
  }

  void Execute(std::size_t store, const std::vector<store_action>& actions) {
    for (const store_action& action : actions) {
      if (const auto* request = std::get_if<fetch_manifest>(&action)) {
        Respond(store, request->source, std::nullopt);
      } else if (const auto* part = std::get_if<fetch_part>(&action)) {
        Respond(store, part->source, part->hash);
      }
    }
    CheckStore(store);
  }

  void Respond(std::size_t store, const source_id& source,
               std::optional<std::uint64_t> hash) {
    if (Happens(rates_.lost)) return;
    const std::string* bytes = nullptr;
    if (source == kPlatform) {
      if (!hash) return ReadService(store);
      const auto found = parts_.find(*hash);
      if (found != parts_.end()) bytes = &found->second;
    } else {
      const config_store& peer = *stores_[std::stoul(source)];
      bytes = hash ? peer.PartBytes(*hash) : peer.ManifestBytes();
    }
    Send({store, source, hash,
          bytes == nullptr ? std::nullopt : std::optional(*bytes)});
  }

  /** The set in force is published, valid and complete, never an older one. */
  void CheckStore(std::size_t at) {
    const config_store& store = *stores_[at];
    const config_version version = store.CurrentVersion();
    RC_ASSERT(version >= versions_[at]);
    versions_[at] = version;
    if (store.Current() == nullptr) {
      RC_ASSERT(version == config_version{});
      return;
    }
    RC_ASSERT(store.Current()->version == version);
    RC_ASSERT(valid_.count(version) == 1u);
    RC_ASSERT(store.Current()->adapters.size() == valid_.at(version));
    RC_ASSERT(core::Hash64(*store.ManifestBytes()) == version.manifest_hash);
    for (const part_reference& part :
         DecodeManifest(*store.ManifestBytes()).parts) {
      RC_ASSERT(store.PartBytes(part.hash) != nullptr);
      RC_ASSERT(core::Hash64(*store.PartBytes(part.hash)) == part.hash);
    }
  }

  core::random_source random_;
  core::time_point now_;
  fault_rates rates_;
  std::vector<std::unique_ptr<config_store>> stores_;
  std::vector<config_version> versions_;
  std::map<std::uint64_t, std::string> parts_;
  std::map<config_version, std::size_t> valid_;
  std::vector<std::string> history_;
  std::vector<response> in_flight_;
};

/** Publishes sets of close generations, so that some have the same one. */
void PublishRandomSets(simulated_network& net, std::uint64_t first_generation) {
  const auto count = *rc::gen::inRange(1, 5);
  for (int number = 0; number < count; ++number) {
    const auto generation = *rc::gen::inRange<std::uint64_t>(
        first_generation, first_generation + 3);
    const bool is_valid = *rc::gen::inRange(0, 3) > 0;
    const std::string label =
        "v" + std::to_string(generation) + "-" + std::to_string(number);
    net.Publish(is_valid ? MakeTestSet(generation, label, 4 + number)
                         : MakeInvalidTestSet(generation, label),
                is_valid);
    const auto steps = *rc::gen::inRange(0, 80);
    for (int step = 0; step < steps; ++step) net.Step();
  }
}

// Guards against a store returning to an older version, adopting a partial,
// mixed, corrupted or invalid set, and stores that do not converge.
RC_GTEST_PROP(ConfigStores, ConvergeToTheGreatestValidSetAndNeverGoBack, ()) {
  simulated_network net(*rc::gen::inRange<std::size_t>(2, 5),
                        *rc::gen::arbitrary<std::uint64_t>());
  net.SetRates({.lost = *rc::gen::inRange<std::uint64_t>(0, 40),
                .duplicated = *rc::gen::inRange<std::uint64_t>(0, 40),
                .corrupted = *rc::gen::inRange<std::uint64_t>(0, 40)});
  PublishRandomSets(net, 1);
  net.Settle();
  for (std::size_t at = 0; at < net.size(); ++at) {
    RC_ASSERT(net.Store(at).CurrentVersion() == net.GreatestValid());
  }
}

// Guards against an invalid set preventing the adoption of later valid sets.
RC_GTEST_PROP(ConfigStores, AdoptGoodSetsAfterInvalidOnes, ()) {
  simulated_network net(3, *rc::gen::arbitrary<std::uint64_t>());
  net.Publish(MakeTestSet(1, "good"), true);
  net.Settle();
  const config_version good = net.GreatestValid();
  const auto invalid = *rc::gen::inRange<std::uint64_t>(1, 4);
  for (std::uint64_t number = 0; number < invalid; ++number) {
    net.Publish(MakeInvalidTestSet(2 + number, "bad"), false);
    net.Settle();
    RC_ASSERT(net.Store(0).LastRejected()->version.generation == 2 + number);
  }
  for (std::size_t at = 0; at < net.size(); ++at) {
    RC_ASSERT(net.Store(at).CurrentVersion() == good);
  }
  net.Publish(MakeTestSet(10, "later"), true);
  net.Settle();
  for (std::size_t at = 0; at < net.size(); ++at) {
    RC_ASSERT(net.Store(at).CurrentVersion() == net.GreatestValid());
  }
}

}  // namespace
}  // namespace comfreyspring::config
