#pragma once

#include <string>
#include <vector>

#include "config/configuration.h"

namespace comfreyspring::sheet {

/**
 * Lists the differences between two configurations, one line per record: `+`
 * added, `-` removed, `~` changed, with the old and new value of each field.
 * Ignores the generation and the publication time.
 */
std::vector<std::string> Diff(const config::configuration& before,
                              const config::configuration& after);

}  // namespace comfreyspring::sheet
