#include "core/nesting.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace comfreyspring::core {
namespace {

/** Major types of RFC 8949, in the upper three bits of an item's first byte. */
enum class cbor_type : std::uint8_t {
  unsigned_integer,
  negative_integer,
  bytes,
  text,
  array,
  map,
  tag,
  simple
};

struct cbor_head {
  cbor_type type = cbor_type::unsigned_integer;
  /** Value, length or number of members. */
  std::uint64_t argument = 0;
};

/** @returns nothing if the head is cut off or of indefinite length. */
std::optional<cbor_head> ReadHead(std::string_view& rest) {
  if (rest.empty()) return std::nullopt;
  const auto first = static_cast<unsigned char>(rest.front());
  rest.remove_prefix(1);
  cbor_head head{.type = static_cast<cbor_type>(first >> 5U),
                 .argument = first & 31U};
  constexpr std::uint64_t kFirstLength = 24;
  constexpr std::uint64_t kLastLength = 27;
  if (head.argument < kFirstLength) return head;
  if (head.argument > kLastLength) return std::nullopt;
  const std::size_t size = std::size_t{1} << (head.argument - kFirstLength);
  if (rest.size() < size) return std::nullopt;
  head.argument = 0;
  for (const char byte : rest.substr(0, size)) {
    head.argument = head.argument << 8U | static_cast<unsigned char>(byte);
  }
  rest.remove_prefix(size);
  return head;
}

}  // namespace

bool IsNestedWithin(std::string_view json_text, std::size_t depth) {
  std::size_t level = 0;
  bool in_string = false;
  for (std::size_t at = 0; at < json_text.size(); ++at) {
    const char character = json_text[at];
    if (in_string) {
      if (character == '\\') ++at;
      if (character == '"') in_string = false;
      continue;
    }
    switch (character) {
      case '"':
        in_string = true;
        break;
      case '[':
      case '{':
        if (++level > depth) return false;
        break;
      case ']':
      case '}':
        if (level > 0) --level;
        break;
      default:
        break;
    }
  }
  return true;
}

bool IsCborNestedWithin(std::string_view frame, std::size_t depth) {
  // Members that are left in each open array and map.
  std::vector<std::uint64_t> open;
  do {
    const auto head = ReadHead(frame);
    if (!head) return false;
    switch (head->type) {
      case cbor_type::bytes:
      case cbor_type::text:
        if (head->argument > frame.size()) return false;
        frame.remove_prefix(head->argument);
        break;
      case cbor_type::array:
      case cbor_type::map:
        if (head->argument > frame.size() || open.size() >= depth) return false;
        open.push_back(head->type == cbor_type::map ? 2 * head->argument
                                                    : head->argument);
        // The first member is counted below.
        if (open.back() > 0) continue;
        break;
      case cbor_type::tag:
        return false;
      case cbor_type::unsigned_integer:
      case cbor_type::negative_integer:
      case cbor_type::simple:
        break;
    }
    while (!open.empty() && (open.back() == 0 || --open.back() == 0)) {
      open.pop_back();
    }
  } while (!open.empty());
  return true;
}

}  // namespace comfreyspring::core
