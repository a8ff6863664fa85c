#include "trace/field_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <string>
#include <utility>
#include <variant>

#include "trace/router_format.h"
#include "trace/scheduler_format.h"
#include "trace/trace_reader.h"

namespace comfreyspring::trace {
namespace {

constexpr core::time_point kStart{core::microseconds(123456789)};

/** Visitor that gives every field of an item an arbitrary value. */
class field_randomizer {
 public:
  template <class Value>
  void operator()(std::string_view, Value& value) {
    Set(value);
  }
  template <class Value>
  void Required(std::string_view, Value& value) {
    Set(value);
  }

 private:
  static std::string Text() { return *rc::gen::arbitrary<std::string>(); }

  static void Set(std::string& value) { value = Text(); }
  template <class Tag>
  static void Set(core::strong_id<Tag>& value) {
    value = core::strong_id<Tag>(Text());
  }
  static void Set(core::adapter_reference& value) {
    // The decoder splits at the last @, so a version must not contain one.
    std::string version = Text();
    std::erase(version, '@');
    value = {core::adapter_id(Text()), core::version_id(version)};
  }
  static void Set(double& value) {
    value = *rc::gen::arbitrary<double>();
    if (!std::isfinite(value)) value = 0.1;
  }
  template <class Number>
  requires(std::integral<Number>) static void Set(Number& value) {
    value = *rc::gen::arbitrary<Number>();
  }
  template <class Rep, class Period>
  static void Set(std::chrono::duration<Rep, Period>& value) {
    value = std::chrono::duration<Rep, Period>(*rc::gen::arbitrary<int>());
  }
  static void Set(core::time_point& value) {
    value = kStart + core::microseconds(*rc::gen::arbitrary<int>());
  }
  static void Set(core::wall_time& value) {
    value = core::WallTimeFromUnix(*rc::gen::arbitrary<int>());
  }
  static void Set(core::token_count& value) { Set(value.value); }
  static void Set(core::priority_class& value) {
    value = *rc::gen::element(core::priority_class::urgent,
                              core::priority_class::may_wait);
  }
  static void Set(core::outcome& value) {
    value = *rc::gen::element(core::outcome::not_run, core::outcome::unknown,
                              core::outcome::incomplete);
  }
  static void Set(core::request_kind& value) {
    value = *rc::gen::element(core::request_kind::completion,
                              core::request_kind::service_call);
  }
  static void Set(core::endpoint_kind& value) {
    value = *rc::gen::element(core::endpoint_kind::engine,
                              core::endpoint_kind::plain_service);
  }
  template <class Value>
  static void Set(std::optional<Value>& value) {
    value.reset();
    if (*rc::gen::arbitrary<bool>()) Set(value.emplace());
  }
  template <class Value>
  static void Set(std::vector<Value>& values) {
    values.resize(*rc::gen::inRange<std::size_t>(0, 4));
    for (Value& value : values) Set(value);
  }
};

template <class Item>
std::vector<std::pair<std::string, std::string>> AllFields(const Item& item) {
  field_writer writer(kStart);
  item_format<Item>::Fields(item, writer);
  std::vector<std::pair<std::string, std::string>> fields;
  for (const trace_field& field : writer.Fields()) {
    fields.emplace_back(field.key, field.value);
  }
  return fields;
}

template <class Item>
void CheckRoundTrip() {
  Item item{};
  field_randomizer randomizer;
  item_format<Item>::Fields(item, randomizer);
  trace_line line = ToLine(item, kStart);
  line.time_us = 5;
  const trace_line read = ParseTraceLine(FormatTraceLine(line), 1);
  RC_ASSERT(AllFields(FromLine<Item>(read, kStart)) == AllFields(item));
}

/** Checks that every alternative of the variant survives a round trip. */
template <class Variant>
void CheckAlternatives() {
  [&]<std::size_t... Index>(std::index_sequence<Index...>) {
    (CheckRoundTrip<std::variant_alternative_t<Index, Variant>>(), ...);
  }
  (std::make_index_sequence<std::variant_size_v<Variant>>());
}

// A field that is only written or only read makes a replay differ from the
// recording.
RC_GTEST_PROP(FieldCodec, RouterEventsSurviveARoundTrip, ()) {
  CheckAlternatives<router_subject::event>();
  CheckAlternatives<router_subject::action>();
}

RC_GTEST_PROP(FieldCodec, SchedulerEventsSurviveARoundTrip, ()) {
  CheckAlternatives<scheduler_subject::event>();
  CheckAlternatives<scheduler_subject::action>();
}

template <class Variant>
void CheckNames() {
  [&]<std::size_t... Index>(std::index_sequence<Index...>) {
    const auto check = [](const auto& item, std::size_t index) {
      field_writer fields(kStart);
      item_format<std::decay_t<decltype(item)>>::Fields(item, fields);
      trace_line line;
      line.name = item_format<std::decay_t<decltype(item)>>::kName;
      line.fields = fields.Fields();
      const auto found = FromLineByName<Variant>(line, kStart);
      ASSERT_TRUE(found);
      EXPECT_EQ(found->index(), index) << line.name;
    };
    (check(std::variant_alternative_t<Index, Variant>{}, Index), ...);
  }
  (std::make_index_sequence<std::variant_size_v<Variant>>());
}

// Of two items with the same name, only the first would ever be read.
TEST(FieldCodec, NamesAreUnique) {
  CheckNames<router_subject::event>();
  CheckNames<router_subject::action>();
  CheckNames<scheduler_subject::event>();
  CheckNames<scheduler_subject::action>();
}

TEST(FieldCodec, LeavesOutDefaults) {
  wire::withdrawn message;
  message.attempt = core::attempt_id("r1.1");
  EXPECT_EQ(FormatTraceLine(ToLine(message, kStart)), "withdrawn attempt=r1.1");
}

}  // namespace
}  // namespace comfreyspring::trace
