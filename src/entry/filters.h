#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <tuple>
#include <utility>

#include "core/random_source.h"
#include "entry/request_context.h"
#include "entry/request_error.h"

namespace comfreyspring::entry {

/** Limits on requests, from the settings. */
struct request_limits {
  std::size_t maximum_body_bytes = 1024 * 1024;
  std::int64_t maximum_tokens = 8192;
  std::int64_t default_tokens = 256;
  core::milliseconds maximum_deadline{600000};
};

/**
 * One step of the chain. It sets its fields of the context, or rejects the
 * request by throwing request_error.
 */
template <class Filter>
concept request_filter = requires(Filter filter, request_context& context) {
  { filter.Apply(context) } -> std::same_as<void>;
};

/** Applies its filters in order. */
template <request_filter... Filters>
class filter_chain {
 public:
  explicit filter_chain(Filters... filters) : filters_(std::move(filters)...) {}

  /** @throws request_error from the first filter that rejects the request. */
  void Apply(request_context& context) {
    std::apply([&](auto&... filter) { (filter.Apply(context), ...); },
               filters_);
  }

 private:
  std::tuple<Filters...> filters_;
};

/** Assigns a request id that is unique across entries. */
class request_id_filter {
 public:
  explicit request_id_filter(core::random_source random) : random_(random) {}
  void Apply(request_context& context);

 private:
  core::random_source random_;
};

/** Rejects bodies above the limit with status 413. */
class size_limit_filter {
 public:
  explicit size_limit_filter(request_limits limits) : limits_(limits) {}
  void Apply(request_context& context);

 private:
  request_limits limits_;
};

/** Parses path and body. Rejects an invalid field with status 400, an unknown
 * path with 404 and a wrong method with 405. */
class parse_filter {
 public:
  explicit parse_filter(request_limits limits) : limits_(limits) {}
  void Apply(request_context& context);

 private:
  void ParseCompletion(request_context& context);
  void ParseServiceCall(request_context& context);

  request_limits limits_;
};

/** Looks up adapter and version, or the service, in the configuration of the
 * request. */
class resolve_filter {
 public:
  void Apply(request_context& context);
};

/** Sets priority and deadline from the configuration and the headers. */
class priority_filter {
 public:
  explicit priority_filter(request_limits limits) : limits_(limits) {}
  void Apply(request_context& context);

 private:
  request_limits limits_;
};

/** Validates the key of a non-repeatable call and determines its owner. */
class idempotency_filter {
 public:
  void Apply(request_context& context);
};

/** Rejects requests while the entry drains or has too many open requests. */
class overload_filter {
 public:
  struct entry_load {
    bool draining = false;
    std::size_t open_requests = 0;
    std::size_t maximum_requests = 0;
  };
  explicit overload_filter(std::function<entry_load()> load)
      : load_(std::move(load)) {}
  void Apply(request_context& context);

 private:
  std::function<entry_load()> load_;
};

using entry_filter_chain =
    filter_chain<request_id_filter, size_limit_filter, parse_filter,
                 resolve_filter, priority_filter, idempotency_filter,
                 overload_filter>;

}  // namespace comfreyspring::entry
