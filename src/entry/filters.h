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

/** Limits that callers must keep, from the settings. */
struct request_limits {
  std::size_t maximum_body_bytes = 1024 * 1024;
  std::int64_t maximum_tokens = 8192;
  std::int64_t default_tokens = 256;
  core::milliseconds maximum_deadline{600000};
};

/**
 * One step of the chain. It fills its part of the context, or ends the request
 * by throwing request_error.
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

  /** @throws request_error from the first filter that ends the request. */
  void Apply(request_context& context) {
    std::apply([&](auto&... filter) { (filter.Apply(context), ...); },
               filters_);
  }

 private:
  std::tuple<Filters...> filters_;
};

/** Gives the request an id that is unique across entries. */
class request_id_filter {
 public:
  explicit request_id_filter(core::random_source random) : random_(random) {}
  void Apply(request_context& context);

 private:
  core::random_source random_;
};

/** Refuses bodies above the limit with 413. */
class size_limit_filter {
 public:
  explicit size_limit_filter(request_limits limits) : limits_(limits) {}
  void Apply(request_context& context);

 private:
  request_limits limits_;
};

/** Reads path and body; 400 with the field at fault, 404 for other paths. */
class parse_filter {
 public:
  explicit parse_filter(request_limits limits) : limits_(limits) {}
  void Apply(request_context& context);

 private:
  void ParseCompletion(request_context& context);
  void ParseServiceCall(request_context& context);

  request_limits limits_;
};

/** Finds adapter and version, or the service, in one configuration. */
class resolve_filter {
 public:
  void Apply(request_context& context);
};

/** Class and deadline from the configuration and the request headers. */
class priority_filter {
 public:
  explicit priority_filter(request_limits limits) : limits_(limits) {}
  void Apply(request_context& context);

 private:
  request_limits limits_;
};

/** Checks the key of a call that may not be repeated and finds its home. */
class idempotency_filter {
 public:
  void Apply(request_context& context);
};

/** Refuses at once while the entry drains or holds too many requests. */
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
