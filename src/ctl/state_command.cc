#include "ctl/state_command.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>

#include "core/json_parser.h"
#include "ctl/command_line.h"
#include "net/http_client.h"

namespace comfreyspring::ctl {
namespace {

constexpr const char* kHelp =
    "Usage: comfreyspringctl state --url http://IP:PORT [--watch] [--count N]\n"
    "Prints /debug/state of an entry or an agent.\n"
    "  --watch     repeats every second until interrupted\n"
    "  --count N   fetches N times, once per second\n"
    "Exit code: 0 printed, 2 invalid usage, 3 no usable answer; with\n"
    "repetition, that of the last fetch.\n";
constexpr const char* kPath = "/debug/state";
constexpr core::milliseconds kPollPeriod{1000};
constexpr core::milliseconds kCallTimeout{3000};
constexpr int kHttpOk = 200;

std::string StateUrl(std::string url) {
  if (url.compare(0, 7, "http://") != 0 || url.size() == 7) {
    throw usage_error("option --url: value '" + url +
                      "' must start with http:// and an address");
  }
  while (url.back() == '/') url.pop_back();
  const std::string path = kPath;
  const bool has_path =
      url.size() > path.size() &&
      url.compare(url.size() - path.size(), path.size(), path) == 0;
  return has_path ? url : url + path;
}

/** Fetches once; on failure, writes to `errors` and returns nullopt. */
std::optional<nlohmann::json> Fetch(net::event_loop& loop,
                                    net::http_client& client,
                                    const std::string& url,
                                    std::ostream& errors) {
  std::optional<net::http_result> result;
  net::http_call call;
  call.url = net::url::Parse(url);
  call.total_timeout = kCallTimeout;
  client.Start(call, {.on_done = [&result](const net::http_result& done) {
                 result = done;
               }});
  loop.RunUntil([&result] { return result.has_value(); }, 2 * kCallTimeout);
  if (!result || result->failure != net::http_failure::none) {
    errors << "Cannot reach " << url << ": "
           << (result ? result->error_message : "no answer") << ".\n";
    return std::nullopt;
  }
  if (result->status != kHttpOk) {
    errors << url << " answered with status " << result->status << ".\n";
    return std::nullopt;
  }
  nlohmann::json state = core::TryParseJson(result->body);
  if (state.is_discarded()) {
    errors << "The answer from " << url << " is not valid JSON.\n";
    return std::nullopt;
  }
  return state;
}

}  // namespace

int ShowState(const std::vector<std::string>& arguments, std::ostream& out,
              std::ostream& errors) {
  const command_line options(arguments, {{"url"}, {"watch", false}, {"count"}});
  if (options.Has("help")) {
    out << kHelp;
    return kExitSuccess;
  }
  const std::string url = StateUrl(options.Required("url"));
  const std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();
  const std::int64_t count =
      options.Number("count", 1).value_or(options.Has("watch") ? unlimited : 1);
  net::event_loop loop;
  net::http_client client(loop);
  int exit_code = kExitSuccess;
  for (std::int64_t iteration = 0; iteration < count; ++iteration) {
    if (iteration > 0) loop.RunUntil([] { return false; }, kPollPeriod);
    const auto state = Fetch(loop, client, url, errors);
    exit_code = state ? kExitSuccess : kExitUnreachable;
    if (state) out << state->dump(2) << std::endl;
  }
  return exit_code;
}

}  // namespace comfreyspring::ctl
