#include "callers.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace comfreyspring::soak {
namespace {

using core::milliseconds;

constexpr double kCancelProbability = 0.05;
constexpr milliseconds kReadinessPeriod{1000};
constexpr milliseconds kProbePeriod{500};
/** Consecutive failed checks that take a gateway out of rotation. */
constexpr int kReadinessFailureLimit = 2;
constexpr milliseconds kStreamDeadline{6000};
constexpr milliseconds kPlainDeadline{2000};
/** A call without an answer times out this long after the request's deadline.
 */
constexpr milliseconds kTimeoutMargin{1500};
constexpr int kAdapters = 12;
/** Prompts share their first part, and their second one with some others. */
constexpr std::int64_t kSubjects = 9;

milliseconds DeadlineOf(const request_kind& kind) {
  return kind.streams ? kStreamDeadline : kPlainDeadline;
}

}  // namespace

callers::callers(net::event_loop& loop, fleet_under_test& fleet,
                 promise_record& promises, unsigned seed,
                 double requests_per_second)
    : loop_(loop),
      fleet_(fleet),
      promises_(promises),
      http_(loop),
      readiness_http_(loop),
      random_(seed),
      rate_(requests_per_second),
      cancel_probability_(kCancelProbability) {}

callers::~callers() {
  loop_.Cancel(readiness_timer_);
  loop_.Cancel(probe_timer_);
}

void callers::Start() {
  CheckReadiness();
  readiness_timer_ =
      loop_.SchedulePeriodic(kReadinessPeriod, [this] { CheckReadiness(); });
  ScheduleNext();
}

void callers::StartProbes() {
  probe_timer_ = loop_.SchedulePeriodic(kProbePeriod, [this] {
    const request_kind* kind =
        fleet_.AddedKind(promises_.VersionInForce(loop_.Now()));
    if (stopped_ || kind == nullptr) return;
    const int count = static_cast<int>(fleet_.CallerRelays().size());
    for (int i = 0; i < count; ++i) Send(*kind, false, i);
  });
}

void callers::Stop() { stopped_ = true; }

void callers::CheckReadiness() {
  for (std::size_t i = 0; i < fleet_.CallerRelays().size(); ++i) {
    const int gateway = static_cast<int>(i);
    readiness_http_.Start(
        {.url = net::url::Parse(fleet_.ReadinessUrl(gateway)),
         .connect_timeout = milliseconds(500),
         .total_timeout = milliseconds(900)},
        {.on_done = [this, gateway](const net::http_result& result) {
          int& failed_checks = failed_checks_[gateway];
          failed_checks = result.status == 200 ? 0 : failed_checks + 1;
        }});
  }
}

int callers::PickGateway() {
  std::vector<int> ready;
  const int count = static_cast<int>(fleet_.CallerRelays().size());
  for (int i = 0; i < count; ++i) {
    if (failed_checks_[i] < kReadinessFailureLimit) ready.push_back(i);
  }
  // Ignores readiness if fewer than half of the gateways are ready.
  if (static_cast<int>(ready.size()) * 2 < count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }
  return ready[std::uniform_int_distribution<std::size_t>(
      0, ready.size() - 1)(random_)];
}

void callers::ScheduleNext() {
  const double wait = std::exponential_distribution<double>(rate_)(random_);
  loop_.Schedule(milliseconds(static_cast<std::int64_t>(wait * 1e3)), [this] {
    if (stopped_) return;
    const auto& kinds = fleet_.Kinds();
    Send(kinds[std::uniform_int_distribution<std::size_t>(
             0, kinds.size() - 1)(random_)],
         false);
    ScheduleNext();
  });
}

void callers::Send(const request_kind& kind, bool is_retry,
                   std::optional<int> gateway) {
  const std::string id = "r" + std::to_string(++last_id_);
  request_record request;
  request.kind = &kind;
  request.gateway = gateway ? *gateway : PickGateway();
  request.target = kind.path + "x%20y?q=" + id;
  request.body = "body of " + id;
  request.sent_at = loop_.Now();
  request.deadline = DeadlineOf(kind);
  net::http_call call;
  call.method = "POST";
  call.url = net::url::Parse(fleet_.CallerUrl(request.gateway));
  call.target = request.target;
  call.body = request.body;
  call.headers = {{"host", "soak.example"},
                  {"request-id", id},
                  {"deadline-ms", std::to_string(request.deadline.count())}};
  if (kind.streams) {
    // Squaring the draw makes adapters with small numbers the most frequent.
    const int adapter = static_cast<int>(
        kAdapters *
        std::pow(std::uniform_real_distribution<double>(0, 1)(random_), 2));
    request.model = "m/a" + std::to_string(adapter);
    call.headers["model"] = request.model;
    call.headers["token-count"] = "100,60";
    request.deadly = deadly_share_ > 0 &&
                     std::bernoulli_distribution(deadly_share_)(random_);
    call.headers["prompt-prefix"] =
        "first:100,subject" + std::to_string(last_id_ % kSubjects) + ":50," +
        (request.deadly ? std::string(fleet_under_test::kDeadlyPart) + ":30,"
                        : std::string()) +
        id + ":20";
    if (request.deadly && repeats_) MakeRepeated(request, call);
  }
  call.total_timeout = request.deadline + kTimeoutMargin;
  call.may_resend = false;
  promises_.Sent(id, std::move(request));
  ++open_;
  const net::http_call_id handle = http_.Start(
      std::move(call),
      {.on_done = [this, id, &kind, is_retry](const net::http_result& result) {
        OnAnswer(id, kind, is_retry, result);
      }});
  if (std::bernoulli_distribution(cancel_probability_)(random_)) {
    const milliseconds after(
        std::uniform_int_distribution<int>(5, 400)(random_));
    loop_.Schedule(after, [this, id, handle] { CancelRequest(id, handle); });
  }
}

void callers::MakeRepeated(request_record& request, net::http_call& call) {
  const int number = std::uniform_int_distribution<int>(
      0, fleet_under_test::kRepeatedRequests - 1)(random_);
  const std::string own = fleet_under_test::OwnPart(number);
  request.target = request.kind->path + "x%20y?q=" + own;
  request.repeated = request.target;
  request.body = "body of " + own;
  request.model = "m/a0";
  call.target = request.target;
  call.body = request.body;
  call.headers["model"] = request.model;
  call.headers["prompt-prefix"] =
      "first:100,subject" + std::to_string(number) + ":50," + own + ":20";
}

void callers::CancelRequest(const std::string& id, net::http_call_id call) {
  if (promises_.IsAnswered(id)) return;
  http_.Cancel(call);
  --open_;
  promises_.Cancelled(id, loop_.Now());
}

void callers::OnAnswer(const std::string& id, const request_kind& kind,
                       bool is_retry, const net::http_result& result) {
  --open_;
  promises_.Answered(id, result, loop_.Now());
  const bool is_refused = result.failure == net::http_failure::none &&
                          (result.status == 503 || result.status == 429);
  if (!is_refused || is_retry || stopped_) return;
  double wait_s = 0.1;
  const auto header = result.headers.find("retry-after");
  if (header != result.headers.end()) wait_s = std::stod(header->second);
  const double limit_s = static_cast<double>(DeadlineOf(kind).count()) / 1e3;
  wait_s = std::min(wait_s, limit_s / 3);
  loop_.Schedule(milliseconds(static_cast<std::int64_t>(wait_s * 1e3)),
                 [this, &kind] {
                   if (!stopped_) Send(kind, true);
                 });
}

}  // namespace comfreyspring::soak
