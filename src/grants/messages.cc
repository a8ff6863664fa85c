#include "grants/messages.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/error.h"
#include "core/nesting.h"
#include "core/overloaded.h"

namespace comfreyspring::grants {
namespace {

using nlohmann::json;

/** First field of each message. The numbers are part of the protocol. */
enum class message_kind : std::int64_t {
  hello = 1,
  request = 2,
  withdrawn = 3,
  started = 4,
  ended = 5,
  stalled = 6,
  issued = 7,
  refused = 8,
  status = 9,
  queued = 10,
  catalog = 11,
  limit_observed = 12,
  permit = 13,
  limit_notice = 14,
  run_checked = 15,
  crash = 16,
  quota_ask = 17,
  quota_answer = 18,
  slot_ask = 19,
  slot_released = 20,
  slot_issued = 21,
  stream_began = 22,
  origin_query = 23,
  origin_answer = 24,
};

/** Loads are transmitted as integers in units of 1/kLoadScale. */
constexpr double kLoadScale = 1000.0;
/** Rates are transmitted as integers in units of 1/kRateScale per second. */
constexpr double kRateScale = 1e6;
/** Prefill rates are transmitted in tokens per second. */
constexpr double kPrefillRateScale = 1000.0;

/** Far above the number of crashes that any part survives. */
constexpr std::int64_t kMaximumLevel = 1'000'000;

/** Far above any quota; keeps scaled values within an integer. */
constexpr double kMaximumQuota = 9e12;

std::int64_t ScaledQuota(double value) {
  return std::llround(std::clamp(value, 0.0, kMaximumQuota) * kRateScale);
}

// Encoding.

class field_writer {
 public:
  explicit field_writer(message_kind kind) {
    Add(static_cast<std::int64_t>(kind));
  }

  field_writer& Add(std::int64_t value) {
    fields_.emplace_back(value);
    return *this;
  }
  field_writer& Add(std::uint64_t value) {
    fields_.emplace_back(value);
    return *this;
  }
  field_writer& Add(int value) { return Add(std::int64_t{value}); }
  field_writer& Add(bool value) {
    fields_.emplace_back(value);
    return *this;
  }
  field_writer& Add(core::milliseconds value) { return Add(value.count()); }
  field_writer& Add(const std::string& value) {
    fields_.emplace_back(value);
    return *this;
  }
  field_writer& Add(const catalog::adapter_name& name) {
    return Add(name.model.Value()).Add(name.adapter.Value());
  }

  /** A flag, followed by the rate if there is one. */
  field_writer& Add(const std::optional<limits::request_rate>& rate) {
    Add(rate.has_value());
    if (rate) {
      Add(static_cast<std::int64_t>(
          std::llround(rate->PerSecond() * kRateScale)));
    }
    return *this;
  }
  field_writer& Add(const limits::endpoint_incarnation& endpoint) {
    return Add(endpoint.instance.Value()).Add(endpoint.started_unix_ms);
  }

  field_writer& Add(const origins::stream_origin& origin) {
    return Add(origin.service.Value()).Add(origin.version.Value());
  }

  /** Their number, then part and level of each. */
  field_writer& Add(const std::vector<quarantine::suspected_part>& parts) {
    Add(parts.size());
    for (const auto& each : parts) Add(each.part.Value()).Add(each.level);
    return *this;
  }

  std::string Finish() {
    std::string frame;
    json::to_cbor(json(std::move(fields_)), frame);
    return frame;
  }

