#include "store_stand_in.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;
using nlohmann::json;

/** Delay of each answer in mode `slow`. */
constexpr milliseconds kSlowAnswer{900};
/** Older states cannot be restored. */
constexpr core::seconds kOldestCopy{60};

std::string Base64(const std::string& text) {
  static const std::string kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits =
          bits << 8 |
          (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k > text.size() ? '=' : kDigits[bits >> (18 - 6 * k) & 63];
    }
  }
  return out;
}

/** @returns nothing if a byte should have been encoded. */
std::optional<std::string> DecodePercent(const std::string& text) {
  static const std::string kPlain =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/:";
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '%') {
      if (kPlain.find(text[at]) == std::string::npos) return std::nullopt;
      decoded += text[at];
      continue;
    }
    unsigned byte = 0;
    const char* digits = text.data() + at + 1;
    const char* end = text.data() + std::min(text.size(), at + 3);
    const auto parsed = std::from_chars(digits, end, byte, 16);
    if (parsed.ec != std::errc() || parsed.ptr != digits + 2) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byte);
    at += 2;
  }
  return decoded;
}

}  // namespace

store_stand_in::store_stand_in(net::event_loop& loop, const std::string& ip,
                               std::uint16_t port)
    : loop_(loop),
      server_(loop, {.address = ip, .port = port},
              [this](auto exchange) { Answer(std::move(exchange)); }) {
  KeepCopy();
}

void store_stand_in::Put(const std::string& key, const json& value) {
  PutBytes(key, value.dump());
}

void store_stand_in::PutBytes(const std::string& key,
                              const std::string& value) {
  const auto item = std::make_shared<const json>(json{{"Key", key},
                                                      {"Value", Base64(value)},
                                                      {"Rev", revision_ + 1},
                                                      {"Created", 1},
                                                      {"Lease", 0}});
  items_[key] = item;
  Record(item);
}

void store_stand_in::Remove(const std::string& key) {
  if (items_.erase(key) == 0) return;
  Record(std::make_shared<const json>(
      json{{"Key", key}, {"Rev", revision_ + 1}, {"Deleted", true}}));
}

void store_stand_in::ForgetHistory() {
  history_.clear();
  oldest_revision_ = ++revision_;
  KeepCopy();
  AbortWatches();
}

void store_stand_in::Restore(milliseconds age) {
  const auto until = loop_.Now() - age;
  // The first copy stands for all earlier states.
  const auto later =
      std::find_if(std::next(copies_.begin()), copies_.end(),
                   [&](const copy& each) { return each.since > until; });
  const copy& restored = *std::prev(later);
  items_ = restored.items;
  history_ = restored.history;
  revision_ = restored.revision;
  oldest_revision_ = restored.oldest_revision;
  ++era_;
  KeepCopy();
  AbortWatches();
}

std::vector<std::string> store_stand_in::Keys(const std::string& prefix) const {
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix)) keys.push_back(key);
  }
  return keys;
}

void store_stand_in::KeepCopy() {
  copies_.push_back(
      {loop_.Now(), items_, history_, revision_, oldest_revision_});
  while (copies_.size() > 1 && copies_[1].since < loop_.Now() - kOldestCopy) {
    copies_.pop_front();
  }
}

void store_stand_in::AbortWatches() {
  for (const auto& exchange : std::exchange(pending_watches_, {})) {
    exchange->Abort();
  }
}

void store_stand_in::SetMode(store_mode mode) {
  mode_ = mode;
  if (mode == store_mode::up || mode == store_mode::slow) return;
  for (auto& exchange : std::exchange(pending_watches_, {})) {
    if (mode == store_mode::silent) {
      unanswered_.push_back(std::move(exchange));
    } else {
      exchange->Abort();
    }
  }
}

void store_stand_in::Record(document event) {
  ++revision_;
  history_.push_back(std::move(event));
  KeepCopy();
  for (const auto& exchange : std::exchange(pending_watches_, {})) {
    if (EventsFor(ReadQuery(exchange->Request()).value()).empty()) {
      pending_watches_.push_back(exchange);
    } else {
      SendEvents(*exchange);
    }
  }
}

void store_stand_in::Respond(net::http_exchange& exchange, int status,
                             std::string body) const {
  net::header_map headers;
  if (names_era_) headers["store-era"] = std::to_string(era_);
  exchange.Respond({status, std::move(headers), std::move(body)});
}

