#include "catalog/catalog_follower.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"

namespace comfreyspring::catalog {
namespace {

/** Resolution of grace periods. */
constexpr core::milliseconds kTickPeriod{100};
/**
 * If more than one in this many endpoints is removed by one read, their
 * entries are assumed to have lapsed in an unnoticed outage.
 */
constexpr std::size_t kMassRemovalShare = 3;
/**
 * The bound divided by the pause of a reader: changes are known to all
 * processes in less than half of the bound.
 */
constexpr int kPausesPerBound = 5;
/**
 * The bound divided by the wait and by the timeout of a read. A read on a dead
 * connection is given up after three quarters of the bound, so that the next
 * read still finds changes in time.
 */
constexpr int kWaitsPerBound = 4;
constexpr int kTimeoutsPerBound = 2;
/** A slow platform responds within a few hundred milliseconds. */
constexpr core::milliseconds kMaximumTimeout{1000};
/**
 * While the platform does not respond, most reads have a short timeout, so that
 * its recovery is noticed early. A random share keeps the full timeout for a
 * platform that is only slow; it is random so that not all processes wait at
 * the same time.
 */
constexpr int kShortReadsPerTimeout = 4;
constexpr double kLongReadShare = 0.25;
/** Outages that ended longer ago are not reported to other processes. */
constexpr core::milliseconds kOutageReportPeriod{10'000};
/**
 * Share of the bound after which a process without confirmation reads by
 * itself. The rest of the bound is for that read.
 */
constexpr double kConfirmationShareOfBound = 0.4;
/**
 * Share of the bound after which it reads the endpoints alone, since that read
 * may take as long as the configurations that are on the same link.
 */
constexpr double kEndpointShareOfBound = 0.3;

/**
 * The bound divided by the period within which processes that hear of a later
 * era read everything, each at a random time.
 */
constexpr int kEraReadPeriodsPerBound = 5;
/**
 * Changes of more than this many times the size of the whole catalog are not
 * read: what they have led to is shorter than they are.
 */
constexpr std::size_t kChangesPerCatalog = 2;
/** Changes up to this size are read however small the catalog is. */
constexpr std::size_t kMinimumChangeBytes = 256 * 1024;
/**
 * The bound divided by the time that a response may take to arrive, besides the
 * wait for changes, without being logged.
 */
constexpr int kUnloggedReadsPerBound = 10;
/** Responses that recur with each retry are logged once in this time. */
constexpr core::milliseconds kAnswerLogPeriod{1000};

read_schedule_options ScheduleFor(const follower_options& options) {
  const auto bound = options.change_bound;
  const auto share_of_bound = [bound](double share) {
    return core::milliseconds(
        static_cast<std::int64_t>(share * static_cast<double>(bound.count())));
  };
  return {.pause = bound / kPausesPerBound,
          .confirmation_limit = share_of_bound(kConfirmationShareOfBound),
          .endpoint_limit = share_of_bound(kEndpointShareOfBound),
          .random_seed = options.random_seed};
}

/** A change of unknown revision is at or before the read. */
catalog_position PositionOf(const published_change& change,
                            const catalog_position& read) {
  return change.revision > 0 ? catalog_position{read.era, change.revision}
                             : read;
}

/** Endpoints that a read no longer lists. */
std::int64_t CountLost(const endpoint_table::changes& changes) {
  return std::count_if(changes.begin(), changes.end(), [](const auto& change) {
    return change.what == endpoint_change::kind::lapsed ||
           change.what == endpoint_change::kind::gone;
  });
}

}  // namespace

catalog_follower::catalog_follower(net::event_loop& loop,
                                   catalog_source& source,
                                   follower_options options,
                                   follower_listener& listener,
                                   telemetry::event_log& log)
    : loop_(loop),
      source_(source),
      options_(options),
      listener_(listener),
      log_(log),
      random_(options.random_seed),
      schedule_(ScheduleFor(options)),
      retry_delay_(options.initial_retry_delay),
      last_contact_(loop.Now()),
      outages_(options.outage_threshold),
      stale_logged_at_(loop.Now() - kAnswerLogPeriod),
      defect_logged_at_(stale_logged_at_),
      pending_logged_at_(stale_logged_at_),
      failure_{.logged_at = stale_logged_at_},
      gap_{.logged_at = stale_logged_at_} {}

catalog_follower::~catalog_follower() {
  *alive_ = false;
  loop_.Cancel(read_timer_);
  loop_.Cancel(era_timer_);
  loop_.Cancel(tick_timer_);
}

void catalog_follower::Start() {
  tick_timer_ = loop_.SchedulePeriodic(kTickPeriod, [this] {
    const bool is_away =
        !connected_ && Age() > schedule_.MaximumConfirmationGap();
    Publish(endpoints_.OnTick(loop_.Now(), !is_away));
    ReadEndpointsWhenDue();
    LogPendingRead();
  });
  ReadAll();
}

void catalog_follower::OnPaused(core::milliseconds length) {
  backlog_.OnPaused(length, loop_.Now());
  retry_delay_ = options_.initial_retry_delay;
  // The process's own work is a pause too. A read that is started anew at each
  // of them never ends.
  if (length >= MaximumWait() + FullTimeout()) ReadAll();
}

void catalog_follower::OnPeerRead(const change_batch& batch) {
  if (complete_ && batch.era >= latest_era_ &&
      batch.era > history_.Position().era) {
    OnLaterEra(batch);
    return;
  }
  // Nothing is known of how an earlier era relates to the latest one.
  if (batch.era < latest_era_) return;
  if (!complete_ || batch.Position() < history_.Position()) return;
  if (batch.After() > history_.Position()) LogGap(batch);
  const auto waited = backlog_.At(loop_.Now());
  // The outage end of a delayed batch is inaccurate. The next batch repeats it.
  if (batch.last_outage && waited.count() == 0 &&
      outages_.OnReported(*batch.last_outage, last_contact_,
                          schedule_.MaximumConfirmationGap(), loop_.Now())) {
    LogOutage("gateway");
    ShortenGracePeriods();
  }
  std::vector<published_change> changes;
  for (const change_document& document : batch.documents) {
    if (document.revision > history_.Position().revision) {
      changes.push_back(source_.Decode(document));
    }
  }
  const auto known_before = std::max(history_.Position(), batch.After());
  DetectMassRemoval(changes, known_before);
  // Changes after a gap are in force at once: each is a whole value, and one
  // that is older does not replace it when it is read later.
  std::vector<change_document> ignored;
  Apply(std::move(changes),
        {"gateway", batch.Position(), last_contact_, known_before}, ignored);
  const auto confirmed_at = history_.OnRange(batch.after, batch.revision,
                                             loop_.Now() - batch.age - waited);
  if (!confirmed_at) return;
  needs_all_ = false;
  schedule_.OnConfirmed(*confirmed_at);
  last_contact_ = std::max(last_contact_, *confirmed_at);
}

void catalog_follower::OnLaterEra(const change_batch& batch) {
  if (OnEra(batch.era)) {
    log_.SystemEvent("platform_restored_elsewhere")
        .Add("era", batch.era)
        .Add("era_before", history_.Position().era)
        .Add("revision", batch.revision)
        .Add("revision_before", history_.Position().revision);
    const auto period = options_.change_bound / kEraReadPeriodsPerBound;
    const core::milliseconds delay(static_cast<std::int64_t>(
        random_.NextUnit() * static_cast<double>(period.count())));
    loop_.Cancel(era_timer_);
    era_timer_ = loop_.Schedule(delay, [this] {
      era_timer_ = 0;
      if (!reading_all_) ReadAll();
    });
  }
  // Everything after this position was written in the new era.
  endpoints_.OnRestored(batch.After());
  auto known_until = last_contact_;
  if (batch.last_outage && batch.last_outage->position.era == batch.era &&
      backlog_.At(loop_.Now()).count() == 0) {
    const auto ended = loop_.Now() - batch.last_outage->ended_ago;
    if (outages_.OnRestored(batch.last_outage->position, last_contact_,
                            ended)) {
      LogOutage("gateway");
    }
    // An entry that was removed after the outage was listed at its end.
    known_until = std::max(known_until, ended);
  }
  // The changes before the batch are not known, so the position stays.
  std::vector<published_change> changes;
  for (const change_document& document : batch.documents) {
    changes.push_back(source_.Decode(document));
  }
  std::vector<change_document> ignored;
  Apply(std::move(changes),
        {"gateway", batch.Position(), known_until, batch.After()}, ignored);
}

void catalog_follower::SetReaderRank(std::optional<std::size_t> rank) {
  const bool was_reader = schedule_.IsReader();
  schedule_.OnRank(rank);
  if (was_reader == schedule_.IsReader()) return;
  log_.SystemEvent("catalog_reader").Add("reads", schedule_.IsReader());
  // The next read may be due earlier after the change.
  if (read_timer_ != 0 && connected_ && !is_retry_) ReadWhenDue();
}

std::int64_t catalog_follower::VersionOf(const adapter_name& adapter) const {
  const auto found = versions_.find(adapter);
  return found == versions_.end() ? 0 : found->second;
}

core::milliseconds catalog_follower::Age() const {
  return core::ToMilliseconds(loop_.Now() - last_contact_);
}

removal_grace catalog_follower::GraceFor(const catalog_position& removed_at,
                                         const read_context& read) const {
  const auto& last = outages_.Last();
  return {UsableUntil(last, removed_at, read.known_until, GraceLimits()),
          last ? last->position : catalog_position(), removed_at,
          read.known_until, read.known_before};
}

/**
 * Another process has seen the end of the outage earlier than this one, so
 * that entries that this one took as lapsed may have been removed after it.
 */
void catalog_follower::ShortenGracePeriods() {
  endpoints_.ShortenGrace([this](const removal_grace& grace) {
    const auto& last = outages_.Last();
    // An entry that was removed after the outage was listed at its end.
    const auto listed_at = std::max(grace.listed_at, last->ended);
    return UsableUntil(last, grace.removal_position, listed_at, GraceLimits());
  });
}

removal_grace_limits catalog_follower::GraceLimits() const {
  return {options_.reregistration_time, options_.change_bound};
}

// Reads.

core::milliseconds catalog_follower::MaximumWait() const {
  return options_.change_bound / kWaitsPerBound;
}

core::milliseconds catalog_follower::FullTimeout() const {
  return std::min(options_.change_bound / kTimeoutsPerBound, kMaximumTimeout);
}

core::milliseconds catalog_follower::ReadTimeout() {
  const auto timeout = FullTimeout();
  if (connected_ || !complete_ || random_.NextUnit() < kLongReadShare) {
    return timeout;
  }
  return timeout / kShortReadsPerTimeout;
}

void catalog_follower::ReadAll() {
  loop_.Cancel(std::exchange(read_timer_, 0));
  is_retry_ = false;
  reading_all_ = true;
  read_began_ = loop_.Now();
  read_wait_ = core::milliseconds(0);
  const std::uint64_t generation = ++generation_;
  source_.ReadAll(ReadTimeout(),
                  [this, generation, alive = alive_](catalog_read read) {
                    if (!*alive || generation != generation_) return;
                    reading_all_ = false;
                    OnAll(std::move(read));
                  });
}

void catalog_follower::ReadChanges() {
  loop_.Cancel(std::exchange(read_timer_, 0));
  is_retry_ = false;
  reading_all_ = false;
  const std::uint64_t generation = ++generation_;
  // After an outage the first response must not be delayed by waiting.
  const auto wait = connected_ ? MaximumWait() : core::milliseconds(0);
  read_began_ = loop_.Now();
  read_wait_ = wait;
  source_.ReadChanges(
      {.after_revision = history_.Position().revision,
       .wait = wait,
       .timeout = wait + ReadTimeout(),
       .maximum_bytes =
           std::max(kMinimumChangeBytes, kChangesPerCatalog * catalog_bytes_)},
      [this, generation, alive = alive_](catalog_read read) {
        if (!*alive || generation != generation_) return;
        OnChanges(std::move(read));
      });
}

void catalog_follower::OnAll(catalog_read read) {
  if (read.outcome != read_outcome::done) {
    OnFailure("read_all", read);
    return;
  }
  LogDefect("read_all", read);
  LogSlowRead("read_all", read);
  if (read.era == 0) read.era = latest_era_;
  if (read.era < latest_era_ ||
      (complete_ && read.Position() < history_.Position())) {
    OnStaleAnswer("read_all", read);
    return;
  }
  const read_context context{"platform", read.Position(), last_contact_,
                             history_.Position()};
  OnEra(read.era);
  OnContact(read.Position(), read_began_);
  catalog_bytes_ = read.received_bytes;
  const catalog_position before = history_.Position();
  history_.OnAllRead(read.Position());
  const bool was_restored = complete_ && before.era < history_.Position().era;
  complete_ = true;
  needs_all_ = false;
  std::vector<endpoint_table::listed_entry> entries;
  std::vector<published_change> others;
  listing listed{.items = read.changes.size() + read.ignored_items};
  for (published_change& change : read.changes) {
    if (std::holds_alternative<unreadable_entry>(change.content)) {
      ++listed.unreadable;
    }
    if (auto* record = std::get_if<endpoint_record>(&change.content)) {
      const auto position = PositionOf(change, read.Position());
      entries.push_back({std::move(*record), position});
    } else {
      others.push_back(std::move(change));
    }
  }
  // Other processes may know a copy that is older than this read.
  if (before.era < history_.Position().era) {
    unrelayed_.clear();
    for (const auto& each : entries) unrelayed_.insert(each.record.instance);
  }
  std::vector<change_document> applied;
  Apply(std::move(others), context, applied);
  if (was_restored) {
    OnRestored(before, entries, std::move(applied), context);
  } else {
    const auto changes = endpoints_.OnSnapshot(
        entries, GraceFor(read.Position(), context), loop_.Now());
    listed.endpoints = entries.size();
    LogListing(read, listed, changes);
    Publish(changes);
  }
  ReadChanges();
}

void catalog_follower::OnRestored(
    const catalog_position& before,
    const std::vector<endpoint_table::listed_entry>& entries,
    std::vector<change_document> applied, const read_context& read) {
  loop_.Cancel(std::exchange(era_timer_, 0));
  if (outages_.OnRestored(history_.Position(), read.known_until, loop_.Now())) {
    LogOutage("restored");
  }
  endpoints_.OnRestored(history_.Position());
  removal_grace grace = GraceFor(history_.Position(), read);
  // What the copy lacks was lost at the latest when the new era began.
  grace.usable_until =
      UsableUntil(outages_.Last(), {history_.Position().era, 0},
                  read.known_until, GraceLimits());
  const auto changes = endpoints_.OnSnapshot(entries, grace, loop_.Now());
  const auto departed =
      std::count_if(entries.begin(), entries.end(), [this](const auto& each) {
        return !endpoints_.IsKnown(each.record.instance);
      });
  log_.SystemEvent("platform_restored")
      .Add("era_before", before.era)
      .Add("era", history_.Position().era)
      .Add("revision_before", before.revision)
      .Add("revision", history_.Position().revision)
      .Add("entries", static_cast<std::int64_t>(entries.size()))
      .Add("entries_lost", CountLost(changes))
      .Add("entries_departed", static_cast<std::int64_t>(departed));
  Publish(changes);
  change_batch batch{.after = history_.Position().revision,
                     .revision = history_.Position().revision,
                     .era = history_.Position().era};
  batch.documents = std::move(applied);
  Report(std::move(batch));
}

void catalog_follower::OnChanges(catalog_read read) {
  if (read.outcome == read_outcome::too_long) {
    // This response does not list entries, so it must not count as contact.
    log_.SystemEvent("platform_history_long")
        .Add("revision", history_.Position().revision)
        .Add("catalog_bytes", catalog_bytes_)
        .Add("catalog_age_ms", Age().count());
    ReadAllAgain();
    return;
  }
  if (read.outcome != read_outcome::done &&
      read.outcome != read_outcome::history_lost) {
    // The same changes would be read again.
    if (read.is_undecodable) needs_all_ = true;
    OnFailure("read_changes", read);
    return;
  }
  if (read.outcome == read_outcome::done) {
    LogDefect("read_changes", read);
    LogSlowRead("read_changes", read);
  }
  if (read.era == 0) read.era = history_.Position().era;
  if (read.era < latest_era_) {
    OnStaleAnswer("read_changes", read);
    return;
  }
  // Changes of a later era follow another history than the view.
  if (read.outcome == read_outcome::history_lost ||
      read.era > history_.Position().era) {
    // This response does not list entries, so it must not count as contact.
    log_.SystemEvent("platform_history_lost")
        .Add("era", history_.Position().era)
        .Add("era_now", read.era)
        .Add("revision", history_.Position().revision);
    if (read.outcome == read_outcome::done) OnEra(read.era);
    ReadAllAgain();
    return;
  }
  const read_context context{"platform", read.Position(), last_contact_,
                             history_.Position()};
  const auto known_at = KnownAt(read);
  OnContact(read.Position(), known_at);
  retry_delay_ = options_.initial_retry_delay;
  may_read_all_at_once_ = true;
  EraseKnown(read.changes);
  change_batch batch;
  const catalog_position known_before = history_.Position();
  history_.OnRange(known_before.revision, read.revision, known_at);
  batch.after = known_before.revision;
  batch.revision = std::max(known_before.revision, read.revision);
  batch.age = core::ToMilliseconds(loop_.Now() - known_at);
  batch.era = known_before.era;
  DetectMassRemoval(read.changes, known_before);
  for (published_change& change : read.changes) {
    const bool is_news = IsNewsToOthers(change);
    const bool is_altered = ApplyOne(change, context);
    if ((is_news || is_altered) && !change.document.empty()) {
      batch.documents.push_back({change.revision, std::move(change.document)});
    }
  }
  Report(std::move(batch));
  ReadWhenDue();
}

void catalog_follower::Report(change_batch batch) {
  batch.last_outage = OutageToReport();
  batch.sent_at = core::ToMilliseconds(loop_.Now().time_since_epoch());
  listener_.OnLocalRead(batch);
}

void catalog_follower::ReadEndpointsWhenDue() {
  // While the platform does not answer, further calls would add to its load.
  if (!complete_ || !connected_ || needs_all_ || reading_endpoints_) return;
  const auto now = loop_.Now();
  if (now < schedule_.NextEndpointRead()) return;
  reading_endpoints_ = true;
  source_.ReadEndpointChanges({.after_revision = history_.Position().revision,
                               .timeout = FullTimeout(),
                               .maximum_bytes = kMinimumChangeBytes},
                              [this, now, alive = alive_](catalog_read read) {
                                if (!*alive) return;
                                reading_endpoints_ = false;
                                OnEndpointChanges(std::move(read), now);
                              });
}

void catalog_follower::OnEndpointChanges(catalog_read read,
                                         core::time_point began) {
  schedule_.OnEndpointsRead(began);
  if (read.outcome != read_outcome::done) {
    // The reads of all changes decide whether the platform is lost.
    LogFailure("read_endpoints", read);
    return;
  }
  LogDefect("read_endpoints", read);
  if (read.era == 0) read.era = history_.Position().era;
  if (read.era != history_.Position().era || read.era < latest_era_) return;
  EraseKnown(read.changes);
  DetectMassRemoval(read.changes, history_.Position());
  // As after a gap: in force at once, while the position stays.
  std::vector<change_document> ignored;
  Apply(std::move(read.changes),
        {"platform", read.Position(), last_contact_, history_.Position()},
        ignored);
}

void catalog_follower::EraseKnown(
    std::vector<published_change>& changes) const {
  std::erase_if(changes, [this](const published_change& change) {
    return change.revision > 0 &&
           change.revision <= history_.Position().revision;
  });
}

bool catalog_follower::OnEra(std::int64_t era) {
  if (era <= latest_era_) return false;
  latest_era_ = era;
  if (complete_) needs_all_ = true;
  return true;
}

void catalog_follower::ReadAllAgain() {
  needs_all_ = true;
  if (std::exchange(may_read_all_at_once_, false)) {
    ReadAll();
  } else {
    RetryLater();
  }
}

void catalog_follower::OnStaleAnswer(const char* call,
                                     const catalog_read& read) {
  const auto now = loop_.Now();
  if (now - stale_logged_at_ >= kAnswerLogPeriod) {
    stale_logged_at_ = now;
    log_.SystemEvent("stale_answer")
        .Add("call", call)
        .Add("era", read.era)
        .Add("latest_era", latest_era_)
        .Add("revision", read.revision)
        .Add("known", history_.Position().revision);
  }
  // Changes received from another process have overtaken the read.
  if (read.era == latest_era_) needs_all_ = false;
  RetryLater();
}

void catalog_follower::LogDefect(const char* call, const catalog_read& read) {
  const auto now = loop_.Now();
  if (read.error.empty() || now - defect_logged_at_ < kAnswerLogPeriod) return;
  defect_logged_at_ = now;
  log_.SystemEvent("answer_defect").Add("call", call).Add("reason", read.error);
}

std::optional<reported_outage> catalog_follower::OutageToReport() const {
  const auto& last = outages_.Last();
  // The era of a report is that of its batch.
  if (!last || last->position.era != history_.Position().era)
    return std::nullopt;
  return outages_.ToReport(kOutageReportPeriod, loop_.Now());
}

/**
 * Reads if a read is due, else schedules it. Confirmations that arrive until
 * then postpone the read.
 */
void catalog_follower::ReadWhenDue() {
  loop_.Cancel(std::exchange(read_timer_, 0));
  const auto left = schedule_.NextRead() - loop_.Now();
  if (left.count() <= 0) {
    if (needs_all_) {
      ReadAll();
    } else {
      ReadChanges();
    }
    return;
  }
  read_timer_ = loop_.Schedule(std::chrono::ceil<core::milliseconds>(left),
                               [this] { ReadWhenDue(); });
}

/**
 * The response may have been on its way for as long as the read has taken. Only
 * one without changes was sent at the end of the wait.
 */
core::time_point catalog_follower::KnownAt(const catalog_read& read) const {
  const auto wait_ended = read_began_ + read_wait_;
  const bool is_empty = read.changes.empty() && read.ignored_items == 0;
  return is_empty && loop_.Now() >= wait_ended ? wait_ended : read_began_;
}

void catalog_follower::OnContact(const catalog_position& position,
                                 core::time_point known_at) {
  const auto now = loop_.Now();
  if (!connected_) {
    const auto away = core::ToMilliseconds(now - last_contact_);
    log_.Dependency("platform", "regained").Add("away_ms", away.count());
    // Other processes may have read in the meantime.
    const auto failing_since = std::max(failing_since_, last_contact_);
    if (outages_.OnReconnected(failing_since, position, now)) {
      LogOutage("platform");
    }
    connected_ = true;
  }
  last_contact_ = std::max(last_contact_, known_at);
  schedule_.OnRead(known_at);
}

void catalog_follower::OnFailure(const char* call, const catalog_read& read) {
  // Only data shows that an era has begun.
  if (complete_ && read.era > latest_era_) needs_all_ = true;
  if (connected_) {
    connected_ = false;
    failing_since_ = loop_.Now();
    log_.Dependency("platform", "lost")
        .Add("call", call)
        .Add("reason", read.error)
        .Add("revision", history_.Position().revision);
  }
  LogFailure(call, read);
  RetryLater();
}

void catalog_follower::LogFailure(const char* call, const catalog_read& read) {
  ++statistics_.failed_reads;
  statistics_.discarded_bytes += read.received_bytes;
  if (!IsDue(failure_, read.received_bytes)) return;
  log_.SystemEvent("catalog_read_failed")
      .Add("call", call)
      .Add("reason", read.error)
      .Add("revision", history_.Position().revision)
      .Add("reads", failure_.count)
      .Add("bytes", failure_.bytes)
      .Add("catalog_age_ms", Age().count());
  failure_ = {.logged_at = loop_.Now()};
}

void catalog_follower::LogGap(const change_batch& batch) {
  ++statistics_.batches_after_gap;
  if (!IsDue(gap_, 0)) return;
  log_.SystemEvent("catalog_gap")
      .Add("known", history_.Position().revision)
      .Add("after", batch.after)
      .Add("revision", batch.revision)
      .Add("documents", batch.documents.size())
      .Add("batches", gap_.count)
      .Add("catalog_age_ms", Age().count());
  gap_ = {.logged_at = loop_.Now()};
}

void catalog_follower::LogSlowRead(const char* call, const catalog_read& read) {
  const auto duration = core::ToMilliseconds(loop_.Now() - read_began_);
  if (duration - read_wait_ < options_.change_bound / kUnloggedReadsPerBound) {
    return;
  }
  log_.SystemEvent("catalog_read_slow")
      .Add("call", call)
      .Add("read_ms", duration.count())
      .Add("wait_ms", read_wait_.count())
      .Add("bytes", read.received_bytes)
      .Add("known", history_.Position().revision)
      .Add("revision", read.revision)
      .Add("catalog_age_ms", Age().count());
}

void catalog_follower::LogPendingRead() {
  const auto now = loop_.Now();
  if (!reading_all_ || now - read_began_ < options_.change_bound ||
      now - pending_logged_at_ < kAnswerLogPeriod) {
    return;
  }
  pending_logged_at_ = now;
  log_.SystemEvent("catalog_read_pending")
      .Add("read_ms", core::ToMilliseconds(now - read_began_).count())
      .Add("known", history_.Position().revision)
      .Add("catalog_age_ms", Age().count());
}

void catalog_follower::LogListing(const catalog_read& read,
                                  const listing& listed,
                                  const endpoint_table::changes& changes) {
  log_.SystemEvent("catalog_listed")
      .Add("revision", read.revision)
      .Add("pages", read.pages)
      .Add("bytes", read.received_bytes)
      .Add("items", listed.items)
      .Add("endpoints", listed.endpoints)
      .Add("unreadable", listed.unreadable)
      .Add("endpoints_lost", CountLost(changes));
}

bool catalog_follower::IsDue(recurring_event& event, std::size_t bytes) {
  ++event.count;
  event.bytes += static_cast<std::int64_t>(bytes);
  return loop_.Now() - event.logged_at >= kAnswerLogPeriod;
}

void catalog_follower::RetryLater() {
  // Jitter spreads the retries of all processes.
  const double spread = 0.5 + random_.NextUnit();
  const core::milliseconds delay(static_cast<std::int64_t>(
      spread * static_cast<double>(retry_delay_.count())));
  // A process that is not a reader is informed of the recovery by the others.
  const auto longest = complete_ && !schedule_.IsReader()
                           ? schedule_.ConfirmationLimit()
                           : options_.maximum_retry_delay;
  retry_delay_ = std::min(retry_delay_ * 2, longest);
  loop_.Cancel(read_timer_);
  is_retry_ = true;
  read_timer_ = loop_.Schedule(delay, [this] {
    read_timer_ = 0;
    is_retry_ = false;
    if (complete_ && !needs_all_) {
      ReadWhenDue();
    } else {
      ReadAll();
    }
  });
}

void catalog_follower::DetectMassRemoval(
    const std::vector<published_change>& changes,
    const catalog_position& known_before) {
  // What another way has brought before does not count again.
  const auto removed =
      std::count_if(changes.begin(), changes.end(), [this](const auto& change) {
        const auto* gone = std::get_if<endpoint_removed>(&change.content);
        return gone != nullptr && endpoints_.IsKnown(gone->instance);
      });
  if (removed < 2 || static_cast<std::size_t>(removed) * kMassRemovalShare <=
                         endpoints_.Size()) {
    return;
  }
  log_.SystemEvent("mass_removal")
      .Add("removed", static_cast<std::int64_t>(removed))
      .Add("known", static_cast<std::int64_t>(endpoints_.Size()));
  if (outages_.OnMassRemoval(known_before, options_.reregistration_time,
                             loop_.Now())) {
    LogOutage("mass_removal");
  }
}

void catalog_follower::LogOutage(const char* origin) {
  const outage_record::outage& last = *outages_.Last();
  log_.SystemEvent("platform_outage_ended")
      .Add("origin", origin)
      .Add("era", last.position.era)
      .Add("revision", last.position.revision)
      .Add("lasted_ms", core::ToMilliseconds(last.ended - last.began).count())
      .Add("ended_ms", core::ToMilliseconds(loop_.Now() - last.ended).count());
}

// Views.

void catalog_follower::Apply(std::vector<published_change> changes,
                             const read_context& read,
                             std::vector<change_document>& applied) {
  for (published_change& change : changes) {
    if (ApplyOne(change, read) && !change.document.empty()) {
      applied.push_back({change.revision, std::move(change.document)});
    }
  }
}

/**
 * A process that has read an older copy of the platform may need a change that
 * alters nothing here. Heartbeats are news only as the first sign of an
 * endpoint in a new era.
 */
bool catalog_follower::IsNewsToOthers(const published_change& change) {
  return std::visit(
      core::overloaded{[](const configuration&) { return true; },
                       [](const adapter_version_announced&) { return true; },
                       [this](const endpoint_record& record) {
                         return unrelayed_.erase(record.instance) > 0;
                       },
                       [this](const endpoint_removed& removed) {
                         unrelayed_.erase(removed.instance);
                         return true;
                       },
                       [](const unreadable_entry&) { return false; }},
      change.content);
}

bool catalog_follower::ApplyOne(published_change& change,
                                const read_context& read) {
  const auto position = PositionOf(change, read.position);
  return std::visit(
      core::overloaded{
          [&](configuration& content) {
            return ApplyConfiguration(std::move(content), read.origin);
          },
          [&](const endpoint_record& record) {
            return Publish(
                endpoints_.OnRecord({record, position}, loop_.Now()));
          },
          [&](const endpoint_removed& removed) {
            return Publish(endpoints_.OnRemoved(
                removed.instance, GraceFor(position, read), loop_.Now()));
          },
          [&](const adapter_version_announced& announced) {
            std::int64_t& known = versions_[announced.adapter];
            if (announced.version <= known) return false;
            log_.SystemEvent("adapter_version")
                .Add("adapter", announced.adapter.adapter.Value())
                .Add("model", announced.adapter.model.Value())
                .Add("from", known)
                .Add("to", announced.version)
                .Add("origin", read.origin);
            known = announced.version;
            return true;
          },
          [&](const unreadable_entry& entry) {
            log_.SystemEvent("entry_unreadable")
                .Add("key", entry.key)
                .Add("reason", entry.reason);
            return false;
          }},
      change.content);
}

bool catalog_follower::ApplyConfiguration(configuration content,
                                          const char* origin) {
  const std::int64_t current = routes_ ? routes_->Version() : 0;
  if (content.version <= current) {
    if (content.version < current) {
      log_.SystemEvent("configuration_ignored")
          .Add("version", content.version)
          .Add("in_force", current)
          .Add("origin", origin);
    }
    return false;
  }
  log_.SystemEvent("configuration_adopted")
      .Add("version", content.version)
      .Add("before", current)
      .Add("routes", static_cast<std::int64_t>(content.routes.size()))
      .Add("origin", origin)
      .Add("catalog_age_ms", Age().count());
  routes_ = std::make_shared<const route_table>(std::move(content));
  listener_.OnConfiguration(routes_);
  return true;
}

bool catalog_follower::Publish(const endpoint_table::changes& changes) {
  for (const endpoint_change& change : changes) {
    if (change.what != endpoint_change::kind::updated) {
      auto line = log_.SystemEvent("endpoint");
      line.Add("change", std::string(ToString(change.what)))
          .Add("instance", change.record.instance.Value())
          .Add("service", change.record.service.Value())
          .Add("address", change.record.address.ToString())
          .Add("era", history_.Position().era)
          .Add("revision", history_.Position().revision)
          .Add("catalog_age_ms", Age().count());
      if (const auto& last = outages_.Last()) {
        line.Add("outage_ended_ms",
                 core::ToMilliseconds(loop_.Now() - last->ended).count());
      }
      if (change.usable_for) {
        line.Add("usable_for_ms", change.usable_for->count());
      }
    }
    listener_.OnEndpoint(change);
  }
  return !changes.empty();
}

}  // namespace comfreyspring::catalog