 private:
  json::array_t fields_;
};

std::string EncodeHello(const gateway_hello& hello) {
  field_writer out(message_kind::hello);
  out.Add(hello.gateway.Value())
      .Add(hello.next_in)
      .Add(hello.config.batch_slots)
      .Add(hello.config.adapter_slots)
      .Add(hello.config.cache_tokens)
      .Add(hello.config.models.size());
  for (const auto& model : hello.config.models) out.Add(model.Value());
  return out.Finish();
}

std::string EncodeStatus(const status_report& report) {
  const engine_status& status = report.status;
  field_writer out(message_kind::status);
  out.Add(status.serving)
      .Add(status.running)
      .Add(status.waiting)
      .Add(status.batch_slots)
      .Add(status.free_adapter_slots)
      .Add(status.loads_waiting)
      .Add(status.prefill_wait)
      .Add(status.gateways)
      .Add(status.adapters_revision)
      .Add(report.next_in)
      .Add(report.reader_rank)
      .Add(report.has_adapters);
  if (report.has_adapters) {
    out.Add(status.adapters.size());
    for (const auto& name : status.adapters) out.Add(name);
  }
  out.Add(status.limit).Add(status.limit_wait).Add(report.limits_observed);
  out.Add(status.engine_started_unix_ms);
  for (const auto* names : {&report.adapters_added, &report.adapters_removed}) {
    out.Add(names->size());
    for (const auto& name : *names) out.Add(name);
  }
  out.Add(std::int64_t{status.token_time.count()})
      .Add(static_cast<std::int64_t>(
          std::llround(status.prefill_rate * kPrefillRateScale)));
  return out.Finish();
}

std::string EncodeCrash(const quarantine::crash_record& record) {
  field_writer out(message_kind::crash);
  out.Add(record.crash.sidecar.Value())
      .Add(record.crash.engine_started_unix_ms)
      .Add(record.age)
      .Add(record.parts);
  for (const auto& part : record.parts) out.Add(part.cleared);
  return out.Finish();
}

std::string EncodeQuotaAsk(const quota_ask& ask) {
  return field_writer(message_kind::quota_ask)
      .Add(ask.number)
      .Add(ask.tenant.Value())
      .Add(ask.amount)
      .Add(ask.minimum)
      .Add(ScaledQuota(ask.rate))
      .Add(ScaledQuota(ask.burst))
      .Add(ask.configuration)
      .Add(ask.priority)
      .Add(ask.is_fallback)
      .Add(ask.deadline_in)
      .Finish();
}

std::string EncodeSlotAsk(const slot_ask& ask) {
  field_writer out(message_kind::slot_ask);
  out.Add(ask.number)
      .Add(ask.service.Value())
      .Add(ask.priority)
      .Add(ask.answer_due_in)
      .Add(ask.deadline_in)
      .Add(ask.maximum_retry_after)
      .Add(ask.candidates.size());
  for (const auto& each : ask.candidates) {
    out.Add(each.endpoint).Add(each.slots).Add(each.is_usable);
  }
  return out.Finish();
}

std::string EncodeBatch(const change_batch& batch) {
  field_writer out(message_kind::catalog);
  out.Add(batch.after)
      .Add(batch.revision)
      .Add(batch.age)
      .Add(batch.last_outage.has_value())
      .Add(batch.documents.size());
  for (const catalog::change_document& document : batch.documents) {
    out.Add(document.revision).Add(document.text);
  }
  if (batch.last_outage) {
    out.Add(batch.last_outage->position.revision)
        .Add(batch.last_outage->ended_ago);
  }
  out.Add(batch.era);
  if (batch.sent_at) out.Add(*batch.sent_at);
  return out.Finish();
}

// Decoding.

/** An element of the flat array. */
struct field {
  enum class kind { integer, boolean, text };
  kind what = kind::integer;
  std::int64_t integer = 0;
  std::string text;
};

/**
 * SAX handler that collects the fields without building a tree. Rejects any
 * input but a flat array of integers, booleans and strings.
 */
class field_collector : public json::json_sax_t {
 public:
  std::vector<field> fields;
  std::string error;

  bool null() override { return Reject("null"); }
  bool boolean(bool value) override {
    return Take({field::kind::boolean, value ? 1 : 0, {}});
  }
  bool number_integer(number_integer_t value) override {
    return Take({field::kind::integer, value, {}});
  }
  bool number_unsigned(number_unsigned_t value) override {
    if (value >
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
      return Reject("integer out of range");
    }
    return Take({field::kind::integer, static_cast<std::int64_t>(value), {}});
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return Reject("floating-point number");
  }
  bool string(string_t& value) override {
    return Take({field::kind::text, 0, std::move(value)});
  }
  bool binary(binary_t& /*value*/) override { return Reject("bytes"); }
  bool start_object(std::size_t /*size*/) override {
    return Reject("unexpected map");
  }
  bool key(string_t& /*value*/) override {
    return Reject("unexpected map key");
  }
  bool end_object() override { return Reject("unexpected map"); }
  bool start_array(std::size_t /*size*/) override {
    if (begun_) return Reject("nested array");
    begun_ = true;
    return true;
  }
  bool end_array() override { return true; }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& failure) override {
    return Reject(failure.what());
  }

 private:
  bool Take(field value) {
    if (!begun_) return Reject("value outside of the array");
    fields.push_back(std::move(value));
    return true;
  }
  bool Reject(const std::string& reason) {
    if (error.empty()) error = reason;
    return false;
  }

