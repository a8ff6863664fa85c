// Measures the time of one ChooseEngine call for several numbers of engines.
// Adapter popularity follows a Zipf law with exponent 1.2, and the engines are
// about half full. Prints one line per number of engines.

#include <chrono>
#include <cmath>
#include <cstdio>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/endpoint_choice.h"

namespace comfreyspring::gateway {
namespace {

constexpr int kAdapters = 28'000;
constexpr double kZipfExponent = 1.2;
constexpr std::size_t kBatchSlots = 12;
constexpr std::size_t kAdaptersPerEngine = 10;
constexpr int kChoicesPerSize = 2'000;

catalog::adapter_name Adapter(int number) {
  return {core::model_id("m"), core::adapter_id("a" + std::to_string(number))};
}

class adapter_popularity {
 public:
  adapter_popularity() {
    std::vector<double> weights;
    for (int i = 1; i <= kAdapters; ++i)
      weights.push_back(std::pow(i, -kZipfExponent));
    draw_ = std::discrete_distribution<int>(weights.begin(), weights.end());
  }
  catalog::adapter_name Draw(std::mt19937& random) {
    return Adapter(draw_(random) + 1);
  }

 private:
  std::discrete_distribution<int> draw_;
};

void Measure(std::size_t count) {
  std::mt19937 random(20261204);
  adapter_popularity adapters;
  std::vector<std::unique_ptr<endpoint_view>> engines;
  endpoint_views views;
  for (std::size_t i = 0; i < count; ++i) {
    auto view = std::make_unique<endpoint_view>();
    view->record.instance = catalog::instance_id("i-" + std::to_string(i));
    view->record.slots = kBatchSlots;
    view->has_sidecar = true;
    view->status.serving = true;
    view->status.batch_slots = kBatchSlots;
    view->status.running = random() % kBatchSlots;
    for (std::size_t k = 0; k < kAdaptersPerEngine; ++k) {
      view->adapters.insert(adapters.Draw(random));
    }
    views.push_back(view.get());
    engines.push_back(std::move(view));
  }
  const core::time_point now{std::chrono::seconds(100)};
  const std::set<catalog::instance_id> excluded;
  std::vector<catalog::adapter_name> requested;
  for (int i = 0; i < kChoicesPerSize; ++i)
    requested.push_back(adapters.Draw(random));
  std::size_t chosen = 0;
  const auto start = std::chrono::steady_clock::now();
  for (const auto& adapter : requested) {
    const choice_request request{
        .adapter = adapter, .excluded = &excluded, .gateways = 68};
    if (ChooseEngine(views, request, now).view != nullptr) ++chosen;
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  std::printf("%5zu engines: %8.2f us a choice, %zu of %d chosen\n", count,
              elapsed.count() / kChoicesPerSize, chosen, kChoicesPerSize);
}

}  // namespace
}  // namespace comfreyspring::gateway

int main() {
  for (const std::size_t count : {12, 120, 1'000, 2'900}) {
    comfreyspring::gateway::Measure(count);
  }
}
