#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "catalog/catalog_follower.h"
#include "core/random_source.h"
#include "sidecar/catalog_relay.h"

namespace comfreyspring::sidecar {
namespace {

using catalog::catalog_read;
using catalog::change_batch;
using core::milliseconds;

const catalog::adapter_name kAdapter{core::model_id("m"),
                                     core::adapter_id("a")};
constexpr milliseconds kBound{10};
constexpr milliseconds kRetryDelay{2};
constexpr milliseconds kReregistrationTime{30};
/** The entry of an engine that is dead expires within this time. */
constexpr milliseconds kExpiryTime{12};

/** A run of an endpoint: its instance and start time. */
using run_id = std::pair<std::string, std::int64_t>;

run_id RunOf(const catalog::endpoint_record& record) {
  return {record.instance.Value(), record.started_unix_ms};
}

/**
 * Encodings: "config 5", "version 3", "engine ID STARTED LEAVING PORT",
 * "removed ID WRITE", where the last is the number of the write.
 */
catalog::catalog_change DecodeText(const std::string& text) {
  std::istringstream in(text);
  std::string kind;
  in >> kind;
  if (kind == "config") {
    catalog::configuration content;
    in >> content.version;
    return content;
  }
  if (kind == "version") {
    catalog::adapter_version_announced announced{kAdapter};
    in >> announced.version;
    return announced;
  }
  std::string name;
  in >> name;
  if (kind == "removed") {
    return catalog::endpoint_removed{catalog::instance_id(name)};
  }
  catalog::endpoint_record record{.instance = catalog::instance_id(name)};
  in >> record.started_unix_ms >> record.leaving >> record.address.port;
  record.address.ip = "10.0.0.1";
  // Each start of an engine is for another service.
  record.service =
      core::service_id("s" + std::to_string(record.started_unix_ms));
  return record;
}

/** A platform that can be restored from an earlier copy of itself. */
class model_store {
 public:
  void Write(const std::string& key, const std::string& text) {
    ++writes_;
    history_.push_back({Revision() + 1, key, text});
  }
  void Remove(const std::string& name) {
    Write(name, "removed " + name + ' ' + std::to_string(writes_ + 1));
  }
  /** The last writes are lost, and their revisions are used again. */
  void Restore(std::size_t lost) {
    history_.resize(history_.size() - std::min(lost, history_.size()));
    oldest_ = std::min(oldest_, Revision());
    ++era_;
  }
  void Compact() { oldest_ = Revision(); }

  catalog_read ReadAll() const {
    std::map<std::string, const write*> latest;
    for (const write& each : history_) latest[each.key] = &each;
    catalog_read read = Answer(catalog::read_outcome::done);
    for (const auto& [key, last] : latest) {
      if (!last->text.starts_with("removed")) Add(*last, read);
    }
    return read;
  }
  catalog_read ReadChanges(std::int64_t after) const {
    if (after > Revision() || after < oldest_) {
      return Answer(catalog::read_outcome::history_lost);
    }
    catalog_read read = Answer(catalog::read_outcome::done);
    for (const write& each : history_) {
      if (each.revision > after) Add(each, read);
    }
    return read;
  }
  catalog_read Answer(catalog::read_outcome outcome) const {
    catalog_read read{.outcome = outcome, .revision = Revision(), .era = era_};
    if (outcome != catalog::read_outcome::done) read.error = "failed";
    return read;
  }
  std::int64_t Era() const { return era_; }
  /** Number of writes, including those that were lost. */
  std::int64_t Writes() const { return writes_; }

 private:
  struct write {
    std::int64_t revision = 0;
    std::string key;
    std::string text;
  };

  std::int64_t Revision() const {
    return history_.empty() ? 10 : history_.back().revision;
  }
  static void Add(const write& change, catalog_read& read) {
    read.changes.push_back(
        {change.revision, DecodeText(change.text), change.text});
  }