  bool begun_ = false;
};

/**
 * Reads the fields in order.
 * @throws core::invalid_value_error if a field is missing or has another type.
 */
class field_reader {
 public:
  explicit field_reader(std::vector<field>& fields) : fields_(fields) {}

  bool AtEnd() const { return next_ >= fields_.size(); }
  std::int64_t Integer() { return Next(field::kind::integer).integer; }
  bool Boolean() { return Next(field::kind::boolean).integer != 0; }
  std::string Text() { return std::move(Next(field::kind::text).text); }
  std::size_t Size() {
    const std::int64_t value = Integer();
    if (value < 0) throw core::invalid_value_error("negative size");
    return static_cast<std::size_t>(value);
  }
  core::milliseconds Time() { return core::milliseconds(Integer()); }
  catalog::adapter_name Adapter() {
    std::string model = Text();
    return {core::model_id(std::move(model)), core::adapter_id(Text())};
  }
  std::optional<limits::request_rate> Rate() {
    if (!Boolean()) return std::nullopt;
    const double rate = static_cast<double>(Integer()) / kRateScale;
    if (rate < 0.0) throw core::invalid_value_error("negative rate");
    return limits::request_rate(rate);
  }
  limits::endpoint_incarnation Incarnation() {
    catalog::instance_id instance(Text());
    return {std::move(instance), Integer()};
  }
  origins::stream_origin Origin() {
    core::service_id service(Text());
    return {std::move(service), core::software_version(Text())};
  }
  std::vector<quarantine::suspected_part> Parts() {
    std::vector<quarantine::suspected_part> parts;
    for (std::size_t left = Length(2); left > 0; --left) {
      core::prompt_part_id part(Text());
      const std::int64_t level = Integer();
      if (level < 0 || level > kMaximumLevel) {
        throw core::invalid_value_error("level of a prompt part out of range");
      }
      parts.push_back({std::move(part), static_cast<int>(level)});
    }
    return parts;
  }
  /** Reads the length of a list whose items have `width` fields each. */
  std::size_t Length(std::size_t width) {
    const std::size_t length = Size();
    if (length > (fields_.size() - next_) / width) {
      throw core::invalid_value_error(
          "list length exceeds the remaining fields");
    }
    return length;
  }

 private:
  field& Next(field::kind expected) {
    if (next_ >= fields_.size()) {
      throw core::invalid_value_error("message has too few fields");
    }
    field& result = fields_[next_++];
    if (result.what != expected) {
      throw core::invalid_value_error("field " + std::to_string(next_ - 1) +
                                      " has an unexpected type");
    }
    return result;
  }

