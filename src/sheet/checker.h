#pragma once

#include <vector>

#include "sheet/issue.h"
#include "sheet/sheet_reader.h"

namespace comfreyspring::sheet {

/**
 * Checks relations between rows. Reports duplicate ids and patterns, references
 * to missing records, rules that match no adapter, overlapping stops, services
 * without endpoints, and agents that share an address and port.
 */
void CheckConsistency(const sheet_contents& sheet, const fleet_contents& fleet,
                      std::vector<issue>& issues);

}  // namespace comfreyspring::sheet
