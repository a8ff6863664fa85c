#include "bench/fleet/measurements.h"

#include <algorithm>
#include <cstdio>

namespace comfreyspring::bench {
namespace {

double Percent(std::uint64_t part, std::uint64_t whole) {
  return whole == 0
             ? 0.0
             : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

unsigned long long ToUnsignedLongLong(std::uint64_t value) { return value; }

}  // namespace

double Quantile(std::vector<double> samples, double share) {
  if (samples.empty()) return 0.0;
  const auto position = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(samples.size() - 1) + 0.5);
  std::nth_element(samples.begin(), samples.begin() + position, samples.end());
  return samples[static_cast<std::size_t>(position)];
}

void PrintHeader() {
  std::printf(
      "%-22s %6s %6s %6s %6s %8s %6s %7s %6s | %6s %7s %5s %9s | %7s %7s %5s "
      "%6s %6s\n",
      "", "urgent", "", "", "", "", "", "", "", "mayw.", "", "", "", "", "", "",
      "", "");
  std::printf(
      "%-22s %6s %6s %6s %6s %8s %6s %7s %6s | %6s %7s %5s %9s | %7s %7s %5s "
      "%6s %6s\n",
      "run", "p50ms", "p95ms", "p99ms", "ttft95", "in_time%", "good/s",
      "refused", "late", "done%", "refused", "lost", "longest_s", "loads/s",
      "stalls", "fill%", "hedges", "retry");
}

void Print(const run_result& result) {
  const class_result& urgent = result.urgent;
  const class_result& deferrable = result.may_wait;
  const auto good = static_cast<double>(urgent.within_deadline);
  std::printf(
      "%-22s %6.0f %6.0f %6.0f %6.0f %8.2f %6.1f %7llu %6llu | %6.1f %7llu "
      "%5llu %9.1f | %7.1f %7llu %5.1f %6llu %6llu\n",
      result.name.c_str(), Quantile(urgent.latencies_ms, 0.50),
      Quantile(urgent.latencies_ms, 0.95), Quantile(urgent.latencies_ms, 0.99),
      Quantile(urgent.first_chunk_ms, 0.95),
      Percent(urgent.within_deadline, urgent.submitted),
      good / result.arrival_seconds, ToUnsignedLongLong(urgent.refused),
      ToUnsignedLongLong(urgent.lost),
      Percent(deferrable.completed, deferrable.submitted),
      ToUnsignedLongLong(deferrable.refused),
      ToUnsignedLongLong(deferrable.lost), deferrable.longest_ms / 1000.0,
      static_cast<double>(result.loads) / result.seconds,
      ToUnsignedLongLong(result.load_stalls), 100.0 * result.batch_fill,
      ToUnsignedLongLong(result.hedges), ToUnsignedLongLong(result.retries));
  for (const auto& [reason, count] : result.failures) {
    std::printf("    %s: %llu\n", reason.c_str(), ToUnsignedLongLong(count));
  }
  std::fflush(stdout);
}

}  // namespace comfreyspring::bench
