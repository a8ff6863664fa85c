#pragma once

#include <algorithm>
#include <optional>
#include <string_view>
#include <type_traits>
#include <vector>

#include "trace/field_values.h"
#include "trace/trace_line.h"

namespace comfreyspring::trace {

/**
 * Describes the name and fields of an event or action type. A specialization
 * has `static constexpr std::string_view kName` and `template <class Self,
 * class Visitor> static void Fields(Self& self, Visitor& visit)`, which passes
 * every field to `visit(key, member)` or `visit.Required(key, member)`. The
 * same list is used for reading and writing.
 */
template <class Item>
struct item_format;

/** Collects the fields of an item as text. */
class field_writer {
 public:
  explicit field_writer(core::time_point start) : start_(start) {}

  template <class Value>
  void operator()(std::string_view key, const Value& value) {
    fields_.push_back({std::string(key), Encode(value, start_)});
  }
  template <class Value>
  void operator()(std::string_view key, const std::optional<Value>& value) {
    if (value) (*this)(key, *value);
  }
  template <class Value>
  void operator()(std::string_view key, const std::vector<Value>& values) {
    for (const Value& value : values) (*this)(key, value);
  }
  template <class Value>
  void Required(std::string_view key, const Value& value) {
    (*this)(key, value);
    ++required_;
  }

  const std::vector<trace_field>& Fields() const { return fields_; }
  /** Number of leading fields that are written even at their default value. */
  std::size_t RequiredCount() const { return required_; }

 private:
  core::time_point start_;
  std::vector<trace_field> fields_;
  std::size_t required_ = 0;
};

/** Fills an item from a line; fields not present keep their defaults. */
class field_reader {
 public:
  field_reader(const trace_line& line, core::time_point start)
      : line_(line), start_(start), used_(line.fields.size(), false) {}

  template <class Value>
  void operator()(std::string_view key, Value& value) {
    TakeNextField(key, value);
  }
  template <class Value>
  void operator()(std::string_view key, std::optional<Value>& value) {
    Value read{};
    if (TakeNextField(key, read)) value = read;
  }
  template <class Value>
  void operator()(std::string_view key, std::vector<Value>& values) {
    Value read{};
    while (TakeNextField(key, read)) values.push_back(read);
  }
  template <class Value>
  void Required(std::string_view key, Value& value) {
    if (TakeNextField(key, value)) return;
    throw trace_error(
        line_.number, line_.name_column,
        line_.name + " lacks the required field " + std::string(key));
  }

  /** @throws trace_error if the line has an unknown or repeated field. */
  void Finish() const {
    for (std::size_t i = 0; i < used_.size(); ++i) {
      if (used_[i]) continue;
      throw trace_error(line_.number, line_.fields[i].column,
                        line_.name + " has an unknown or repeated field: " +
                            line_.fields[i].key);
    }
  }

 private:
  template <class Value>
  bool TakeNextField(std::string_view key, Value& value) {
    for (std::size_t i = 0; i < used_.size(); ++i) {
      const trace_field& field = line_.fields[i];
      if (used_[i] || field.key != key) continue;
      used_[i] = true;
      try {
        Decode(field.value, start_, value);
      } catch (const core::error& failure) {
        throw trace_error(line_.number, field.column,
                          field.key + ": " + failure.what());
      }
      return true;
    }
    return false;
  }

  const trace_line& line_;
  core::time_point start_;
  std::vector<bool> used_;
};

/** Converts an item to a line; optional fields at their default are omitted. */
template <class Item>
trace_line ToLine(const Item& item, core::time_point start) {
  using format = item_format<Item>;
  field_writer fields(start);
  format::Fields(item, fields);
  field_writer defaults(start);
  const Item default_item{};
  format::Fields(default_item, defaults);
  trace_line line;
  line.name = format::kName;
  for (const trace_field& field : fields.Fields()) {
    const bool required = line.fields.size() < fields.RequiredCount();
    const bool is_default = std::any_of(
        defaults.Fields().begin(), defaults.Fields().end(),
        [&](const trace_field& other) {
          return other.key == field.key && other.value == field.value;
        });
    if (required || !is_default) line.fields.push_back(field);
  }
  return line;
}

/** @throws trace_error if a field is unknown, repeated, missing or invalid. */
template <class Item>
Item FromLine(const trace_line& line, core::time_point start) {
  Item item{};
  field_reader reader(line, start);
  item_format<Item>::Fields(item, reader);
  reader.Finish();
  return item;
}

}  // namespace comfreyspring::trace
