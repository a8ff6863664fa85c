#include "net/listener_claim.h"

#include <optional>
#include <utility>

namespace comfreyspring::net {
namespace {

constexpr core::milliseconds kRetryPeriod{100};

}  // namespace

listener_claim::listener_claim(event_loop& loop, const socket_address& address,
                               callbacks handlers)
    : loop_(loop), address_(address), handlers_(std::move(handlers)) {
  Try();
}

listener_claim::~listener_claim() { loop_.Cancel(timer_); }

void listener_claim::Try() {
  std::optional<tcp_socket> listener;
  try {
    listener = tcp_socket::Listen(address_);
  } catch (const listen_error& failure) {
    if (!failure.MayPass() && last_reason_.empty()) throw;
    OnFailure(failure);
    return;
  }
  handlers_.on_open(std::move(*listener));
}

void listener_claim::OnFailure(const listen_error& failure) {
  timer_ = loop_.Schedule(kRetryPeriod, [this] {
    timer_ = 0;
    Try();
  });
  if (failure.what() == last_reason_) return;
  last_reason_ = failure.what();
  handlers_.on_waiting(last_reason_);
}

}  // namespace comfreyspring::net
