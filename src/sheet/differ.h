#pragma once

#include <string>
#include <vector>

#include "config/configuration.h"

namespace comfreyspring::sheet {

/**
 * Lists what changes from one set to the next, one line a record: `+` added,
 * `-` removed, `~` changed with each field's old and new value.
 * @returns no line if nothing changes but generation and publication time.
 */
std::vector<std::string> Diff(const config::configuration& before,
                              const config::configuration& after);

}  // namespace comfreyspring::sheet