void store_stand_in::Answer(exchange_pointer exchange) {
  ++calls_;
  const auto query = ReadQuery(exchange->Request());
  const bool is_first_page = exchange->Request().path == "/v1/kv-range" &&
                             query && query->count("after") == 0;
  // Each such read begins with the operator's items.
  if (is_first_page && query->count("Prefix") > 0 &&
      query->at("Prefix") == "op/")
    ++full_reads_;
  switch (mode_) {
    case store_mode::unavailable:
      Respond(*exchange, 503);
      return;
    case store_mode::throttled:
      Respond(*exchange, 429);
      return;
    case store_mode::silent:
      unanswered_.push_back(std::move(exchange));
      return;
    case store_mode::slow:
      loop_.Schedule(kSlowAnswer, [this, exchange] { AnswerNow(exchange); });
      return;
    case store_mode::up:
      AnswerNow(std::move(exchange));
  }
}

std::optional<store_stand_in::parameters> store_stand_in::ReadQuery(
    const net::http_request& request) {
  parameters query;
  const std::size_t begin = request.target.find('?');
  std::string rest = begin == std::string::npos
                         ? std::string()
                         : request.target.substr(begin + 1);
  while (!rest.empty()) {
    const std::string field = rest.substr(0, rest.find('&'));
    rest.erase(0, field.size() + 1);
    const std::size_t equals = field.find('=');
    if (equals == std::string::npos) return std::nullopt;
    auto value = DecodePercent(field.substr(equals + 1));
    const std::string name = field.substr(0, equals);
    if (!value || !query.emplace(name, std::move(*value)).second) {
      return std::nullopt;
    }
  }
  return query;
}

void store_stand_in::AnswerNow(exchange_pointer exchange) {
  const auto query = ReadQuery(exchange->Request());
  if (!query || query->count("Prefix") == 0) {
    Respond(*exchange, 400);
  } else if (exchange->Request().path == "/v1/kv-range") {
    AnswerRange(*exchange, *query);
  } else {
    AnswerWatch(std::move(exchange), *query);
  }
}

void store_stand_in::AnswerRange(net::http_exchange& exchange,
                                 const parameters& query) const {
  const std::string& prefix = query.at("Prefix");
  const auto after = query.find("after");
  const bool restarts = after != query.end() && !restarts_after_.empty() &&
                        after->second == restarts_after_;
  auto next = after == query.end() || restarts
                  ? items_.lower_bound(prefix)
                  : items_.upper_bound(std::max(after->second, prefix));
  const auto is_listed = [&] {
    return next != items_.end() && next->first.starts_with(prefix);
  };
  json items = json::array();
  for (; is_listed() && items.size() < page_items_; ++next) {
    items.push_back(*next->second);
  }
  const bool is_truncated = is_listed();
  Respond(exchange, 200,
          json{{"items", std::move(items)},
               {"Truncated", is_truncated},
               {"AsOf", revision_}}
              .dump());
}

void store_stand_in::AnswerWatch(exchange_pointer exchange,
                                 const parameters& query) {
  const std::int64_t after = std::stoll(query.at("after"));
  if (after < oldest_revision_ || after > revision_) {
    Respond(*exchange, 410);
    return;
  }
  if (!EventsFor(query).empty()) {
    SendEvents(*exchange);
    return;
  }
  pending_watches_.push_back(exchange);
  loop_.Schedule(milliseconds(std::stoi(query.at("WaitMs"))), [this, exchange] {
    if (std::erase(pending_watches_, exchange) > 0) {
      SendEvents(*exchange);
    }
  });
}

json store_stand_in::EventsFor(const parameters& query) const {
  const auto after = std::stoll(query.at("after"));
  json events = json::array();
  for (const auto& event : history_) {
    if (event->at("Rev").get<std::int64_t>() > after &&
        event->at("Key").get_ref<const std::string&>().starts_with(
            query.at("Prefix"))) {
      events.push_back(*event);
    }
  }
  return events;
}

void store_stand_in::SendEvents(net::http_exchange& exchange) const {
  const json events = EventsFor(ReadQuery(exchange.Request()).value());
  Respond(exchange, 200, json{{"events", events}, {"AsOf", revision_}}.dump());
}

}  // namespace comfreyspring::process_test
