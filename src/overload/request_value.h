#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/request_key.h"
#include "core/time.h"

namespace comfreyspring::overload {

/**
 * Work of a request in prompt tokens. An output token keeps its batch slot as
 * long as the prefill of about ten prompt tokens takes.
 */
double WorkOf(std::int64_t prompt_tokens, std::int64_t output_tokens);

/** What a waiting request is worth and when it is due. */
struct request_prospect {
  core::request_key key;
  /** 0 is the most urgent. */
  int priority = 0;
  bool can_be_on_time = false;
  /** Output after this time counts as late. */
  core::time_point due;
  /** A start after this time is useless. */
  core::time_point deadline;
  /** See `WorkOf`. */
  double work = 1.0;
  /** It must not be refused for the sake of others. */
  bool is_promised = false;
};

/**
 * Order in which waiting requests lose least: by priority; then those that can
 * be on time, the earliest due first; then late ones, the least work first.
 */
bool ServesBefore(const request_prospect& left, const request_prospect& right);

/**
 * What callers lose per unit of work when the request is refused. A request is
 * worth a fixed part and a part in proportion to its work, and less when it is
 * late, so that large and late ones cost least for their work.
 * @param mean_work of requests like it.
 */
double RefusalCost(const request_prospect& request, double mean_work);

/**
 * The request to refuse so that the one at `last` can start in time.
 * @param order waiting requests in the order of `ServesBefore`.
 * @returns the index of the one of equal priority, up to `last`, whose refusal
 *     costs least; `last` itself unless another one clearly costs less.
 */
std::size_t CheapestToRefuse(const std::vector<request_prospect>& order,
                             std::size_t last, double mean_work);

}  // namespace comfreyspring::overload
