#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/configuration.h"
#include "core/error.h"
#include "core/types.h"

namespace comfreyspring::config {

/** Value of the manifest's `format` field; any other is rejected. */
constexpr std::int64_t kDocumentFormat = 1;
/** The service stores values of up to 1 MB; the margin is for its framing. */
constexpr std::size_t kMaximumPartBytes = 900 * 1000;
// Bound what a manifest can make a process fetch and store.
constexpr std::size_t kMaximumParts = 1024;
constexpr std::size_t kMaximumSetBytes = 32 * 1000 * 1000;
/** Key of the manifest in the configuration service. */
constexpr std::string_view kManifestKey = "manifest";

/** Errors in a document that are detected before its records are validated. */
enum class document_fault {
  malformed,
  unknown_format,
  unknown_kind,
  out_of_range,
  checksum_mismatch,
  size_mismatch,
  hash_mismatch,
  missing_part,
  duplicate_part,
  too_large,
};

/** Thrown for a document that cannot be encoded or decoded. */
class document_error : public core::error {
 public:
  document_error(document_fault kind, const std::string& message)
      : core::error(message), kind_(kind) {}
  document_fault Kind() const { return kind_; }

 private:
  document_fault kind_;
};

/** Reference from a manifest to a part. */
struct part_reference {
  /** Hash64 of the part's bytes. */
  std::uint64_t hash = 0;
  /** Size of the part. */
  std::size_t bytes = 0;
  friend bool operator==(const part_reference&,
                         const part_reference&) = default;
};

/** Lists the parts of one set. */
struct manifest {
  std::uint64_t generation = 0;
  std::int64_t published_ms = 0;
  std::vector<part_reference> parts;
  friend bool operator==(const manifest&, const manifest&) = default;
};

/** The encoded documents of one set. */
struct document_set {
  std::string manifest_bytes;
  /** Bytes of each part by hash. */
  std::map<std::uint64_t, std::string> parts;
};

// Names.

/** Formats a hash as in the documents: 16 lower-case hexadecimal digits. */
std::string HashText(std::uint64_t hash);
/** Inverse of HashText. @throws document_error on any other text. */
std::uint64_t ParseHashText(std::string_view text);
/** Key of a part in the configuration service: `part/<hash>`. */
std::string PartKey(std::uint64_t hash);

// Manifest.

/** Includes a checksum over the other fields, to detect corruption. */
std::string EncodeManifest(const manifest& value);
/**
 * Accepts only bytes identical to the output of EncodeManifest.
 * @throws document_error on any other bytes or if a limit is exceeded.
 */
manifest DecodeManifest(std::string_view bytes);
/** Returns the version of the set; `bytes` is the encoded form of `value`. */
core::config_version VersionOf(const manifest& value, std::string_view bytes);

// Whole set.

/**
 * Encodes a set. Records are assigned to parts by the hash of their id, so
 * that a change of one record changes one small part.
 * @throws document_error if the set exceeds the limits above or a record cannot
 * be encoded.
 */
document_set EncodeSet(const configuration& set);

/** Returns the bytes of a part, or nullptr if absent. */
using part_lookup = std::function<const std::string*(std::uint64_t hash)>;

/**
 * Cache of decoded parts. After a change of one part, the others need not be
 * decoded again: decoding all parts of 28,000 adapters would block an event
 * loop for too long.
 */
class part_cache {
 public:
  /**
   * Returns the records of a part, decoding it on the first call. The caller
   * has checked that `bytes` match `hash`.
   * @throws document_error if the part cannot be decoded.
   */
  const configuration& Read(std::uint64_t hash, const std::string& bytes);
  void Erase(std::uint64_t hash) { parts_.erase(hash); }

 private:
  std::map<std::uint64_t, configuration> parts_;
};

/**
 * Decodes a set, checks the sizes and hashes of its parts, validates it and
 * builds its lookup tables.
 * @throws document_error or validation_error
 */
configuration DecodeSet(std::string_view manifest_bytes,
                        const part_lookup& find_part, part_cache& cache);
/** Overload without a cache. */
configuration DecodeSet(std::string_view manifest_bytes,
                        const part_lookup& find_part);

}  // namespace comfreyspring::config
