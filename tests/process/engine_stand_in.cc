#include "engine_stand_in.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyspring::process_test {
namespace {

using core::milliseconds;
using nlohmann::json;

/** Adapters that an engine may hold by the service's configuration. */
constexpr std::size_t kAdapterCapacity = 2;
constexpr milliseconds kListenRetry{50};
constexpr const char* kLimitHeader = "server-limit";

}  // namespace

std::string EventText(const std::string& request, int event) {
  return "id: " + std::to_string(event) + "\ndata: " + request + '.' +
         std::to_string(event) + "\n\n";
}

std::string PlainText(const std::string& request) {
  return "answer to " + request + std::string(400, '.');
}

std::vector<std::string> MalformedAnswers(const std::string& request) {
  const std::string event = "id: 4\ndata: malformed\n\n";
  const std::string fields = "request-id: " + request +
                             "\r\nserver-stamp: stamp\r\n"
                             "content-type: text/event-stream\r\n";
  const std::string rest = fields +
                           "content-length: " + std::to_string(event.size()) +
                           "\r\n\r\n" + event;
  const std::string chunked = fields + "\r\n" + Chunk(event) + Chunk("");
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  return {
      "HTTP/1.1 000\r\n" + rest,
      "HTTP/1.1 000 No Status\r\n" + rest,
      "HTTP/1.1 600 Status\r\n" + rest,
      "HTTP/1.1 999 Status\r\n" + rest,
      "HTTP/1.1 101 Switching Protocols\r\n" + rest,
      ok + "bad name: x\r\n" + rest,
      ok + "bad\tname: x\r\n" + rest,
      ok + "bad\x01name: x\r\n" + rest,
      ok + "bad\x7fname: x\r\n" + rest,
      ok + "bad\xe9name: x\r\n" + rest,
      ok + "value: a\x01\r\n" + rest,
      ok + "transfer-encoding : chunked\r\n" + chunked,
      ok + "transfer\x01-encoding: chunked\r\n" + chunked,
      ok + "content-length: 4x\r\n" + fields + "\r\n" + event,
      "HTTP/1.1 503 Full\r\nnot-run: 1\r\nbad name: x\r\n" + rest,
  };
}

struct engine_stand_in::run {
  exchange_pointer exchange;
  std::string id;
  std::uint64_t incarnation = 0;
  bool breaks = false;
  bool ended = false;
};

engine_stand_in::engine_stand_in(net::event_loop& loop, engine_options options)
    : events(options.events),
      loop_(loop),
      options_(std::move(options)),
      port_(options_.port) {
  Start("i-1");
}

engine_stand_in::~engine_stand_in() = default;

void engine_stand_in::Start(const std::string& instance) {
  if (server_) Crash();
  refused_.clear();
  instance_ = instance;
  ++incarnation_;
  if (incarnation_ > 1) started_ = core::UnixMilliseconds(loop_.WallNow());
  Listen();
}

void engine_stand_in::Listen() {
  try {
    server_.emplace(
        loop_, options_.ip, port_,
        [this](const exchange_pointer& exchange) { Answer(exchange); });
    port_ = server_->Port();
  } catch (const net::net_error&) {
    // Connections of the previous incarnation are still closing.
    if (port_ == 0) throw;
    loop_.Schedule(kListenRetry, [this, incarnation = incarnation_] {
      if (incarnation == incarnation_) Listen();
    });
  }
}

void engine_stand_in::Crash() {
  ++incarnation_;
  for (const auto& current : std::set(running_)) End(current, false);
  server_.reset();
  held.clear();
  limit.reset();
  loading_.clear();
  orders_ = 0;
  highest_fencing = 0;
}

bool engine_stand_in::DrawWithProbability(double chance) {
  return std::bernoulli_distribution(chance)(random_);
}

void engine_stand_in::Answer(const exchange_pointer& exchange) {
  const auto& request = exchange->Request();
  if (request.path == "/v1/report") {
    WhenAudible([this, exchange] { Report(*exchange); });
  } else if (request.path == "/v1/order") {
    WhenAudible([this, exchange] { HandleOrder(*exchange); });
  } else {
    Run(exchange);
  }
}

std::optional<std::string> engine_stand_in::DrawMalformed(
    const std::string& request) {
  // Otherwise no number is drawn, so that the runs of older seeds stay.
  const bool may_be_malformed = malformed_probability > 0;
  if (!may_be_malformed || !DrawWithProbability(malformed_probability)) {
    return std::nullopt;
  }
  const auto answers = MalformedAnswers(request);
  return answers[random_() % answers.size()];
}

net::header_map engine_stand_in::Notices() const {
  net::header_map headers;
  if (leaving) headers["server-leaving"] = "1";
  if (limit) headers[kLimitHeader] = *limit;
  return headers;
}

