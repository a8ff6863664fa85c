#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "bench/load/load_run.h"
#include "net/http_server.h"

namespace comfreyspring::bench {
namespace {

TEST(Zipf, PrefersLowRanksAndStaysInRange) {
  const zipf_distribution zipf(50, 1.0);
  core::random_source random(7);
  std::vector<int> counts(50, 0);
  for (int i = 0; i < 20000; ++i) ++counts.at(zipf.Next(random));
  EXPECT_GT(counts[0], counts[9] * 5);
  EXPECT_GT(counts[49], 0);
}

TEST(Percentile, UsesTheNearestRank) {
  std::vector<double> values;
  for (int i = 1; i <= 100; ++i) values.push_back(i);
  EXPECT_EQ(Percentile(values, 0.50), 50);
  EXPECT_EQ(Percentile(values, 0.99), 99);
  EXPECT_EQ(Percentile({7}, 0.95), 7);
  EXPECT_EQ(Percentile({}, 0.95), 0);
}

class load_run_test : public ::testing::Test {
 protected:
  void Serve(net::http_server::handler handler) {
    server_ = std::make_unique<net::http_server>(
        loop_, net::http_server_options{}, std::move(handler));
    options_.url =
        net::url::Parse("http://127.0.0.1:" + std::to_string(server_->Port()));
  }
  nlohmann::json Run() {
    load_run run(loop_, client_, options_);
    run.Run();
    unfinished_ = run.Unfinished();
    return run.Summary().ToJson(run.Elapsed());
  }

  net::event_loop loop_;
  net::http_client client_{loop_};
  std::unique_ptr<net::http_server> server_;
  load_options options_;
  std::size_t unfinished_ = 0;
};

TEST_F(load_run_test, CountsSuccessesAndErrorsByStatus) {
  std::map<std::string, int> models;
  int served = 0;
  Serve([&](const std::shared_ptr<net::http_exchange>& exchange) {
    const auto body = nlohmann::json::parse(exchange->Request().body);
    ++models[body["model"].get<std::string>()];
    exchange->Respond({++served % 10 == 0 ? 429 : 200, {}, "{}"});
  });
  options_.requests = 100;
  options_.adapters = 5;
  const nlohmann::json result = Run();
  EXPECT_EQ(result["requests"], 100);
  EXPECT_EQ(result["succeeded"], 90);
  EXPECT_EQ(result["errors_by_status"]["429"], 10);
  EXPECT_GT(result["total_p99_ms"], 0);
  EXPECT_EQ(unfinished_, 0U);
  EXPECT_EQ(models.begin()->first, "adapter-0000");
  EXPECT_LE(models.size(), 5U);
}

// A truncated stream with status 200 must not count as a success.
TEST_F(load_run_test, CountsStreamsWithoutAnEndAsErrors) {
  int served = 0;
  Serve([&](const std::shared_ptr<net::http_exchange>& exchange) {
    exchange->BeginStream(200, {});
    exchange->Write("data: {}\n\n");
    if (++served % 2 == 0) exchange->Write("data: [DONE]\n\n");
    exchange->EndStream();
  });
  options_.requests = 20;
  options_.concurrency = 1;
  options_.stream = true;
  const nlohmann::json result = Run();
  EXPECT_EQ(result["succeeded"], 10);
  EXPECT_EQ(result["errors_by_status"]["incomplete_stream"], 10);
}

// An entry that never answers must not extend the run past its time limit.
TEST_F(load_run_test, EndsAtItsTimeLimit) {
  std::vector<std::shared_ptr<net::http_exchange>> unanswered;
  Serve([&](const std::shared_ptr<net::http_exchange>& exchange) {
    unanswered.push_back(exchange);
  });
  options_.requests = 10;
  options_.concurrency = 4;
  options_.time_limit = core::seconds(1);
  Run();
  EXPECT_EQ(unfinished_, 10U);
}

}  // namespace
}  // namespace comfreyspring::bench
