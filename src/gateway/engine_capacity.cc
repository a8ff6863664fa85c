#include "gateway/engine_capacity.h"

#include <algorithm>
#include <cmath>

#include "grants/engine_speed.h"

namespace comfreyspring::gateway {
namespace {

/**
 * Token times within this factor of the median count as equal. Engines whose
 * speeds differ by up to 40% are to be served as if they were equal, and
 * measured times differ by more than speeds: prompts slow down a slow engine
 * more, and some noise remains. With 1.4, engines that differ by a factor of
 * 1.3 were told apart in 4 of 6 replays; with this value in none.
 */
constexpr double kDeadBand = 1.6;
constexpr double kMaximumFactor = 2.5;
/** Steps per unit to which factors are rounded. */
constexpr double kStepsPerUnit = 2.0;

double RoundFactor(double factor) {
  return std::min(kMaximumFactor,
                  std::round(factor * kStepsPerUnit) / kStepsPerUnit);
}

double RelativeSpeed(double median, double token_time) {
  if (token_time <= 0.0) return 1.0;
  const double speed = median / token_time;
  if (speed > kDeadBand) return RoundFactor(speed);
  if (speed < 1.0 / kDeadBand) return 1.0 / RoundFactor(1.0 / speed);
  return 1.0;
}

}  // namespace

std::vector<double> RelativeSpeeds(
    const std::vector<core::microseconds>& token_times) {
  std::vector<double> known;
  for (const auto time : token_times) {
    if (time.count() > 0) known.push_back(static_cast<double>(time.count()));
  }
  std::vector<double> speeds(token_times.size(), 1.0);
  // The median of a few engines says little about the others.
  if (known.empty() || 2 * known.size() < speeds.size()) return speeds;
  const auto middle =
      known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::nth_element(known.begin(), middle, known.end());
  for (std::size_t i = 0; i < speeds.size(); ++i) {
    speeds[i] =
        RelativeSpeed(*middle, static_cast<double>(token_times[i].count()));
  }
  return speeds;
}

bool MayFinish(core::milliseconds expected, core::milliseconds due_in) {
  return grants::kCertainShare * static_cast<double>(expected.count()) <=
         static_cast<double>(due_in.count());
}

engine_capacity::engine_capacity(const grants::engine_status& status,
                                 std::size_t batch_slots, std::size_t more,
                                 double relative_speed)
    : status_(status),
      slots_(static_cast<double>(std::max<std::size_t>(1, batch_slots))),
      more_(more),
      speed_(relative_speed) {}

double engine_capacity::BatchLoad() const {
  return static_cast<double>(status_.running + status_.waiting + more_) /
         slots_;
}

double engine_capacity::Load() const {
  const double load =
      grants::LoadOf(status_, static_cast<std::size_t>(slots_), more_);
  if (speed_ == 1.0) return load;
  const double batch = BatchLoad();
  const double scaled = batch <= kFullLoad
                            ? std::min(batch / speed_, kFullLoad)
                            : kFullLoad + (batch - kFullLoad) / speed_;
  return scaled + (load - batch);
}

double engine_capacity::SidecarBound(double bound) const {
  if (speed_ == 1.0) return bound;
  const double waits =
      grants::LoadOf(status_, static_cast<std::size_t>(slots_), more_) -
      BatchLoad();
  const double batch_bound = bound - waits;
  const double batch = batch_bound >= kFullLoad
                           ? kFullLoad
                           : std::min(batch_bound * speed_, kFullLoad);
  // A bound of 0 would mean that there is none.
  return std::max(batch + waits, 1.0 / slots_);
}

std::optional<core::milliseconds> engine_capacity::ShortestFinishIn(
    const answer_size& size) const {
  if (status_.token_time.count() <= 0 || size.output_tokens <= 0) {
    return std::nullopt;
  }
  const double prefill_ms =
      status_.prefill_rate > 0.0
          ? static_cast<double>(size.prompt_tokens) / status_.prefill_rate
          : 0.0;
  return core::milliseconds(std::llround(prefill_ms)) +
         core::ToMilliseconds(status_.token_time * size.output_tokens);
}

std::optional<core::milliseconds> engine_capacity::FinishIn(
    const answer_size& size) const {
  const auto shortest = ShortestFinishIn(size);
  if (!shortest) return std::nullopt;
  const double queued = std::max(0.0, BatchLoad() + 1.0 / slots_ - 1.0);
  const double turn =
      static_cast<double>(status_.token_time.count() * size.output_tokens) /
      1e3;
  return *shortest + status_.prefill_wait +
         core::milliseconds(std::llround(queued * turn));
}

double HomeScore(std::uint64_t weight, double relative_speed) {
  // 52 bits, so that the fraction is below 1 after rounding.
  constexpr int kDroppedBits = 12;
  const double fraction =
      (static_cast<double>(weight >> kDroppedBits) + 0.5) * 0x1p-52;
  return -relative_speed / std::log(fraction);
}

}  // namespace comfreyspring::gateway
