#pragma once

#include <optional>
#include <string>

#include "config/configuration.h"
#include "config/documents.h"
#include "core/error.h"

namespace comfreyspring::sheet {

/** A file that cannot be read or written. */
class file_error : public core::error {
 public:
  using core::error::error;
};

/** Returns the contents of a file. @throws file_error */
std::string ReadFile(const std::string& path);

/**
 * Writes each `parts/<hash>`, then `manifest.json`, so that a reader never sees
 * a manifest with missing parts. Other files are not changed.
 * @throws file_error
 */
void WriteDocuments(const std::string& directory,
                    const config::document_set& documents);

/**
 * Reads a configuration written by WriteDocuments.
 * @throws file_error, config::document_error or config::validation_error
 */
config::configuration ReadDocuments(const std::string& directory);

}  // namespace comfreyspring::sheet
