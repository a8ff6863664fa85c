#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace comfreyspring::core {

/**
 * A string id with a type of its own, so that the compiler rejects an id of
 * another kind in its place.
 *
 * Example: `endpoint_id id("engine-porto-a-1");`
 */
template <class Tag>
class strong_id {
 public:
  strong_id() = default;
  explicit strong_id(std::string value) : value_(std::move(value)) {}

  const std::string& Value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // clang-tidy 14 takes the 0 in the defaulted comparison for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const strong_id&, const strong_id&) = default;
  // NOLINTEND(modernize-use-nullptr)
  friend std::ostream& operator<<(std::ostream& out, const strong_id& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

/** A VM, as named in the platform's VM list. */
using vm_id = strong_id<struct vm_tag>;
/** A data centre, such as `porto-a`. */
using data_centre_id = strong_id<struct data_centre_tag>;
/** An instance of a model engine or of a plain service. */
using endpoint_id = strong_id<struct endpoint_tag>;
/** A plain service, provided by one or more endpoints. */
using service_id = strong_id<struct service_tag>;
/** A shared base model. */
using model_id = strong_id<struct model_tag>;
/** A LoRA adapter. */
using adapter_id = strong_id<struct adapter_tag>;
/** A version of an adapter. */
using version_id = strong_id<struct version_tag>;
/** A version of the software of endpoints; versions have no order. */
using software_version = strong_id<struct software_version_tag>;
/** A part of a prompt, which other prompts may share. */
using prompt_part_id = strong_id<struct prompt_part_tag>;
/** One request from a caller; unique across all entries. */
using request_id = strong_id<struct request_tag>;
/** One attempt to run a request on an endpoint; retries have their own ids. */
using attempt_id = strong_id<struct attempt_tag>;
/** A customer of the platform, whose callers share keys and a quota. */
using tenant_id = strong_id<struct tenant_tag>;
/** A process of this system; the id is kept across restarts. */
using process_id = strong_id<struct process_tag>;
/** Key chosen by the caller for a call that must not run more than once. */
using idempotency_key = strong_id<struct idempotency_tag>;

}  // namespace comfreyspring::core

template <class Tag>
struct std::hash<comfreyspring::core::strong_id<Tag>> {
  std::size_t operator()(
      const comfreyspring::core::strong_id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.Value());
  }
};
