#include "config/reader_selection.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "core/hash.h"

namespace comfreyspring::config {

std::vector<core::process_id> SelectReaders(
    const core::data_centre_id& data_centre,
    std::vector<core::process_id> entries) {
  std::sort(entries.begin(), entries.end());
  entries.erase(std::unique(entries.begin(), entries.end()), entries.end());
  const auto weight = [&data_centre](const core::process_id& entry) {
    return core::RendezvousWeight(data_centre.Value(), entry.Value());
  };
  std::stable_sort(
      entries.begin(), entries.end(),
      [&weight](const core::process_id& left, const core::process_id& right) {
        return weight(left) > weight(right);
      });
  entries.resize(std::min(entries.size(), kReadersPerDataCentre));
  return entries;
}

reader_selection::reader_selection(core::process_id self,
                                   core::data_centre_id data_centre,
                                   core::random_source random)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      random_(random) {
  assert(!self_.empty());
  OnLiveEntries({});
}

void reader_selection::OnLiveEntries(std::vector<core::process_id> entries) {
  entries.push_back(self_);
  const auto readers = SelectReaders(data_centre_, std::move(entries));
  is_watcher_ =
      std::find(readers.begin(), readers.end(), self_) != readers.end();
}

void reader_selection::OnConfirmation(core::time_point now) {
  ScheduleFallback(now, kConfirmationLimit);
}

void reader_selection::OnReadFailed(core::time_point now) {
  ScheduleFallback(now, kFallbackJitter);
}

bool reader_selection::IsWatcher() const { return is_watcher_; }

bool reader_selection::ShouldRead(core::time_point now) {
  if (!fallback_at_) ScheduleFallback(now, kConfirmationLimit);
  return IsWatcher() || now >= *fallback_at_;
}

void reader_selection::ScheduleFallback(core::time_point now,
                                        core::milliseconds delay) {
  const auto jitter_ms =
      static_cast<std::uint64_t>(core::ToMilliseconds(kFallbackJitter).count());
  fallback_at_ = now + delay +
                 core::milliseconds(
                     static_cast<std::int64_t>(random_.NextBelow(jitter_ms)));
}

}  // namespace comfreyspring::config
