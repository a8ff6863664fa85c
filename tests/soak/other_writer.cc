#include "other_writer.h"

#include <algorithm>
#include <array>

namespace comfreyspring::soak {
namespace {

constexpr std::size_t kKeys = 60;
/** The first keys have large values. */
constexpr std::size_t kLargeItems = 3;
constexpr std::size_t kLargeBytes = 200'000;
constexpr core::milliseconds kWritePeriod{100};
constexpr std::size_t kLongestKey = 200;
constexpr int kDeepNesting = 5000;

}  // namespace

other_writer::other_writer(net::event_loop& loop,
                           process_test::store_stand_in& store, unsigned seed)
    : loop_(loop), store_(store), random_(seed) {
  for (std::size_t i = 0; i < kKeys; ++i) keys_.push_back(DrawKey());
}

other_writer::~other_writer() { loop_.Cancel(timer_); }

void other_writer::Start() {
  for (std::size_t i = 0; i < keys_.size(); ++i) Write();
  timer_ = loop_.SchedulePeriodic(kWritePeriod, [this] { Write(); });
}

void other_writer::Write() {
  const std::size_t chosen = Pick(keys_.size());
  if (Pick(4) == 0) {
    store_.Remove(keys_[chosen]);
  } else if (chosen < kLargeItems) {
    store_.PutBytes(keys_[chosen], std::string(kLargeBytes, 'x'));
  } else {
    store_.PutBytes(keys_[chosen], DrawValue());
  }
}

std::string other_writer::DrawKey() {
  static const std::array<std::string, 4> kFamilies = {"", "op/", "op/version/",
                                                       "servers/"};
  // Beside the keys of others, so that they end the same pages.
  static const std::array<std::string, 5> kBeginnings = {
      "", "", "config", "instance-", "instance-1"};
  static const std::array<std::string, 16> kTexts = {
      "%7E",      "%7e%7E", "~%21",         "z%00",         "%25",  "%",
      "%2",       "a00%20", "a01%20zz",     "a02&b=",       "a03+", "a#b?c",
      "&after=~", "\u00e9", "\u4e2d\u6587", "\U0001F600/.."};
  std::string key = kFamilies.at(Pick(kFamilies.size())) +
                    kBeginnings.at(Pick(kBeginnings.size()));
  switch (Pick(4)) {
    case 0:
      key += kTexts.at(Pick(kTexts.size()));
      break;
    case 1:
      key.resize(kLongestKey, Pick(2) == 0 ? '~' : ' ');
      break;
    default:
      // The letter keeps it from being the key of an endpoint.
      const bool ends_with_letter = Pick(2) == 0;
      if (!ends_with_letter) key += 'k';
      for (std::size_t left = 1 + Pick(3); left > 0; --left) {
        key += static_cast<char>(Pick(0x80));
      }
      if (ends_with_letter) key += 'k';
  }
  return key;
}

std::string other_writer::DrawValue() {
  static const std::array<std::string, 14> kValues = {
      "",
      "{",
      "idle",
      std::string("\x00\xff\xfe{", 4),
      "null",
      "[]",
      "1e999",
      "\"\\ud800\"",
      std::string(kDeepNesting, '['),
      R"({"Owner":"backup","State":"draining"})",
      R"({"Version":"x","Routes":"none"})",
      R"({"Service":5,"Addr":[]})",
      R"({"Model":"m","Version":-1})",
      std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']')};
  return kValues.at(Pick(kValues.size()));
}

std::size_t other_writer::Pick(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

}  // namespace comfreyspring::soak