  std::vector<field>& fields_;
  std::size_t next_ = 0;
};

gateway_hello ReadHello(field_reader& in) {
  gateway_hello hello;
  hello.gateway = core::process_id(in.Text());
  hello.next_in = in.Time();
  hello.config.batch_slots = in.Size();
  hello.config.adapter_slots = in.Size();
  hello.config.cache_tokens = in.Integer();
  for (std::size_t left = in.Length(1); left > 0; --left) {
    hello.config.models.emplace_back(in.Text());
  }
  return hello;
}

grant_request ReadRequest(field_reader& in) {
  grant_request request;
  request.number = in.Size();
  request.request_id = in.Text();
  request.adapter = in.Adapter();
  request.minimum_version = in.Integer();
  request.priority = static_cast<int>(in.Integer());
  request.prompt_tokens = in.Integer();
  request.output_tokens = in.Integer();
  request.event_gap_target = in.Time();
  request.first_output_due_in = in.Time();
  request.deadline_in = in.Time();
  request.maximum_retry_after = in.Time();
  request.load_bound = static_cast<double>(in.Integer()) / kLoadScale;
  // Senders of earlier versions blame no parts.
  if (!in.AtEnd()) {
    request.isolated = in.Boolean();
    request.blamed_parts = in.Parts();
  }
  if (!in.AtEnd()) request.answer_due_in = in.Time();
  return request;
}

grant_refused ReadRefused(field_reader& in) {
  grant_refused refused;
  refused.number = in.Size();
  const std::string reason = in.Text();
  const auto known = ParseRefusalReason(reason);
  if (!known) {
    throw core::invalid_value_error("unknown refusal reason " + reason);
  }
  refused.reason = *known;
  refused.retry_after = in.Time();
  refused.expected_wait = in.Time();
  return refused;
}

status_report ReadStatus(field_reader& in) {
  status_report report;
  engine_status& status = report.status;
  status.serving = in.Boolean();
  status.running = in.Size();
  status.waiting = in.Size();
  status.batch_slots = in.Size();
  status.free_adapter_slots = in.Size();
  status.loads_waiting = in.Size();
  status.prefill_wait = in.Time();
  status.gateways = in.Size();
  status.adapters_revision = in.Size();
  report.next_in = in.Time();
  report.reader_rank = in.Size();
  report.has_adapters = in.Boolean();
  if (report.has_adapters) {
    for (std::size_t left = in.Length(2); left > 0; --left) {
      status.adapters.push_back(in.Adapter());
    }
  }
  // Senders of earlier versions know no limits.
  if (!in.AtEnd()) {
    status.limit = in.Rate();
    status.limit_wait = in.Time();
    report.limits_observed = in.Size();
  }
  if (!in.AtEnd()) status.engine_started_unix_ms = in.Integer();
  for (auto* names : {&report.adapters_added, &report.adapters_removed}) {
    if (in.AtEnd()) break;
    for (std::size_t left = in.Length(2); left > 0; --left) {
      names->push_back(in.Adapter());
    }
  }
  // Senders of earlier versions do not measure the speed.
  if (!in.AtEnd()) {
    status.token_time =
        core::microseconds(static_cast<std::int64_t>(in.Size()));
    status.prefill_rate = static_cast<double>(in.Size()) / kPrefillRateScale;
  }
  return report;
}

permit_request ReadPermit(field_reader& in) {
  permit_request permit;
  permit.number = in.Size();
  permit.endpoint = in.Incarnation();
  permit.is_fallback = in.Boolean();
  permit.rate = in.Rate().value_or(limits::request_rate());
  permit.priority = static_cast<int>(in.Integer());
  permit.deadline_in = in.Time();
  permit.maximum_retry_after = in.Time();
  return permit;
}

limit_observed ReadObservation(field_reader& in) {
  limit_observed observed;
  observed.endpoint = in.Incarnation();
  observed.own_engine = in.Boolean();
  observed.is_fallback = in.Boolean();
  observed.number = in.Size();
  observed.rate = in.Rate();
  observed.age = in.Time();
  return observed;
}

/** A monotonic clock that has run for longer than this is not plausible. */
constexpr core::milliseconds kMaximumClock = std::chrono::years(100);

change_batch ReadBatch(field_reader& in) {
  change_batch batch;
  batch.after = in.Integer();
  batch.revision = in.Integer();
  batch.age = in.Time();
  const bool has_outage = in.Boolean();
  for (std::size_t left = in.Length(2); left > 0; --left) {
    const std::int64_t revision = in.Integer();
    batch.documents.push_back({revision, in.Text()});
  }
  // Senders of the previous version set the flag without further fields.
  if (has_outage && !in.AtEnd()) {
    const std::int64_t revision = in.Integer();
    batch.last_outage = {{0, revision}, in.Time()};
  }
  // Senders of earlier versions know no eras.
  if (!in.AtEnd()) batch.era = in.Integer();
  if (batch.era < 0) throw core::invalid_value_error("negative era");
  if (!in.AtEnd()) {
    batch.sent_at = in.Time();
    if (batch.sent_at->count() < 0 || *batch.sent_at > kMaximumClock) {
      throw core::invalid_value_error("the time of a batch is out of range");
    }
  }
  if (batch.last_outage) batch.last_outage->position.era = batch.era;
  return batch;
}

crash_notice ReadCrash(field_reader& in) {
  quarantine::crash_record record;
  record.crash.sidecar = core::process_id(in.Text());
  record.crash.engine_started_unix_ms = in.Integer();
  record.age = in.Time();
  record.parts = in.Parts();
  for (auto& part : record.parts) part.cleared = in.Boolean();
  return {std::move(record)};
}

std::int64_t ReadAmount(field_reader& in) {
  const std::int64_t amount = in.Integer();
  if (amount < 0) throw core::invalid_value_error("negative amount");
  return amount;
}

quota_ask ReadQuotaAsk(field_reader& in) {
  quota_ask ask;
  ask.number = in.Size();
  ask.tenant = core::tenant_id(in.Text());
  ask.amount = ReadAmount(in);
  ask.minimum = ReadAmount(in);
  ask.rate = static_cast<double>(ReadAmount(in)) / kRateScale;
  ask.burst = static_cast<double>(ReadAmount(in)) / kRateScale;
  ask.configuration = in.Integer();
  ask.priority = static_cast<int>(in.Integer());
  ask.is_fallback = in.Boolean();
  ask.deadline_in = in.Time();
  return ask;
}

slot_ask ReadSlotAsk(field_reader& in) {
  slot_ask ask;
  ask.number = in.Size();
  ask.service = core::service_id(in.Text());
  ask.priority = static_cast<int>(in.Integer());
  ask.answer_due_in = in.Time();
  ask.deadline_in = in.Time();
  ask.maximum_retry_after = in.Time();
  for (std::size_t left = in.Length(4); left > 0; --left) {
    overload::slot_candidate candidate;
    candidate.endpoint = in.Incarnation();
    candidate.slots = in.Size();
    candidate.is_usable = in.Boolean();
    ask.candidates.push_back(std::move(candidate));
  }
  return ask;
}

slot_released ReadSlotReleased(field_reader& in) {
  slot_released released{in.Size()};
  const auto result = overload::ParseSlotResult(in.Text());
  if (!result) throw core::invalid_value_error("unknown result of a slot");
  released.result = *result;
  return released;
}

message ReadMessage(field_reader& in) {
  const std::int64_t kind = in.Integer();
  switch (static_cast<message_kind>(kind)) {
    case message_kind::hello:
      return ReadHello(in);
    case message_kind::request:
      return ReadRequest(in);
    case message_kind::withdrawn:
      return grant_withdrawn{in.Size()};
    case message_kind::started:
      return run_started{in.Size()};
    case message_kind::ended: {
      run_ended ended{in.Size()};
      ended.adapter_missing = in.Boolean();
      if (!in.AtEnd()) ended.lost = in.Boolean();
      if (!in.AtEnd()) {
        ended.output_tokens = static_cast<std::int64_t>(in.Size());
      }
      return ended;
    }
    case message_kind::stalled:
      return streams_stalled{};
    case message_kind::issued: {
      grant_issued issued{in.Size()};
      issued.version = in.Integer();
      issued.waited_for_load = in.Time();
      return issued;
    }
    case message_kind::refused:
      return ReadRefused(in);
    case message_kind::status:
      return ReadStatus(in);
    case message_kind::queued:
      return grant_queued{in.Size()};
    case message_kind::catalog:
      return ReadBatch(in);
    case message_kind::limit_observed:
      return ReadObservation(in);
    case message_kind::permit:
      return ReadPermit(in);
    case message_kind::run_checked: {
      const std::uint64_t number = in.Size();
      return run_checked{number, in.Boolean()};
    }
    case message_kind::crash:
      return ReadCrash(in);
    case message_kind::quota_ask:
      return ReadQuotaAsk(in);
    case message_kind::quota_answer: {
      quota_answer answer{in.Size(), core::tenant_id(in.Text())};
      answer.granted = ReadAmount(in);
      answer.retry_after = in.Time();
      return answer;
    }
    case message_kind::limit_notice: {
      limit_notice notice{in.Incarnation()};
      notice.rate = in.Rate();
      return notice;
    }
    case message_kind::slot_ask:
      return ReadSlotAsk(in);
    case message_kind::slot_released:
      return ReadSlotReleased(in);
    case message_kind::slot_issued: {
      const std::uint64_t number = in.Size();
      return slot_issued{number, in.Size()};
    }
    case message_kind::stream_began: {
      const origins::stream_key stream(in.Size());
      return stream_began{stream, in.Origin()};
    }
    case message_kind::origin_query: {
      const std::uint64_t number = in.Size();
      return origin_query{number, origins::stream_key(in.Size())};
    }
    case message_kind::origin_answer: {
      origin_answer answer{in.Size(), std::nullopt};
      if (in.Boolean()) answer.origin = in.Origin();
      return answer;
    }
  }
  throw core::invalid_value_error("unknown message kind " +
                                  std::to_string(kind));
}

}  // namespace