  std::int64_t era_ = 1;
  std::int64_t writes_ = 0;
  /** Changes up to this revision cannot be read. */
  std::int64_t oldest_ = 0;
  std::vector<write> history_;
};

/** The engines and the operator, with what they have written last. */
struct writers {
  enum class state { serving, leaving, dead };
  struct engine {
    std::string name;
    std::int64_t started = 0;
    int port = 0;
    state is = state::dead;
  };

  std::vector<engine> engines;
  /** Number of the last write of each run. */
  std::map<run_id, std::int64_t> last_writes;
  std::int64_t config = 0;
  std::int64_t version = 0;
  std::int64_t next_start = 1000;
};

/** A follower, its calls in flight and what must hold for its view. */
class gateway final : public catalog::catalog_source,
                      public catalog::follower_listener {
 public:
  gateway(net::event_loop& loop, telemetry::event_log& log,
          const model_store& store, const writers& truth, std::uint64_t seed)
      : loop_(loop),
        store_(store),
        truth_(truth),
        started_at_(loop.Now()),
        follower_(loop, *this,
                  {.change_bound = kBound,
                   .initial_retry_delay = kRetryDelay,
                   .maximum_retry_delay = kRetryDelay * 2,
                   .reregistration_time = kReregistrationTime,
                   .outage_threshold = kBound / 2,
                   .random_seed = seed},
                  *this, log) {
    follower_.Start();
  }

  // catalog_source.

  void ReadAll(milliseconds, read_callback on_done) override {
    ++reads_;
    calls_.push_back(
        {std::nullopt, std::move(on_done), store_.ReadAll(), store_.Writes()});
  }
  void ReadChanges(const catalog::change_query& query,
                   read_callback on_done) override {
    ++reads_;
    calls_.push_back({query.after_revision, std::move(on_done),
                      store_.ReadChanges(query.after_revision),
                      store_.Writes()});
  }
  void ReadEndpointChanges(const catalog::change_query& query,
                           read_callback on_done) override {
    calls_.push_back({query.after_revision,
                      [on_done = std::move(on_done)](catalog_read read) {
                        std::erase_if(read.changes, [](const auto& change) {
                          return !catalog::IsOfEndpoint(change);
                        });
                        on_done(std::move(read));
                      },
                      store_.ReadChanges(query.after_revision),
                      store_.Writes()});
  }
  catalog::published_change Decode(
      const catalog::change_document& document) const override {
    return {document.revision, DecodeText(document.text), document.text};
  }

  // follower_listener.

  void OnConfiguration(
      const std::shared_ptr<const catalog::route_table>& table) override {
    RC_ASSERT(table->Version() > config_);
    config_ = table->Version();
  }
  void OnEndpoint(const catalog::endpoint_change& change) override {
    using kind = catalog::endpoint_change::kind;
    const run_id run = RunOf(change.record);
    if (change.what == kind::leaving) {
      left_[run] = std::numeric_limits<std::int64_t>::max();
    } else if (change.what == kind::gone) {
      std::int64_t& left_by = left_[run];
      left_by = std::max(left_by, RemovedBy(change.record.instance.Value()));
    }
  }
  void OnLocalRead(const change_batch& batch) override {
    sent.push_back(batch);
  }

  bool HasCalls() const { return !calls_.empty(); }
  /** Answers the oldest call; a late answer was given when it was made. */
  void Answer(bool is_late) {
    call next = Take();
    catalog_read read = is_late      ? next.late
                        : next.after ? store_.ReadChanges(*next.after)
                                     : store_.ReadAll();
    std::vector<catalog::change_document> documents;
    for (const auto& change : read.changes) {
      documents.push_back({change.revision, change.document});
    }
    Expect(documents);
    if (!next.after) unlisted_at_ = is_late ? next.made_at : store_.Writes();
    next.on_done(std::move(read));
    Expect({});
    Check();
  }
  void Fail(catalog::read_outcome outcome) {
    catalog_read failed = store_.Answer(outcome);
    // No response at all.
    if (outcome == catalog::read_outcome::unavailable) failed.era = 0;
    Take().on_done(failed);
    Check();
  }
  void Receive(const change_batch& batch) {
    Expect(batch.documents);
    follower_.OnPeerRead(batch);
    Expect({});
    Check();
  }

  void Check() {
    std::map<std::uint16_t, std::string> holders;
    follower_.Endpoints().ForEachUsable(
        [&](const catalog::endpoint_record& record) {
          const run_id run = RunOf(record);
          const auto left = left_.find(run);
          RC_ASSERT(left == left_.end() ||
                    truth_.last_writes.at(run) > left->second);
          RC_ASSERT(holders.emplace(record.address.port, "").second);
        });
    const std::int64_t version = follower_.VersionOf(kAdapter);
    RC_ASSERT(version >= version_);
    version_ = version;
    // A pause lasts half of the first delay at least. A read of everything and
    // one of changes follow it; some follow the first hint at an era.
    const auto pauses =
        core::ToMilliseconds(loop_.Now() - started_at_) / (kRetryDelay / 2);
    RC_ASSERT(reads_ <= 4 + 2 * pauses + 3 * store_.Era());
  }
  bool IsCurrent() const {
    return config_ == truth_.config &&
           follower_.VersionOf(kAdapter) == truth_.version;
  }
  bool HasConverged() const {
    std::set<run_id> usable;
    follower_.Endpoints().ForEachUsable(
        [&](const auto& record) { usable.insert(RunOf(record)); });
    std::set<run_id> serving;
    for (const auto& each : truth_.engines) {
      if (each.is == writers::state::serving) {
        serving.insert({each.name, each.started});
      }
    }
    return IsCurrent() && usable == serving;
  }

  /** What the view holds, for the report of a failure. */
  std::string Describe() const {
    std::ostringstream out;
    out << "config " << config_ << " version " << version_ << " reads "
        << reads_;
    follower_.Endpoints().ForEachUsable([&](const auto& record) {
      out << ' ' << record.instance.Value() << '/' << record.started_unix_ms;
    });
    return out.str() + '\n';
  }

  std::vector<change_batch> sent;
  bool is_cut_off = false;

 private:
  struct call {
    std::optional<std::int64_t> after;
    read_callback on_done;
    /** The response at the time of the call. */
    catalog_read late;
    std::int64_t made_at = 0;
  };
  /** The follower is about to be given these documents. */
  void Expect(const std::vector<catalog::change_document>& documents) {
    removals_.clear();
    unlisted_at_ = 0;
    for (const auto& each : documents) {
      std::istringstream in(each.text);
      std::string kind;
      std::string name;
      std::int64_t write = 0;
      in >> kind >> name >> write;
      if (kind == "removed") removals_[name] = write;
    }
  }
  /** The write by which what the follower is given removes an endpoint. */
  std::int64_t RemovedBy(const std::string& name) const {
    const auto found = removals_.find(name);
    return found == removals_.end() ? unlisted_at_ : found->second;
  }
  call Take() {
    call next = std::move(calls_.front());
    calls_.pop_front();
    return next;
  }

  net::event_loop& loop_;
  const model_store& store_;
  const writers& truth_;
  core::time_point started_at_;
  std::deque<call> calls_;
  std::int64_t reads_ = 0;
  std::int64_t config_ = 0;
  std::int64_t version_ = 0;
  std::map<std::string, std::int64_t> removals_;
  /** Endpoints that are not listed were removed before this write. */
  std::int64_t unlisted_at_ = 0;
  /**
   * Runs that this process has known to have left, and by which write. Those
   * that announced it do not come back; the others do if they write later.
   */
  std::map<run_id, std::int64_t> left_;
  catalog::catalog_follower follower_;
};

/** Gateways and relays around one store; messages are kept in order per link.
 */
class simulation {
 public:
  simulation(std::uint64_t seed, std::size_t gateways, std::size_t relays)
      : random_(seed) {
    for (int number = 0; number < 4; ++number) {
      truth_.engines.push_back({"i" + std::to_string(number)});
      Start(truth_.engines.back());
    }
    WriteConfiguration();
    for (std::size_t number = 0; number < gateways; ++number) {
      gateways_.push_back(std::make_unique<gateway>(loop_, log_, store_, truth_,
                                                    seed + number));
    }
    for (std::size_t number = 0; number < relays; ++number) {
      relays_.emplace_back(milliseconds(8));
    }
    to_relays_.resize(gateways * relays);
    to_gateways_.resize(gateways * relays);
  }

