#include "standins/service_server.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyspring::standins {
namespace {

net::http_server_options ServerOptions(const std::string& address,
                                       std::uint16_t port) {
  net::http_server_options result;
  result.address = address;
  result.port = port;
  return result;
}

}  // namespace

service_server::service_server(net::event_loop& loop,
                               const std::string& address, std::uint16_t port)
    : loop_(loop),
      server_(loop, ServerOptions(address, port),
              [this](const exchange_pointer& exchange) { Handle(exchange); }) {}

void service_server::Handle(const exchange_pointer& exchange) {
  const net::http_request& request = exchange->Request();
  const std::string route = request.method + ' ' + request.path;
  try {
    if (route == "GET /standin/runs") return ShowRuns(exchange);
    if (route == "POST /standin/behaviour") return SetBehaviour(exchange);
  } catch (const nlohmann::json::exception&) {
    return RespondError(exchange, 400, "bad_request");
  }
  if (behaviour_.silent) {
    held_exchanges_.push_back(exchange);
    return;
  }
  Run(exchange);
}

void service_server::ShowRuns(const exchange_pointer& exchange) {
  RespondJson(exchange, 200, nlohmann::json(runs_));
}

void service_server::SetBehaviour(const exchange_pointer& exchange) {
  const nlohmann::json body = ParseBody(*exchange);
  behaviour_.delay =
      core::milliseconds(body.value("delay_ms", behaviour_.delay.count()));
  behaviour_.fail_status = body.value("fail_status", behaviour_.fail_status);
  behaviour_.drop_after_run =
      body.value("drop_after_run", behaviour_.drop_after_run);
  behaviour_.silent = body.value("silent", behaviour_.silent);
  RespondJson(exchange, 200, {{"applied", true}});
  if (behaviour_.silent) return;
  // Includes calls of disconnected clients: a real service would run them late.
  const auto held = std::exchange(held_exchanges_, {});
  for (const exchange_pointer& held_exchange : held) Run(held_exchange);
}

void service_server::Run(const exchange_pointer& exchange) {
  const net::http_request& request = exchange->Request();
  const auto header = request.headers.find("idempotency-key");
  const std::string key =
      header == request.headers.end() ? request.path : header->second;
  const std::uint64_t run = ++runs_[key];
  if (behaviour_.drop_after_run) {
    exchange->Abort();
    return;
  }
  if (behaviour_.delay.count() == 0) return RespondToRun(exchange, key, run);
  loop_.Schedule(behaviour_.delay, [this, exchange, key, run] {
    RespondToRun(exchange, key, run);
  });
}

void service_server::RespondToRun(const exchange_pointer& exchange,
                                  const std::string& key, std::uint64_t run) {
  if (behaviour_.fail_status != 0) {
    return RespondError(exchange, behaviour_.fail_status, "failed_on_demand");
  }
  RespondJson(exchange, 200,
              {{"run", run}, {"key", key}, {"path", exchange->Request().path}});
}

}  // namespace comfreyspring::standins
