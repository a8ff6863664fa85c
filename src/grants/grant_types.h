#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "catalog/endpoint_record.h"
#include "catalog/route.h"
#include "core/request_key.h"
#include "core/time.h"
#include "limits/endpoint_incarnation.h"
#include "limits/limit_announcement.h"
#include "limits/request_rate.h"
#include "quarantine/crash_record.h"

namespace comfreyspring::grants {

using core::request_key;

/** A request that is to run on the engine. */
struct engine_request {
  request_key key;
  /** Caller's request id, for the log. */
  std::string request_id;
  /** The adapter part is empty for requests to the base model. */
  catalog::adapter_name adapter;
  /** Lowest acceptable version of the adapter. */
  std::int64_t minimum_version = 0;
  /** 0 is the most urgent. */
  int priority = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  /** Longest gap between two events that still meets the target. */
  core::milliseconds event_gap_target{0};
  /** A first output after this time counts as late. */
  core::time_point first_output_due;
  /** A grant after this time is useless to the caller. */
  core::time_point deadline;
  /**
   * Highest engine load at which the gateway would still choose this engine; 0
   * if it has no alternative.
   */
  double load_bound = 0.0;
  /** A refused caller that retries does so within this time. */
  core::milliseconds maximum_retry_after{4000};
  /**
   * The request was refused before and has been retried at the suggested time.
   */
  bool is_retry = false;
  /**
   * Its prompt may end the engine, so no other such request may be ahead of its
   * first output at the same time.
   */
  bool isolated = false;
  /** Parts of its prompt to blame if the engine ends before its answer. */
  std::vector<quarantine::suspected_part> blamed_parts;
  /**
   * The end of the answer is due by then. Nothing: it is not refused because
   * of its length.
   */
  std::optional<core::time_point> answer_due;
  /** Set by the scheduler. */
  core::time_point received_at;
};

/** A request that runs on the engine. */
struct granted_run {
  /** Valid until the scheduler's next event. */
  const engine_request* request = nullptr;
  core::time_point granted_at;
};

/** Properties of an engine from the configuration. */
struct engine_config {
  std::size_t batch_slots = 0;
  std::size_t adapter_slots = 0;
  std::int64_t cache_tokens = 0;
  std::vector<core::model_id> models;

