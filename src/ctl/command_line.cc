#include "ctl/command_line.h"

#include <getopt.h>

#include <charconv>
#include <utility>

namespace comfreyspring::ctl {
namespace {

std::vector<::option> LongOptions(const std::vector<option>& options) {
  std::vector<::option> table;
  for (const option& item : options) {
    table.push_back({item.name.c_str(),
                     item.takes_value ? required_argument : no_argument,
                     nullptr, 0});
  }
  table.push_back({"help", no_argument, nullptr, 0});
  table.push_back({nullptr, 0, nullptr, 0});
  return table;
}

}  // namespace

command_line::command_line(const std::vector<std::string>& arguments,
                           const std::vector<option>& options) {
  std::vector<std::string> words = {"comfreyspringctl"};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  for (std::string& word : words) pointers.push_back(word.data());
  const int count = static_cast<int>(pointers.size());
  pointers.push_back(nullptr);
  const std::vector<::option> table = LongOptions(options);
  // optind 0 resets the state of an earlier getopt_long scan; ':' suppresses
  // its error output.
  optind = 0;
  while (true) {
    int index = 0;
    const int found =
        getopt_long(count, pointers.data(), ":", table.data(), &index);
    if (found == -1) break;
    if (found != 0) {
      const std::string word = pointers[static_cast<std::size_t>(optind) - 1];
      throw usage_error(found == ':' ? "option '" + word + "' requires a value"
                                     : "invalid option '" + word + "'");
    }
    values_[table[static_cast<std::size_t>(index)].name] =
        optarg == nullptr ? "" : optarg;
  }
  if (optind < count) {
    throw usage_error("argument '" +
                      std::string(pointers[static_cast<std::size_t>(optind)]) +
                      "' is unexpected");
  }
}

bool command_line::Has(const std::string& name) const {
  return values_.count(name) != 0;
}

std::string command_line::Required(const std::string& name) const {
  const auto text = Text(name);
  if (!text) throw usage_error("option --" + name + " is required");
  if (text->empty())
    throw usage_error("option --" + name + " requires a value");
  return *text;
}

std::optional<std::string> command_line::Text(const std::string& name) const {
  const auto found = values_.find(name);
  if (found == values_.end()) return std::nullopt;
  return found->second;
}

std::optional<std::int64_t> command_line::Number(const std::string& name,
                                                 std::int64_t minimum) const {
  const auto text = Text(name);
  if (!text) return std::nullopt;
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto result = std::from_chars(text->data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value < minimum) {
    throw usage_error("option --" + name + ": value '" + *text +
                      "' is not an integer of at least " +
                      std::to_string(minimum));
  }
  return value;
}

}  // namespace comfreyspring::ctl