  void Step() {
    gateway& some = *gateways_[random_.NextBelow(gateways_.size())];
    writers::engine& engine =
        truth_.engines[random_.NextBelow(truth_.engines.size())];
    switch (random_.NextBelow(24)) {
      case 0:
        return WriteConfiguration();
      case 1:
        store_.Write("version", "version " + std::to_string(++truth_.version));
        return;
      case 2:
        return Beat(engine);
      case 3:
        if (engine.is == writers::state::serving) {
          engine.is = writers::state::leaving;
        }
        return Beat(engine);
      case 4:
        engine.is = writers::state::dead;
        if (random_.NextBelow(2) == 0) store_.Remove(engine.name);
        return;
      case 5:
        // Also the entry of a serving engine may expire.
        return store_.Remove(engine.name);
      case 6:
        if (engine.is == writers::state::dead) Start(engine);
        return;
      case 7:
        if (random_.NextBelow(2) > 0) return;
        return store_.Restore(random_.NextBelow(12));
      case 8:
        if (random_.NextBelow(3) == 0) store_.Compact();
        return;
      case 9:
        some.is_cut_off = random_.NextBelow(3) == 0;
        return;
      case 10:
      case 11:
      case 12:
      case 13:
        Pass(milliseconds(1));
        return;
      case 14:
      case 15:
      case 16:
        Deliver();
        return;
      default:
        return AnswerSome(some);
    }
  }

