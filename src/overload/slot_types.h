#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/request_key.h"
#include "core/time.h"
#include "limits/endpoint_incarnation.h"

namespace comfreyspring::overload {

/** An endpoint of a plain service as one gateway knows it. */
struct slot_candidate {
  limits::endpoint_incarnation endpoint;
  /** Number of requests that it processes concurrently. */
  std::size_t slots = 1;
  /** The request may be sent there. */
  bool is_usable = true;
};

/** A request of a gateway for a slot at one of the candidates. */
struct slot_request {
  core::request_key key;
  core::service_id service;
  /** 0 is the most urgent. */
  int priority = 0;
  /** An answer after this time counts as late. */
  core::time_point answer_due;
  /** An answer after this time is useless to the caller. */
  core::time_point deadline;
  /** A refused caller that retries does so within this time. */
  core::milliseconds maximum_retry_after{0};
  /** In the gateway's order of preference. */
  std::vector<slot_candidate> candidates;
  /** Set by the queue. */
  core::time_point received_at;
};

/** How the use of a slot ended. */
enum class slot_result {
  /** The endpoint has answered, also if its answer is an error of the caller.
   */
  answered,
  /** The endpoint refused the request without running it. */
  turned_away,
  /** The endpoint failed, was not reached or did not answer. */
  failed,
  /** The request was not sent. */
  unused,
};

std::string_view ToString(slot_result result);
std::optional<slot_result> ParseSlotResult(std::string_view text);

/** The request may be sent to the endpoint now. */
struct slot_permit {
  core::request_key key;
  /** Index into the request's candidates. */
  std::size_t candidate = 0;
  core::milliseconds waited{0};
};

enum class slot_refusal_reason {
  /** It could not be answered before its deadline. */
  wait_too_long,
  /** The same, found out while it waited. */
  wait_expired,
  /** The queue is full, and all that wait cost more to refuse. */
  queue_full,
  /** The process is shutting down. */
  stopping,
};

std::string_view ToString(slot_refusal_reason reason);

struct slot_refusal {
  core::request_key key;
  slot_refusal_reason reason = slot_refusal_reason::wait_too_long;
  /** Delay after which a retry is expected to get a slot. */
  core::milliseconds retry_after{0};
  /** Estimated wait on which the refusal is based. */
  core::milliseconds expected_wait{0};
};

using slot_action = std::variant<slot_permit, slot_refusal>;

}  // namespace comfreyspring::overload
