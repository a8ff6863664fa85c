#include "telemetry/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyspring::telemetry {
namespace {

/** Longer values, such as data from a faulty peer, are truncated. */
constexpr std::size_t kMaximumValueBytes = 300;

bool NeedsEscape(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < 0x20 || byte >= 0x7f || c == '"' || c == '\\';
}

/** Appends a JSON string in ASCII. Bytes that are no UTF-8 become U+FFFD. */
void AppendQuoted(std::string& text, std::string_view value) {
  value = value.substr(0, kMaximumValueBytes);
  if (std::none_of(value.begin(), value.end(), NeedsEscape)) {
    text += '"';
    text += value;
    text += '"';
    return;
  }
  text += nlohmann::json(value).dump(-1, ' ', true,
                                     nlohmann::json::error_handler_t::replace);
}

/** Token bucket that limits lines per second; holds one second of tokens. */
class line_rate_limiter {
 public:
  explicit line_rate_limiter(double per_second)
      : per_second_(per_second), tokens_(per_second) {}

  bool TryTake(core::wall_time now) {
    if (now > updated_) {
      const double elapsed =
          std::chrono::duration<double>(now - updated_).count();
      tokens_ = std::min(per_second_, tokens_ + elapsed * per_second_);
    }
    // Updated even if the clock was set back; otherwise no tokens would be
    // added until it reaches its previous value again.
    updated_ = now;
    if (tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

 private:
  double per_second_;
  double tokens_;
  core::wall_time updated_;
};

}  // namespace

struct event_log::impl {
  std::string process;
  event_log_options options;
  std::function<core::wall_time()> clock;
  writer write;
  std::array<line_rate_limiter, 3> rates;
  std::string buffer;
  std::size_t written = 0;
  std::uint64_t dropped = 0;
  std::uint64_t dropped_reported = 0;
};

event_log::line::line(event_log* log, std::string_view event) : log_(log) {
  if (log_ == nullptr) return;
  text_.reserve(256);
  text_ += "{\"time_ms\":";
  text_ += std::to_string(core::UnixMilliseconds(log_->impl_->clock()));
  Add("process", log_->impl_->process);
  Add("event", event);
}

event_log::line::line(line&& other) noexcept
    : log_(std::exchange(other.log_, nullptr)), text_(std::move(other.text_)) {}

event_log::line::~line() {
  if (log_ == nullptr) return;
  text_ += "}\n";
  log_->Finish(std::move(text_));
}

event_log::line& event_log::line::Add(std::string_view name,
                                      std::string_view value) {
  if (log_ == nullptr) return *this;
  text_ += ",\"";
  text_ += name;
  text_ += "\":";
  AppendQuoted(text_, value);
  return *this;
}

event_log::line& event_log::line::Add(std::string_view name,
                                      std::int64_t value) {
  if (log_ == nullptr) return *this;
  text_ += ",\"";
  text_ += name;
  text_ += "\":";
  text_ += std::to_string(value);
  return *this;
}

event_log::line& event_log::line::Add(std::string_view name, bool value) {
  if (log_ == nullptr) return *this;
  text_ += ",\"";
  text_ += name;
  text_ += value ? "\":true" : "\":false";
  return *this;
}

event_log::event_log(std::string process, event_log_options options,
                     std::function<core::wall_time()> clock, writer write)
    : impl_(new impl{std::move(process),
                     options,
                     std::move(clock),
                     std::move(write),
                     {line_rate_limiter(options.routine_per_second),
                      line_rate_limiter(options.failures_per_second),
                      line_rate_limiter(options.system_events_per_second)},
                     {}}) {}

event_log::~event_log() { Flush(); }

event_log::writer event_log::StandardOutput() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  return [](std::string_view text) -> std::int64_t {
    return ::write(STDOUT_FILENO, text.data(), text.size());
  };
}

event_log::line event_log::Process(std::string_view event) {
  return line(this, event);
}

event_log::line event_log::SystemEvent(std::string_view event) {
  return line(Admit(line_class::system) ? this : nullptr, event);
}

event_log::line event_log::Dependency(std::string_view name,
                                      std::string_view change) {
  line result(Admit(line_class::system) ? this : nullptr, "dependency");
  result.Add("name", name).Add("change", change);
  return result;
}

event_log::line event_log::Request(line_class kind, std::string_view event,
                                   std::string_view request_id) {
  line result(Admit(kind) ? this : nullptr, event);
  result.Add("request", request_id);
  return result;
}

bool event_log::Admit(line_class kind) {
  const auto index = static_cast<std::size_t>(kind);
  if (impl_->rates[index].TryTake(impl_->clock())) return true;
  ++impl_->dropped;
  return false;
}

void event_log::Finish(std::string text) {
  const std::size_t waiting = impl_->buffer.size() - impl_->written;
  if (waiting + text.size() > impl_->options.maximum_buffered_bytes) {
    ++impl_->dropped;
    return;
  }
  impl_->buffer += text;
}

void event_log::Flush() {
  if (impl_->dropped > impl_->dropped_reported) {
    const std::uint64_t now_dropped = impl_->dropped;
    line(this, "log_lines_dropped")
        .Add("lines",
             static_cast<std::int64_t>(now_dropped - impl_->dropped_reported))
        .Add("total", static_cast<std::int64_t>(now_dropped));
    // If the buffer is full, this line is dropped as well, and the next report
    // includes it.
    if (impl_->dropped == now_dropped) impl_->dropped_reported = now_dropped;
  }
  while (impl_->written < impl_->buffer.size()) {
    const std::int64_t taken =
        impl_->write(std::string_view{impl_->buffer}.substr(impl_->written));
    if (taken <= 0) break;  // Output is blocked; the next flush tries again.
    impl_->written += static_cast<std::size_t>(taken);
  }
  if (impl_->written * 2 >= impl_->buffer.size()) {
    impl_->buffer.erase(0, impl_->written);
    impl_->written = 0;
  }
}

std::uint64_t event_log::Dropped() const { return impl_->dropped; }

}  // namespace comfreyspring::telemetry