std::string Encode(const message& value) {
  return std::visit(
      core::overloaded{
          [](const gateway_hello& hello) { return EncodeHello(hello); },
          [](const grant_request& request) {
            return field_writer(message_kind::request)
                .Add(request.number)
                .Add(request.request_id)
                .Add(request.adapter)
                .Add(request.minimum_version)
                .Add(request.priority)
                .Add(request.prompt_tokens)
                .Add(request.output_tokens)
                .Add(request.event_gap_target)
                .Add(request.first_output_due_in)
                .Add(request.deadline_in)
                .Add(request.maximum_retry_after)
                .Add(static_cast<std::int64_t>(
                    std::llround(request.load_bound * kLoadScale)))
                .Add(request.isolated)
                .Add(request.blamed_parts)
                .Add(request.answer_due_in)
                .Finish();
          },
          [](const grant_withdrawn& withdrawn) {
            return field_writer(message_kind::withdrawn)
                .Add(withdrawn.number)
                .Finish();
          },
          [](const run_started& started) {
            return field_writer(message_kind::started)
                .Add(started.number)
                .Finish();
          },
          [](const run_ended& ended) {
            return field_writer(message_kind::ended)
                .Add(ended.number)
                .Add(ended.adapter_missing)
                .Add(ended.lost)
                .Add(ended.output_tokens)
                .Finish();
          },
          [](const streams_stalled&) {
            return field_writer(message_kind::stalled).Finish();
          },
          [](const permit_request& permit) {
            return field_writer(message_kind::permit)
                .Add(permit.number)
                .Add(permit.endpoint)
                .Add(permit.is_fallback)
                .Add(std::optional(permit.rate))
                .Add(permit.priority)
                .Add(permit.deadline_in)
                .Add(permit.maximum_retry_after)
                .Finish();
          },
          [](const run_checked& checked) {
            return field_writer(message_kind::run_checked)
                .Add(checked.number)
                .Add(checked.engine_ended)
                .Finish();
          },
          [](const crash_notice& notice) { return EncodeCrash(notice.record); },
          [](const limit_notice& notice) {
            return field_writer(message_kind::limit_notice)
                .Add(notice.endpoint)
                .Add(notice.rate)
                .Finish();
          },
          [](const limit_observed& observed) {
            return field_writer(message_kind::limit_observed)
                .Add(observed.endpoint)
                .Add(observed.own_engine)
                .Add(observed.is_fallback)
                .Add(observed.number)
                .Add(observed.rate)
                .Add(observed.age)
                .Finish();
          },
          [](const grant_queued& queued) {
            return field_writer(message_kind::queued)
                .Add(queued.number)
                .Finish();
          },
          [](const grant_issued& issued) {
            return field_writer(message_kind::issued)
                .Add(issued.number)
                .Add(issued.version)
                .Add(issued.waited_for_load)
                .Finish();
          },
          [](const grant_refused& refused) {
            return field_writer(message_kind::refused)
                .Add(refused.number)
                .Add(std::string(ToString(refused.reason)))
                .Add(refused.retry_after)
                .Add(refused.expected_wait)
                .Finish();
          },
          [](const slot_ask& ask) { return EncodeSlotAsk(ask); },
          [](const slot_released& released) {
            return field_writer(message_kind::slot_released)
                .Add(released.number)
                .Add(std::string(ToString(released.result)))
                .Finish();
          },
          [](const slot_issued& issued) {
            return field_writer(message_kind::slot_issued)
                .Add(issued.number)
                .Add(issued.candidate)
                .Finish();
          },
          [](const stream_began& began) {
            return field_writer(message_kind::stream_began)
                .Add(began.stream.Value())
                .Add(began.origin)
                .Finish();
          },
          [](const origin_query& query) {
            return field_writer(message_kind::origin_query)
                .Add(query.number)
                .Add(query.stream.Value())
                .Finish();
          },
          [](const origin_answer& answer) {
            field_writer out(message_kind::origin_answer);
            out.Add(answer.number).Add(answer.origin.has_value());
            if (answer.origin) out.Add(*answer.origin);
            return out.Finish();
          },
          [](const status_report& report) { return EncodeStatus(report); },
          [](const change_batch& batch) { return EncodeBatch(batch); },
          [](const quota_ask& ask) { return EncodeQuotaAsk(ask); },
          [](const quota_answer& answer) {
            return field_writer(message_kind::quota_answer)
                .Add(answer.number)
                .Add(answer.tenant.Value())
                .Add(answer.granted)
                .Add(answer.retry_after)
                .Finish();
          }},
      value);
}

message Decode(std::string_view frame) {
  // The library recurses into what it then rejects.
  if (!core::IsCborNestedWithin(frame, 1)) {
    throw core::invalid_value_error("unreadable message: not a flat array");
  }
  field_collector collector;
  const bool whole = json::sax_parse(frame.begin(), frame.end(), &collector,
                                     json::input_format_t::cbor);
  if (!whole) {
    throw core::invalid_value_error("unreadable message: " + collector.error);
  }
  field_reader reader(collector.fields);
  return ReadMessage(reader);
}

}  // namespace comfreyspring::grants
