#include "sheet/checker.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace comfreyspring::sheet {
namespace {

/** Row numbers by id, for one record type. */
using row_index = std::unordered_map<std::string, std::size_t>;

class checker {
 public:
  checker(const sheet_contents& sheet, const fleet_contents& fleet,
          std::vector<issue>& issues)
      : sheet_(sheet), fleet_(fleet), issues_(issues) {}

  void Run() {
    IndexAll();
    CheckReferences();
    CheckRules();
    CheckStops();
    CheckServicesHaveEndpoints();
    CheckAgentPorts();
  }

 private:
  void Add(const std::string& file, std::size_t row, const std::string& column,
           const std::string& value, const std::string& problem,
           const std::string& remedy, severity level = severity::error) {
    issues_.push_back({file, row, column, value, problem, remedy, level});
  }

  void Index(row_index& index, const std::string& file, std::size_t row,
             const std::string& column, const std::string& id) {
    if (id.empty()) return;
    const auto [found, is_new] = index.emplace(id, row);
    if (is_new) return;
    Add(file, row, column, id,
        "Row " + std::to_string(found->second) + " has the same name.",
        "Delete or rename one of them.");
  }

  void IndexAll() {
    for (const auto& item : sheet_.models) {
      Index(models_, sheet_.file, item.row, "name", item.record.Value());
    }
    for (const auto& item : sheet_.adapters) {
      Index(adapters_, sheet_.file, item.row, "name",
            item.record.adapter.Value());
    }
    for (const auto& item : sheet_.services) {
      Index(services_, sheet_.file, item.row, "name",
            item.record.service.Value());
    }
    for (const auto& item : fleet_.endpoints) {
      Index(endpoints_, fleet_.file, item.row, "endpoint",
            item.record.endpoint.Value());
    }
  }

  void CheckReference(const row_index& index, const std::string& file,
                      std::size_t row, const std::string& column,
                      const std::string& id, const std::string& remedy) {
    if (id.empty() || index.count(id) != 0) return;
    Add(file, row, column, id, "There is no " + column + " with this name.",
        remedy);
  }

  void CheckReferences() {
    const std::string model_remedy =
        "Correct the name, or add a row with record model to the sheet.";
    for (const auto& item : sheet_.adapters) {
      CheckReference(models_, sheet_.file, item.row, "model",
                     item.record.model.Value(), model_remedy);
    }
    for (const auto& item : fleet_.endpoints) {
      if (item.record.kind == core::endpoint_kind::engine) {
        CheckReference(models_, fleet_.file, item.row, "model",
                       item.record.model.Value(), model_remedy);
      } else {
        CheckReference(
            services_, fleet_.file, item.row, "service",
            item.record.service.Value(),
            "Correct the name, or add a row with record service to the "
            "sheet.");
      }
    }
    for (const auto& item : sheet_.stops) {
      CheckReference(endpoints_, sheet_.file, item.row, "endpoint",
                     item.record.endpoint.Value(),
                     "Use an endpoint in the fleet file, or delete the row.");
    }
  }

  void CheckRules() {
    row_index patterns;
    for (const auto& item : sheet_.rules) {
      const sheet_rule& rule = item.record;
      Index(patterns, sheet_.file, item.row, "pattern", rule.pattern);
      const bool is_used = std::any_of(
          sheet_.adapters.begin(), sheet_.adapters.end(),
          [&rule](const auto& it) { return rule.Matches(it.record.adapter); });
      if (is_used || rule.pattern.empty()) continue;
      Add(sheet_.file, item.row, "pattern", rule.pattern,
          "The rule matches no adapter.",
          "Correct the pattern, or delete the row.", severity::warning);
    }
  }

  void CheckStops() {
    std::map<std::string, std::vector<const located<config::planned_stop>*>>
        by_endpoint;
    for (const auto& item : sheet_.stops) {
      by_endpoint[item.record.endpoint.Value()].push_back(&item);
    }
    for (auto& [endpoint, stops] : by_endpoint) {
      std::stable_sort(
          stops.begin(), stops.end(), [](const auto* left, const auto* right) {
            return left->record.starts_at < right->record.starts_at;
          });
      for (std::size_t at = 1; at < stops.size(); ++at) {
        if (stops[at]->record.starts_at >= stops[at - 1]->record.ends_at) {
          continue;
        }
        Add(sheet_.file, stops[at]->row, "endpoint", endpoint,
            "The stop overlaps the stop in row " +
                std::to_string(stops[at - 1]->row) + ".",
            "Merge the two stops, or move one.");
      }
    }
  }

  void CheckServicesHaveEndpoints() {
    for (const auto& item : sheet_.services) {
      const bool is_provided =
          std::any_of(fleet_.endpoints.begin(), fleet_.endpoints.end(),
                      [&item](const auto& it) {
                        return it.record.service == item.record.service;
                      });
      if (is_provided || item.record.service.empty()) continue;
      Add(sheet_.file, item.row, "name", item.record.service.Value(),
          "No endpoint in the fleet file provides the service.",
          "Add an endpoint to the fleet file, or delete the row.");
    }
  }

  void CheckAgentPorts() {
    std::map<std::pair<std::string, std::uint16_t>, std::size_t> used_ports;
    for (const auto& item : fleet_.endpoints) {
      const config::endpoint_record& endpoint = item.record;
      if (endpoint.agent_port == 0) continue;
      const auto [found, is_new] = used_ports.emplace(
          std::pair(endpoint.address, endpoint.agent_port), item.row);
      if (is_new) continue;
      Add(fleet_.file, item.row, "agent_port",
          std::to_string(endpoint.agent_port),
          "Row " + std::to_string(found->second) +
              " has the same address and port.",
          "Give each agent its own port.");
    }
  }

  const sheet_contents& sheet_;
  const fleet_contents& fleet_;
  std::vector<issue>& issues_;
  row_index models_;
  row_index adapters_;
  row_index services_;
  row_index endpoints_;
};

}  // namespace

void CheckConsistency(const sheet_contents& sheet, const fleet_contents& fleet,
                      std::vector<issue>& issues) {
  checker(sheet, fleet, issues).Run();
}

}  // namespace comfreyspring::sheet
