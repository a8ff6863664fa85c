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

/** Value of the manifest's `format`; a reader refuses any other. */
constexpr std::int64_t kDocumentFormat = 1;
/** The service stores values up to 1 MB; the rest is margin for its framing. */
constexpr std::size_t kMaximumPartBytes = 900 * 1000;
/** Bounds what a manifest can make a process fetch and hold. */
constexpr std::size_t kMaximumParts = 1024;
constexpr std::size_t kMaximumSetBytes = 32 * 1000 * 1000;
/** Key of the manifest in the configuration service. */
constexpr std::string_view kManifestKey = "manifest";

/** What can be wrong with a document before its records are looked at. */
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

/** A document that cannot be used. */
class document_error : public core::error {
 public:
  document_error(document_fault kind, const std::string& message)
      : core::error(message), kind_(kind) {}
  document_fault Kind() const { return kind_; }

 private:
  document_fault kind_;
};

/** A part that a manifest lists. */
struct part_reference {
  /** Hash64 of the part's bytes. */
  std::uint64_t hash = 0;
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

/** All documents of one set, ready to be published. */
struct document_set {
  std::string manifest_bytes;
  /** Bytes of each part by hash. */
  std::map<std::uint64_t, std::string> parts;
};

// Names.

/** 16 hexadecimal digits; documents hold hashes in this form. */
std::string HashText(std::uint64_t hash);
/** Inverse of HashText. @throws document_error on any other text. */
std::uint64_t ParseHashText(std::string_view text);
/** Key of a part in the configuration service: `part/<hash>`. */
std::string PartKey(std::uint64_t hash);

// Manifest.

/** Adds a checksum over the other fields, which detects damaged bytes. */
std::string EncodeManifest(const manifest& value);
/**
 * Accepts only the exact bytes that EncodeManifest writes.
 * @throws document_error
 */
manifest DecodeManifest(std::string_view bytes);
/** Version of the set that these manifest bytes describe. */
core::config_version VersionOf(const manifest& value, std::string_view bytes);

// Whole set.

/**
 * Writes a set as documents. Records are spread over parts by the hash of
 * their id, so that a change of one record changes one small part.
 * @throws document_error if the set exceeds the limits above.
 */
document_set EncodeSet(const configuration& set);

/** Returns the bytes of a part, or nullptr if absent. */
using part_lookup = std::function<const std::string*(std::uint64_t hash)>;

/**
 * Records of parts that were read before. A set that changes in one part is
 * decoded without reading the others again; reading all parts of 28,000
 * adapters takes longer than an event loop may stand still.
 */
class part_cache {
 public:
  /**
   * Records of a part whose bytes match the hash.
   * @throws document_error if they cannot be read.
   */
  const configuration& Read(std::uint64_t hash, const std::string& bytes);
  void Forget(std::uint64_t hash) { parts_.erase(hash); }

 private:
  std::map<std::uint64_t, configuration> parts_;
};

/**
 * Reads a set, checks sizes and hashes, validates it whole and indexes it.
 * @throws document_error or validation_error
 */
configuration DecodeSet(std::string_view manifest_bytes,
                        const part_lookup& find_part, part_cache& cache);
/** The same without a cache. */
configuration DecodeSet(std::string_view manifest_bytes,
                        const part_lookup& find_part);

}  // namespace comfreyspring::config