net::header_map engine_stand_in::ResponseHeaders(const std::string& id) {
  if (limit && on_limit_named) on_limit_named(id);
  net::header_map headers = Notices();
  headers["request-id"] = id;
  return headers;
}

void engine_stand_in::Report(raw_exchange& exchange) {
  if (!raw_report) raw_report = DrawMalformed("report");
  if (const auto bytes = std::exchange(raw_report, std::nullopt)) {
    exchange.SendRaw(*bytes);
    exchange.CloseInOrder();
    return;
  }
  json adapters = json::array();
  for (const auto& name : held) adapters.push_back(name + "@1");
  json pending = json::array();
  for (const auto& name : loading_) pending.push_back("m/" + name + "@1");
  net::header_map headers = Notices();
  if (!limit_in_reports) headers.erase(kLimitHeader);
  exchange.Respond(
      {200, std::move(headers),
       json{{"born", started_},
            {"Seq", orders_},
            {"Busy", false},
            {"Running", running_.size()},
            {"Pending", pending},
            {"Models", json::array({{{"Name", "m"}, {"Adapters", adapters}}})}}
           .dump()});
}

void engine_stand_in::HandleOrder(net::http_exchange& exchange) {
  const auto order = json::parse(exchange.Request().body);
  holders.insert(order.at("Holder").get<std::string>());
  const auto fencing = order.at("Fence").get<std::int64_t>();
  if (fencing < highest_fencing) {
    fencing_decreased = true;
    exchange.Respond({412, {}, ""});
    return;
  }
  ++orders_;
  highest_fencing = fencing;
  const auto name = order.at("Adapter").get<std::string>();
  if (order.at("Op") == "unload") {
    held.erase(name);
    exchange.Respond({200, {}, ""});
    return;
  }
  if (held.count(name) > 0) {
    exchange.Respond({200, {}, ""});
    return;
  }
  loading_.insert(name);
  most_held = std::max(most_held, held.size() + loading_.size());
  if (held.size() + loading_.size() > kAdapterCapacity && on_violation) {
    on_violation("was ordered to load more adapters than it has places for");
  }
  if (options_.adapter_load.count() == 0) {
    Load(name);
  } else {
    loop_.Schedule(options_.adapter_load,
                   [this, name, incarnation = incarnation_] {
                     if (incarnation == incarnation_) Load(name);
                   });
  }
  exchange.Respond({202, {}, ""});
}

void engine_stand_in::Load(const std::string& adapter) {
  if (loading_.erase(adapter) > 0) held.insert(adapter);
}

void engine_stand_in::Run(const exchange_pointer& exchange) {
  const auto& headers = exchange->Request().headers;
  const auto model = headers.find("model");
  const bool holds =
      !options_.generates ||
      (model != headers.end() && held.count(model->second.substr(2)) > 0);
  const std::string& id = headers.at("request-id");
  if (on_arrival) on_arrival(id);
  if (headers.at("expect-instance") != instance_ || !holds) {
    net::header_map answer = ResponseHeaders(id);
    answer["instance"] = instance_;
    answer["not-run"] = "1";
    WhenAudible([exchange, answer] { exchange->Respond({421, answer, ""}); });
    return;
  }
  RepeatRefusal(exchange);
  if (running_.size() >= options_.slots || refuse_next > 0 ||
      DrawWithProbability(refuse_probability)) {
    refuse_next = std::max(refuse_next - 1, 0);
    WhenAudible([this, exchange, id] { Refuse(exchange, id); });
    return;
  }
  ++runs[id];
  targets.push_back(exchange->Request().target);
  if (on_run) on_run(exchange->Request());
  auto current = std::make_shared<run>();
  current->exchange = exchange;
  current->id = id;
  current->incarnation = incarnation_;
  current->breaks = DrawWithProbability(break_probability);
  running_.insert(current);
  exchange->OnClientGone([this, current] { End(current, false); });
  if (unresponsive) return;
  if (!raw_answer) raw_answer = DrawMalformed(id);
  if (raw_answer) {
    exchange->SendRaw(*std::exchange(raw_answer, std::nullopt));
    exchange->CloseInOrder();
    End(current, false);
    return;
  }
  WhenAudible([this, current] {
    if (!current->ended) AnswerRun(current);
  });
}

void engine_stand_in::Silence(core::milliseconds length) {
  silent_until_ = std::max(silent_until_, loop_.Now() + length);
}

void engine_stand_in::WhenAudible(std::function<void()> step) {
  const auto left = silent_until_ - loop_.Now();
  if (left.count() <= 0) {
    step();
    return;
  }
  loop_.Schedule(std::chrono::ceil<core::milliseconds>(left),
                 [this, incarnation = incarnation_, step = std::move(step)] {
                   if (incarnation == incarnation_) WhenAudible(step);
                 });
}