  /** Without faults; what was written last is written again. */
  bool Settle() {
    for (const auto& each : gateways_) each->is_cut_off = false;
    store_.Write("config", "config " + std::to_string(truth_.config));
    store_.Write("version", "version " + std::to_string(truth_.version));
    // Nothing else is written, so that revisions do not pass those of before.
    const bool is_current =
        loop_.RunUntil([&] { return DeliverAll(&gateway::IsCurrent); }, kLimit);
    const auto started = loop_.Now();
    core::time_point beat_at;
    return is_current && loop_.RunUntil(
                             [&] {
                               if (loop_.Now() - beat_at > milliseconds(4)) {
                                 beat_at = loop_.Now();
                                 BeatAll(loop_.Now() - started > kExpiryTime);
                               }
                               return DeliverAll(&gateway::HasConverged);
                             },
                             kLimit);
  }

  /** What was written last and the views, for the report of a failure. */
  std::string Describe() const {
    std::ostringstream out;
    out << "era " << store_.Era() << " config " << truth_.config << " version "
        << truth_.version;
    for (const auto& each : truth_.engines) {
      out << ' ' << each.name << '/' << each.started << " at " << each.port
          << " state " << static_cast<int>(each.is);
    }
    out << '\n';
    for (const auto& each : gateways_) out << each->Describe();
    return out.str();
  }