  friend bool operator==(const engine_config&, const engine_config&) = default;
};

/** State that the engine reports. */
struct engine_state {
  std::int64_t started_unix_ms = 0;
  /** Number of orders accepted since the engine started. */
  std::int64_t orders_accepted = 0;
  /** A model is being loaded or unloaded. */
  bool busy = false;
  std::vector<catalog::loaded_model> models;
  /** Adapters that are being loaded. */
  std::vector<catalog::adapter_name> loading;
  std::int64_t running = 0;
  std::int64_t queued = 0;
  std::int64_t cache_used = 0;
  /**
   * The engine is draining: it finishes running requests and soon accepts no
   * new ones.
   */
  bool leaving = false;
  /** What this report says about the engine's request rate limit. */
  limits::limit_announcement limit;
};

/** An order to the engine to load or unload a model or an adapter. */
struct engine_order {
  enum class kind { load, unload };
  kind what = kind::load;
  /** The adapter part is empty if the order concerns the model itself. */
  catalog::adapter_name subject;
  /** 0 selects the newest version. */
  std::int64_t version = 0;
  /** Different for each decision; an order that is sent again keeps it. */
  std::uint64_t number = 0;
  /**
   * Number of orders that the engine has accepted before this one. An engine
   * that has accepted others refuses it.
   */
  std::optional<std::int64_t> orders_before;
};

/** Result of an order. */
enum class order_result {
  /** The engine executes the order in the background. */
  accepted,
  /** The engine is already in the requested state. */
  done,
  /** Another order is in progress. */
  conflict,
  /** The engine has seen a higher fencing number. */
  stale_fencing,
  /** The engine does not know the model or the adapter. */
  impossible,
  /** No valid response: the engine may or may not have accepted the order. */
  unknown,
};

std::string_view ToString(order_result result);

/** Retry times of refused requests. */
inline constexpr core::milliseconds kMinimumRetryAfter{100};
inline constexpr core::milliseconds kMaximumRetryAfter{4000};

/** Why a request was refused. */
enum class refusal_reason {
  /** It could not start before its deadline. */
  wait_too_long,
  /** Its deadline passed while it waited. */
  wait_expired,
  /** The engine is not serving. */
  engine_down,
  /** The engine does not have the model. */
  model_absent,
  /** The engine cannot load the adapter. */
  adapter_unavailable,
  /** The agent is shutting down. */
  stopping,
  /** It would have to wait, and the gateway knows of less loaded engines. */
  fuller_than_known,
  /** Its answer would end after its deadline here. */
  cannot_finish,
  /** The endpoint's request rate limit is used up for longer than it can wait.
   */
  rate_limited,
};

std::string_view ToString(refusal_reason reason);
std::optional<refusal_reason> ParseRefusalReason(std::string_view text);

/** The request may be sent to the engine now. */
struct grant {
  request_key key;
  /** Version of the adapter that is loaded; 0 for the base model. */
  std::int64_t version = 0;
  /** Total wait, and the part of it spent on loading the adapter. */
  core::milliseconds waited{0};
  core::milliseconds waited_for_load{0};
};
/** The request was refused by this engine. */
struct refusal {
  request_key key;
  refusal_reason reason = refusal_reason::wait_too_long;
  /** Delay after which a retry is expected to be granted. */
  core::milliseconds retry_after{0};
  /** Estimated wait on which the refusal is based. */
  core::milliseconds expected_wait{0};
};
using grant_action = std::variant<grant, refusal, engine_order>;

/** What a gateway has learnt from a response about the limit of its endpoint.
 */
struct limit_observation {
  limits::endpoint_incarnation endpoint;
  /** The granted request that was answered; nothing if there was no grant. */
  std::optional<request_key> request;
  /** Nothing: the response names no limit. */
  std::optional<limits::request_rate> rate;
  core::time_point response_received;
};

/** Status by which gateways choose an engine. */
struct engine_status {
  /** The engine responds, has a model and accepts requests. */
  bool serving = false;
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t batch_slots = 0;
  /** Slots that are empty or hold an adapter that no request needs. */
  std::size_t free_adapter_slots = 0;
  /** Adapters whose load is pending or in progress. */
  std::size_t loads_waiting = 0;
  /** Time until the engine has prefilled the prompts ahead of a new one. */
  core::milliseconds prefill_wait{0};
  /** See `engine_speed`; 0 if unknown. */
  core::microseconds token_time{0};
  /** Prompt tokens that the engine prefills per millisecond; 0 if unknown. */
  double prefill_rate = 0.0;
  /** The engine's request rate limit, over all gateways. */
  std::optional<limits::request_rate> limit;
  /** Time until this limit would let a new request start. */
  core::milliseconds limit_wait{0};
  /** Number of gateways linked to the agent. */
  std::size_t gateways = 0;
  /** Start of the engine; 0 if unknown. */
  std::int64_t engine_started_unix_ms = 0;
  /** Changes whenever the list of adapters changes. */
  std::uint64_t adapters_revision = 0;
  /** Adapters that are loaded or being loaded. */
  std::vector<catalog::adapter_name> adapters;
};

/** Prefill wait, in milliseconds, that weighs as much as a full batch. */
constexpr double kPrefillWaitAtFullLoad = 600.0;
/** Load that a request rate limit adds at most. */
constexpr double kMaximumLimitLoad = 2.0;

/**
 * Load of an engine, by which gateways compare engines.
 * @param more grant requests sent to the engine since the status report.
 */
double LoadOf(const engine_status& status, std::size_t batch_slots,
              std::size_t more = 0);

}  // namespace comfreyspring::grants
