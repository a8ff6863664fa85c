#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "catalog/endpoint_record.h"
#include "catalog/route.h"
#include "core/time.h"

namespace comfreyspring::grants {

/** Identifies a request for a grant: a link of a gateway and its number. */
struct request_key {
  std::uint64_t link = 0;
  std::uint64_t number = 0;
  // clang-tidy 14 mistakes the compiler's own comparison with 0 for a pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const request_key&, const request_key&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

/** A request that wants to run at the engine. */
struct engine_request {
  request_key key;
  /** The caller's request, for the log. */
  std::string request_id;
  /** The adapter is empty for the base model alone. */
  catalog::adapter_name adapter;
  /** Lowest version of the adapter that will do. */
  std::int64_t minimum_version = 0;
  /** 0 is the most urgent. */
  int priority = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  /** Longest pause between two events that counts as prompt. */
  core::milliseconds event_gap_target{0};
  /** First output after this counts as late. */
  core::time_point first_output_due;
  /** A grant after this is of no use. */
  core::time_point deadline;
  /**
   * Load up to which the gateway would have asked this engine; 0: it has no
   * other to ask.
   */
  double load_bound = 0.0;
  /** Its caller returns after a refusal within this time, if it does. */
  core::milliseconds maximum_retry_after{4000};
  /** It was refused before and has returned when it was told to. */
  bool is_retry = false;
  /** Set by the scheduler. */
  core::time_point received_at;
};

/** What the configuration says of the engine. */
struct engine_config {
  std::size_t batch_slots = 0;
  std::size_t adapter_slots = 0;
  std::int64_t cache_tokens = 0;
  std::vector<core::model_id> models;
};

/** What the engine says of itself. */
struct engine_state {
  std::int64_t started_unix_ms = 0;
  /** Orders accepted since its start. */
  std::int64_t orders_accepted = 0;
  /** A model is being loaded or unloaded. */
  bool busy = false;
  std::vector<catalog::loaded_model> models;
  /** Adapters on their way to the engine. */
  std::vector<catalog::adapter_name> loading;
  std::int64_t running = 0;
  std::int64_t queued = 0;
  std::int64_t cache_used = 0;
  /** It finishes what runs and takes no new requests before long. */
  bool leaving = false;
};

/** An order to the engine. */
struct engine_order {
  enum class kind { load, unload };
  kind what = kind::load;
  /** Names a model alone if its adapter is empty. */
  catalog::adapter_name subject;
  /** 0: the newest. */
  std::int64_t version = 0;
};

/** How an order ended. */
enum class order_result {
  /** Carried out in the background. */
  accepted,
  /** Holds already. */
  done,
  /** Another order is under way. */
  conflict,
  /** The engine has seen a higher fencing number. */
  stale_fencing,
  /** The engine does not know what is ordered. */
  impossible,
  /** The engine may or may not have accepted it. */
  unknown,
};

std::string_view ToString(order_result result);

/** Why a request is not granted. */
enum class refusal_reason {
  /** It would start after it gives up. */
  wait_too_long,
  /** It has waited until it gave up. */
  wait_expired,
  /** The engine does not serve. */
  engine_down,
  /** The engine does not have the model. */
  model_absent,
  /** The engine cannot load the adapter. */
  adapter_unavailable,
  /** The agent stops. */
  stopping,
  /** It would wait here, and the gateway knows of engines with less to do. */
  fuller_than_known,
};

std::string_view ToString(refusal_reason reason);
std::optional<refusal_reason> ParseRefusalReason(std::string_view text);

/** The request may be sent to the engine now. */
struct grant {
  request_key key;
  /** Version of the adapter that the engine holds; 0 for the base model. */
  std::int64_t version = 0;
  /** How long it has waited, and how much of that for its adapter's load. */
  core::milliseconds waited{0};
  core::milliseconds waited_for_load{0};
};
/** The request does not run here. */
struct refusal {
  request_key key;
  refusal_reason reason = refusal_reason::wait_too_long;
  /** When it would be granted if it returned. */
  core::milliseconds retry_after{0};
  /** The estimate that decided. */
  core::milliseconds expected_wait{0};
};
using grant_action = std::variant<grant, refusal, engine_order>;

/** What a gateway needs to know to choose an engine. */
struct engine_status {
  /** The engine answers, has a model and takes work. */
  bool serving = false;
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t batch_slots = 0;
  /** Slots that are empty or hold an adapter that nobody uses. */
  std::size_t free_adapter_slots = 0;
  /** Adapters that wait for a load or are on their way. */
  std::size_t loads_waiting = 0;
  /** Time until a new prompt would be let through to the engine. */
  core::milliseconds prefill_wait{0};
  /** Gateways that have a link to the agent. */
  std::size_t gateways = 0;
  /** Changes with the list of adapters. */
  std::uint64_t adapters_revision = 0;
  /** Adapters that the engine holds or loads. */
  std::vector<catalog::adapter_name> adapters;
};

/** Wait for prompts to be read that counts like a full batch, in ms. */
constexpr double kPrefillWaitAtFullLoad = 600.0;

/**
 * Load of an engine, by which gateways compare engines.
 * @param more asks that it has got since the status.
 */
double LoadOf(const engine_status& status, std::size_t batch_slots,
              std::size_t more = 0);

}  // namespace comfreyspring::grants
