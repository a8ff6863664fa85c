#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "core/types.h"

namespace comfreyspring::bench {

/** Results for one priority class. */
struct class_result {
  std::uint64_t submitted = 0;
  std::uint64_t completed = 0;
  std::uint64_t within_deadline = 0;
  /** Failed without having run; the client may retry. */
  std::uint64_t refused = 0;
  /** Failed in any other way, or still open at the end of the run. */
  std::uint64_t lost = 0;
  std::vector<double> latencies_ms;
  std::vector<double> first_chunk_ms;
  /** Latencies of requests submitted in the observed period. */
  std::vector<double> observed_ms;
  double longest_ms = 0.0;
};

/** Results of one run. */
struct run_result {
  std::string name;
  class_result urgent;
  class_result may_wait;
  double seconds = 0.0;
  /** Time of the last arrival. */
  double arrival_seconds = 0.0;
  std::uint64_t loads = 0;
  std::uint64_t load_stalls = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t preempted = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  /** Mean share of batch slots in use on engines with work. */
  double batch_fill = 0.0;
  /** Completed requests per second from 5 s to 20 s of the run. */
  double throughput = 0.0;
  std::map<std::string, std::uint64_t> failures;
};

/** @param share in [0, 1]. @returns 0 without samples. */
double Quantile(std::vector<double> samples, double share);

void PrintHeader();
void Print(const run_result& result);

}  // namespace comfreyspring::bench
