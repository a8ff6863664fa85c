#pragma once

#include <vector>

#include "sheet/issue.h"
#include "sheet/sheet_reader.h"

namespace comfreyspring::sheet {

/**
 * Checks what rows say about one another: ids listed twice, references to
 * records that do not exist, rules that contradict or match nothing,
 * overlapping stops, services without endpoints.
 */
void CheckTogether(const sheet_contents& sheet, const fleet_contents& fleet,
                   std::vector<issue>& issues);

}  // namespace comfreyspring::sheet
