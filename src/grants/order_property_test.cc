#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "grants/grant_scheduler.h"

namespace comfreyspring::grants {
namespace {

using core::milliseconds;

constexpr std::size_t kPlaces = 4;
constexpr int kAdapters = 12;
constexpr milliseconds kStep{10};
constexpr milliseconds kTroubleEnds{20'000};
constexpr milliseconds kRecoveryLimit{5'000};
constexpr milliseconds kOrderTimeout{1000};
constexpr milliseconds kReportTimeout{400};
constexpr milliseconds kLoadTime{100};

catalog::adapter_name Name(int adapter) {
  return {core::model_id("m"), core::adapter_id("a" + std::to_string(adapter))};
}

/** Which rules the engine enforces and what goes wrong. */
struct trouble {
  bool checks_expect = true;
  bool silences = false;
  bool loses_answers = false;
  bool copies_reports = false;
  bool refuses = false;
  bool restarts_engine = false;
  bool restarts_sidecar = false;
};

/**
 * One engine, one sidecar and the connections between them. Orders travel on
 * connections of their own, so they arrive in any order; an order that was
 * given up may still arrive. A silent engine handles what has arrived when it
 * goes on.
 */
class engine_and_sidecar {
 public:
  engine_and_sidecar(const trouble& what, std::uint32_t seed)
      : what_(what), chance_(seed) {
    StartSidecar();
  }

  void Run() {
    while (now_ < start_ + kTroubleEnds + kRecoveryLimit) {
      now_ += kStep;
      has_trouble_ = now_ < start_ + kTroubleEnds;
      if (has_trouble_) MakeTrouble();
      HandleEvents();
      Demand();
      ReadState();
      Apply(scheduler_->OnTick(now_));
      most_held_ = std::max(most_held_, held_.size());
    }
  }

  std::size_t MostHeld() const { return most_held_; }
  /** Adapters asked for after the trouble that were never granted. */
  std::size_t Unserved() const { return late_demand_.size(); }

 private:
  int Draw(int most) { return std::uniform_int_distribution(0, most)(chance_); }
  bool Happens(int percent) { return Draw(99) < percent; }
  bool IsSilent() const { return now_ < silent_until_; }

  void MakeTrouble() {
    const bool can_end = now_ + milliseconds(2000) < start_ + kTroubleEnds;
    if (what_.silences && can_end && !IsSilent() && Draw(300) == 0) {
      silent_until_ = now_ + milliseconds(800 + Draw(1200));
    }
    if (what_.restarts_engine && Draw(800) == 0) {
      ++born_;
      orders_accepted_ = 0;
      fence_ = 0;
      held_.clear();
      // The connections end with the process.
      std::erase_if(events_, [](const auto& each) {
        return each.second.ends_with_engine;
      });
    }
    if (what_.restarts_sidecar && Draw(400) == 0) StartSidecar();
  }

  void StartSidecar() {
    ++sidecar_;
    scheduler_ = std::make_unique<grant_scheduler>(grant_options{});
    scheduler_->SetConfig({.batch_slots = 64,
                           .adapter_slots = kPlaces,
                           .models = {core::model_id("m")}});
    reads_ = false;
    waiting_.clear();
  }

  // Events.

  struct event {
    std::function<void()> handle;
    /** The engine handles it, so a silence delays it. */
    bool at_engine = false;
    bool ends_with_engine = false;
  };

  void At(core::time_point time, event what) {
    events_.emplace(time, std::move(what));
  }

  void HandleEvents() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      auto next = events_.extract(events_.begin());
      if (next.mapped().at_engine && IsSilent()) {
        At(silent_until_ + milliseconds(Draw(100)), std::move(next.mapped()));
        continue;
      }
      next.mapped().handle();
    }
  }

  // Demand.

  void Demand() {
    if (!Happens(20)) return;
    // After the trouble there is room for all adapters in demand.
    const int adapter =
        Draw(has_trouble_ ? kAdapters - 1 : static_cast<int>(kPlaces) - 1);
    const request_key key{1, ++last_request_};
    waiting_[key] = adapter;
    if (!has_trouble_ && now_ < start_ + kTroubleEnds + kRecoveryLimit / 2) {
      late_demand_.insert(adapter);
    }
    Apply(scheduler_->OnRequest({.key = key,
                                 .adapter = Name(adapter),
                                 .prompt_tokens = 10,
                                 .output_tokens = 10,
                                 .first_output_due = now_ + milliseconds(600),
                                 .deadline = now_ + milliseconds(2000),
                                 // Places are kept for refused callers.
                                 .maximum_retry_after = milliseconds(300)},
                                now_));
  }

  void Apply(const grant_scheduler::actions& actions) {
    for (const grant_action& action : actions) {
      if (const auto* given = std::get_if<grant>(&action)) {
        const auto found = waiting_.find(given->key);
        if (found != waiting_.end()) late_demand_.erase(found->second);
        const auto key = given->key;
        const int sidecar = sidecar_;
        At(now_ + milliseconds(20), {[this, key, sidecar] {
             if (sidecar != sidecar_) return;
             Apply(scheduler_->OnStarted(key, now_));
             Apply(scheduler_->OnEnded(key, false, now_));
           }});
      } else if (const auto* order = std::get_if<engine_order>(&action)) {
        Send(*order);
      }
    }
  }

  // Orders.

  void Send(const engine_order& order) {
    const auto answered = std::make_shared<bool>(false);
    const int sidecar = sidecar_;
    const auto end = [this, order, answered, sidecar](order_result result) {
      if (std::exchange(*answered, true) || sidecar != sidecar_) return;
      Apply(scheduler_->OnOrderEnded(order, result, now_));
    };
    At(now_ + kOrderTimeout, {[end] { end(order_result::unknown); }});
    const bool loses_answer =
        has_trouble_ && what_.loses_answers && Happens(10);
    At(now_ + milliseconds(Draw(30)),
       {[this, order, end, loses_answer, sidecar] {
          const auto result = HandleOrder(order, sidecar);
          if (loses_answer) return;
          At(now_ + milliseconds(Draw(20)), {[end, result] { end(result); }});
        },
        true, true});
  }

  order_result HandleOrder(const engine_order& order, int fence) {
    if (has_trouble_ && what_.refuses && Happens(20)) {
      return order_result::conflict;
    }
    if (fence < fence_) return order_result::stale_fencing;
    fence_ = fence;
    if (what_.checks_expect && order.orders_before != orders_accepted_) {
      return order_result::conflict;
    }
    if (order.what == engine_order::kind::unload) {
      if (held_.erase(order.subject) > 0) ++orders_accepted_;
      return order_result::done;
    }
    if (held_.count(order.subject) > 0) return order_result::done;
    ++orders_accepted_;
    held_[order.subject] = now_ + kLoadTime;
    return order_result::accepted;
  }

  // Reports.

  void ReadState() {
    if (reads_ || now_ < next_read_) return;
    reads_ = true;
    const auto requested_at = now_;
    const int sidecar = sidecar_;
    const auto is_done = std::make_shared<bool>(false);
    const auto end = [this, is_done, sidecar] {
      if (std::exchange(*is_done, true) || sidecar != sidecar_) return false;
      reads_ = false;
      next_read_ = now_ + milliseconds(30);
      return true;
    };
    At(now_ + kReportTimeout, {end});
    At(now_ + kStep, {[this, end, requested_at] {
                        const auto report = Report();
                        const bool is_copy = has_trouble_ &&
                                             what_.copies_reports && last_ &&
                                             !was_copy_ && Happens(10);
                        was_copy_ = is_copy;
                        const auto shown = is_copy ? *last_ : report;
                        last_ = report;
                        if (end()) {
                          Apply(scheduler_->OnState(shown, requested_at, now_));
                        }
                      },
                      true, true});
  }

  engine_state Report() const {
    engine_state state;
    state.started_unix_ms = born_;
    state.orders_accepted = orders_accepted_;
    state.models.push_back({core::model_id("m"), {}});
    for (const auto& [name, loaded_at] : held_) {
      if (loaded_at <= now_) {
        state.models[0].adapters.push_back({name.adapter, 1});
      } else {
        state.loading.push_back(name);
      }
    }
    return state;
  }

  trouble what_;
  std::mt19937 chance_;
  const core::time_point start_{std::chrono::seconds(100)};
  core::time_point now_ = start_;
  bool has_trouble_ = true;
  std::multimap<core::time_point, event> events_;

  // The engine.
  std::int64_t born_ = 1;
  std::int64_t orders_accepted_ = 0;
  int fence_ = 0;
  core::time_point silent_until_;
  /** With the time at which they are loaded. */
  std::map<catalog::adapter_name, core::time_point> held_;
  std::size_t most_held_ = 0;

  // The sidecar.
  std::unique_ptr<grant_scheduler> scheduler_;
  int sidecar_ = 0;
  bool reads_ = false;
  core::time_point next_read_;
  std::optional<engine_state> last_;
  bool was_copy_ = false;
  std::uint64_t last_request_ = 0;
  std::map<request_key, int> waiting_;
  std::set<int> late_demand_;
};

// Guards against engines that are ordered to load more than they have room for
// because of what the sidecar assumes of an order without an answer.
RC_GTEST_PROP(order_property_test, NeverExceedsThePlacesAndRecovers, ()) {
  const auto flag = [] { return *rc::gen::arbitrary<bool>(); };
  trouble what{.checks_expect = flag(),
               .silences = flag(),
               .loses_answers = flag(),
               .copies_reports = flag(),
               .refuses = flag(),
               .restarts_engine = flag()};
  // Nothing but Expect tells an engine that an order rests on a report from
  // before the last order of the predecessor.
  what.restarts_sidecar = what.checks_expect && flag();
  engine_and_sidecar run(what, *rc::gen::arbitrary<std::uint32_t>());
  run.Run();
  RC_ASSERT(run.MostHeld() <= kPlaces);
  RC_ASSERT(run.Unserved() == 0U);
}

}  // namespace
}  // namespace comfreyspring::grants