 private:
  static constexpr milliseconds kLimit{10'000};

  void BeatAll(bool have_expired) {
    for (const auto& each : truth_.engines) {
      Beat(each);
      if (each.is == writers::state::dead && have_expired) {
        store_.Remove(each.name);
      }
    }
  }
  /** @returns whether the property holds for all gateways. */
  bool DeliverAll(bool (gateway::*property)() const) {
    for (const auto& each : gateways_) {
      while (each->HasCalls()) each->Answer(false);
    }
    Pump();
    while (Deliver()) {
    }
    return std::ranges::all_of(
        gateways_, [&](const auto& each) { return (*each.*property)(); });
  }
  void WriteConfiguration() {
    truth_.config += 1 + static_cast<std::int64_t>(random_.NextBelow(3));
    store_.Write("config", "config " + std::to_string(truth_.config));
  }
  void Start(writers::engine& engine) {
    // The address may have been another engine's before.
    std::set<int> used;
    for (const auto& other : truth_.engines) {
      if (other.is != writers::state::dead) used.insert(other.port);
    }
    engine.port = 80;
    while (used.count(engine.port) > 0) ++engine.port;
    engine.started = ++truth_.next_start;
    engine.is = writers::state::serving;
    Beat(engine);
  }
  void Beat(const writers::engine& engine) {
    if (engine.is == writers::state::dead) return;
    const bool is_leaving = engine.is == writers::state::leaving;
    store_.Write(engine.name, "engine " + engine.name + ' ' +
                                  std::to_string(engine.started) +
                                  (is_leaving ? " 1 " : " 0 ") +
                                  std::to_string(engine.port));
    truth_.last_writes[{engine.name, engine.started}] = store_.Writes();
  }
  void AnswerSome(gateway& some) {
    if (!some.HasCalls()) return;
    if (some.is_cut_off) {
      return some.Fail(catalog::read_outcome::unavailable);
    }
    const std::uint64_t kind = random_.NextBelow(10);
    if (kind == 0) return some.Fail(catalog::read_outcome::unavailable);
    if (kind == 1) return some.Fail(catalog::read_outcome::throttled);
    some.Answer(kind == 2);
    Pump();
  }
  void Pass(milliseconds time) {
    loop_.RunUntil([] { return false; }, time);
    Pump();
  }
  /** Puts what was sent onto the links. */
  void Pump() {
    for (std::size_t from = 0; from < gateways_.size(); ++from) {
      for (const change_batch& batch : gateways_[from]->sent) {
        for (std::size_t to = 0; to < relays_.size(); ++to) {
          to_relays_[from * relays_.size() + to].push_back(batch);
        }
      }
      gateways_[from]->sent.clear();
    }
    for (std::size_t from = 0; from < relays_.size(); ++from) {
      Send(from, relays_[from].OnTick(loop_.Now()));
    }
  }
  void Send(std::size_t from, const catalog_relay::batches& batches) {
    for (const change_batch& batch : batches) {
      for (std::size_t to = 0; to < gateways_.size(); ++to) {
        to_gateways_[to * relays_.size() + from].push_back(batch);
      }
    }
  }
  /** Delivers the next message of a random link. @returns false if none. */
  bool Deliver() {
    const std::size_t links = to_relays_.size();
    const std::size_t first = random_.NextBelow(2 * links);
    for (std::size_t tried = 0; tried < 2 * links; ++tried) {
      const std::size_t at = (first + tried) % (2 * links);
      auto& link = at < links ? to_relays_[at] : to_gateways_[at - links];
      if (link.empty()) continue;
      const change_batch batch = link.front();
      link.pop_front();
      if (at < links) {
        const std::size_t relay = at % relays_.size();
        Send(relay, relays_[relay].OnBatch(batch, loop_.Now()));
      } else {
        gateways_[(at - links) / relays_.size()]->Receive(batch);
        Pump();
      }
      return true;
    }
    return false;
  }

  core::random_source random_;
  net::event_loop loop_;
  telemetry::event_log log_{"test",
                            {},
                            [] { return core::wall_time(); },
                            [](std::string_view text) {
                              return static_cast<std::int64_t>(text.size());
                            }};
  model_store store_;
  writers truth_;
  std::vector<std::unique_ptr<gateway>> gateways_;
  std::vector<catalog_relay> relays_;
  /** By gateway, then relay. */
  std::vector<std::deque<change_batch>> to_relays_;
  std::vector<std::deque<change_batch>> to_gateways_;
};

// Guards against views that stay behind a restored platform, fall back with it
// or use what has left.
RC_GTEST_PROP(CatalogRestoration, ViewsConvergeAndNeverGoBack, ()) {
  simulation run(*rc::gen::arbitrary<std::uint64_t>(),
                 *rc::gen::inRange<std::size_t>(1, 5),
                 *rc::gen::inRange<std::size_t>(1, 3));
  const auto steps = *rc::gen::inRange(0, 400);
  for (int step = 0; step < steps; ++step) run.Step();
  const bool has_settled = run.Settle();
  if (!has_settled) RC_LOG() << run.Describe();
  RC_ASSERT(has_settled);
}

}  // namespace
}  // namespace comfreyspring::sidecar
