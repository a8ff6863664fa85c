#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "sheet/csv.h"
#include "sheet/issue.h"

namespace comfreyspring::sheet {

/** A record and the number of the row that defines it. */
template <class Record>
struct located {
  Record record;
  std::size_t row = 0;
};

struct sheet_adapter {
  core::adapter_id adapter;
  core::model_id model;
  std::vector<core::version_id> versions;
  core::version_id default_version;
  std::optional<core::priority_class> priority;
  std::optional<core::milliseconds> deadline;
};

struct sheet_rule {
  /** An adapter name, or a prefix followed by `*`. */
  std::string pattern;
  std::optional<core::priority_class> priority;
  std::optional<core::milliseconds> deadline;

  bool Matches(const core::adapter_id& adapter) const;
};

/** Records read from a sheet file. */
struct sheet_contents {
  std::string file;
  std::vector<located<core::model_id>> models;
  std::vector<located<sheet_adapter>> adapters;
  std::vector<located<sheet_rule>> rules;
  /** The compiler adds the ownership epochs. */
  std::vector<located<config::service_record>> services;
  std::vector<located<config::planned_stop>> stops;
};

/** Records read from a fleet file. */
struct fleet_contents {
  std::string file;
  std::vector<located<config::endpoint_record>> endpoints;
};

/**
 * Read each row independently; CheckConsistency checks relations between rows.
 * sheet.h describes the columns.
 */
sheet_contents ReadSheet(const csv_table& table, std::vector<issue>& issues);
fleet_contents ReadFleet(const csv_table& table, std::vector<issue>& issues);

}  // namespace comfreyspring::sheet
