#include "telemetry/metrics.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace comfreyspring::telemetry {
namespace {

TEST(Metrics, WritesTextExposition) {
  metrics registry;
  registry.Count("requests_total{class=\"urgent\"}", 2);
  registry.SetGauge("links", 3);
  for (int i = 1; i <= 1000; ++i) registry.Observe("wait_ms", i);
  const std::string text = registry.ToText();
  EXPECT_NE(text.find("# TYPE requests_total counter\n"), std::string::npos);
  EXPECT_NE(text.find("requests_total{class=\"urgent\"} 2\n"),
            std::string::npos);
  EXPECT_NE(text.find("links 3\n"), std::string::npos);
  EXPECT_NE(text.find("wait_ms_count 1000\n"), std::string::npos);
}

// A name from outside must end neither its label nor its line.
TEST(Metrics, EscapesTheValueOfALabel) {
  metrics registry;
  registry.SetGauge(WithLabel("left", "service", "s\"} 1\nup 0\n\\"), 3);
  EXPECT_EQ(registry.ToText(),
            "# TYPE left gauge\n"
            "left{service=\"s\\\"} 1\\nup 0\\n\\\\\"} 3\n");
  EXPECT_EQ(WithLabel("wait_ms{class=\"urgent\"}", "le", "+Inf"),
            "wait_ms{class=\"urgent\",le=\"+Inf\"}");
}

// Guards against latencies being exported as quantiles, which cannot be
// aggregated over processes; histogram buckets can.
TEST(Metrics, WritesHistograms) {
  metrics registry;
  for (int i = 1; i <= 1000; ++i) {
    registry.Observe("wait_ms{class=\"urgent\"}", i);
  }
  registry.Observe("wait_ms{class=\"urgent\"}", 30000);
  const std::string text = registry.ToText();
  for (const std::string line :
       {"# TYPE wait_ms histogram\n",
        "wait_ms_bucket{class=\"urgent\",le=\"1\"} 1\n",
        "wait_ms_bucket{class=\"urgent\",le=\"50\"} 50\n",
        "wait_ms_bucket{class=\"urgent\",le=\"1000\"} 1000\n",
        "wait_ms_bucket{class=\"urgent\",le=\"20000\"} 1000\n",
        "wait_ms_bucket{class=\"urgent\",le=\"+Inf\"} 1001\n",
        "wait_ms_sum{class=\"urgent\"} 530500\n",
        "wait_ms_count{class=\"urgent\"} 1001\n"}) {
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
  }
}

// Guards against state dumps that show the quantile of another probability.
TEST(Metrics, EstimatesQuantiles) {
  metrics registry;
  for (int i = 0; i < 10000; ++i)
    registry.Observe("wait_ms", (i * 7919) % 1000);
  const nlohmann::json dump = registry.ToJson();
  EXPECT_NEAR(dump["wait_ms"]["p50_ms"].get<double>(), 500, 25);
  EXPECT_NEAR(dump["wait_ms"]["p95_ms"].get<double>(), 950, 25);
  EXPECT_NEAR(dump["wait_ms"]["p99_ms"].get<double>(), 990, 25);
}

TEST(ProcessUsage, ReadsMemory) {
  EXPECT_GT(ReadProcessUsage().resident_bytes, 0);
}

}  // namespace
}  // namespace comfreyspring::telemetry