void engine_stand_in::AnswerRun(const std::shared_ptr<run>& current) {
  if (!options_.generates) {
    if (deadly_bodies.count(current->exchange->Request().body) == 0) {
      RunPlain(current);
      return;
    }
    const std::string ended_by = current->id;
    Crash();
    if (on_crash) on_crash(ended_by);
    return;
  }
  const exchange_pointer& exchange = current->exchange;
  const auto& headers = exchange->Request().headers;
  const std::string& id = current->id;
  const auto resumed = headers.find("last-event-id");
  const int first =
      resumed == headers.end() ? 1 : std::stoi(resumed->second) + 1;
  net::header_map answer = ResponseHeaders(id);
  answer["content-type"] = "text/event-stream";
  answer["server-stamp"] = "stamp";
  if (unframed) exchange->SetFraming(stream_framing::connection);
  exchange->BeginStream(200, std::move(answer));
  if (IsDeadly(exchange->Request())) {
    loop_.Schedule(options_.event_period, [this, id = id, current] {
      if (current->ended) return;
      Crash();
      if (on_crash) on_crash(id);
    });
    return;
  }
  SendEvent(current, first);
}

bool engine_stand_in::IsDeadly(const net::http_request& request) const {
  const auto prompt = request.headers.find("prompt-prefix");
  if (prompt == request.headers.end()) return false;
  return std::any_of(deadly_parts.begin(), deadly_parts.end(),
                     [&](const std::string& part) {
                       return (',' + prompt->second).find(',' + part + ':') !=
                              std::string::npos;
                     });
}

void engine_stand_in::Refuse(const exchange_pointer& exchange,
                             const std::string& id) {
  net::header_map answer = ResponseHeaders(id);
  answer["not-run"] = "1";
  refused_[exchange->Connection()] = id;
  exchange->Respond({503, std::move(answer), "full"});
}

void engine_stand_in::RepeatRefusal(const exchange_pointer& exchange) {
  const auto refused = refused_.find(exchange->Connection());
  if (refused == refused_.end() || repeats_refusals == repeated_refusal::none) {
    return;
  }
  const std::string named = repeats_refusals == repeated_refusal::without_id
                                ? std::string()
                                : "request-id: " + refused->second + "\r\n";
  exchange->SendRaw("HTTP/1.1 503 Full\r\nnot-run: 1\r\n" + named +
                    "content-length: 4\r\n\r\nfull");
  refused_.erase(refused);
}

void engine_stand_in::RunPlain(const std::shared_ptr<run>& current) {
  const auto answer = [this, current] {
    if (current->ended) return;
    if (current->breaks) {
      current->exchange->Abort();
    } else {
      net::header_map headers = ResponseHeaders(current->id);
      headers["server-stamp"] = "stamp";
      AnswerPlain(*current, std::move(headers));
    }
    End(current, !current->breaks);
  };
  loop_.Schedule(options_.plain_time * slowdown_factor,
                 [this, answer] { WhenAudible(answer); });
}

void engine_stand_in::AnswerPlain(run& current, net::header_map headers) const {
  if (!unframed) {
    current.exchange->Respond({200, std::move(headers), PlainText(current.id)});
    return;
  }
  current.exchange->SetFraming(stream_framing::connection);
  current.exchange->BeginStream(200, std::move(headers));
  current.exchange->Write(PlainText(current.id));
  current.exchange->EndStream();
}

void engine_stand_in::SendEvent(const std::shared_ptr<run>& current,
                                int event) {
  if (current->ended) return;
  if (event > events) {
    // The stream was resumed after its last event; only its end is missing.
    current->exchange->EndStream();
    End(current, true);
    return;
  }
  const bool breaks_here =
      (break_after > 0 && event > break_after) ||
      (current->breaks && event > 1 && DrawWithProbability(0.3));
  if (breaks_here) {
    break_after = 0;
    BreakOff(*current, event);
    End(current, false);
    return;
  }
  current->exchange->Write(EventText(current->id, event));
  if (event >= events) {
    current->exchange->EndStream();
    End(current, true);
    return;
  }
  loop_.Schedule(
      options_.event_period * slowdown_factor, [this, current, event] {
        WhenAudible([this, current, event] { SendEvent(current, event + 1); });
      });
}

void engine_stand_in::BreakOff(run& current, int event) const {
  if (!break_inside_event) {
    current.exchange->Abort();
    return;
  }
  current.exchange->Write(
      EventText(current.id, event).substr(0, *break_inside_event));
  current.exchange->EndStream();
}

void engine_stand_in::End(const std::shared_ptr<run>& current, bool complete) {
  if (std::exchange(current->ended, true)) return;
  running_.erase(current);
  if (on_end) on_end(current->id, complete);
}

}  // namespace comfreyspring::process_test
