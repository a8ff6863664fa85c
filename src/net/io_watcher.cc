#include "net/io_watcher.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <string>
#include <utility>

namespace comfreyspring::net {
namespace {

ACE_Reactor_Mask MaskOf(io_interest interest) {
  switch (interest) {
    case io_interest::read:
      return ACE_Event_Handler::READ_MASK;
    case io_interest::write:
      return ACE_Event_Handler::WRITE_MASK;
    case io_interest::read_write:
      break;
  }
  return ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK;
}

}  // namespace

class io_watcher::handler : public ACE_Event_Handler,
                            public std::enable_shared_from_this<handler> {
 public:
  handler(event_loop& loop, int descriptor, callbacks handlers)
      : loop_(loop), descriptor_(descriptor), handlers_(std::move(handlers)) {}

  ACE_HANDLE get_handle() const override { return descriptor_; }
  int handle_input(ACE_HANDLE /*handle*/) override {
    if (active_ && handlers_.on_readable) handlers_.on_readable();
    return 0;
  }
  int handle_output(ACE_HANDLE /*handle*/) override {
    if (active_ && handlers_.on_writable) handlers_.on_writable();
    return 0;
  }
  /**
   * The reactor drops the descriptor; its owner finds the socket error. Not
   * before the reactor is done: an owner that closes the descriptor here and
   * watches a new one with the same number would leave it half registered.
   */
  int handle_close(ACE_HANDLE handle, ACE_Reactor_Mask /*mask*/) override {
    loop_.AtEndOfTurn([self = shared_from_this(), handle] {
      if (self->handlers_.on_readable) {
        self->handle_input(handle);
      } else {
        self->handle_output(handle);
      }
    });
    return 0;
  }

  void Deactivate() { active_ = false; }

 private:
  event_loop& loop_;
  int descriptor_;
  callbacks handlers_;
  bool active_ = true;
};

io_watcher::io_watcher(event_loop& loop, int descriptor, io_interest interest,
                       callbacks handlers)
    : loop_(loop),
      handler_(
          std::make_shared<handler>(loop, descriptor, std::move(handlers))),
      interest_(interest) {
  if (loop_.Reactor()->register_handler(descriptor, handler_.get(),
                                        MaskOf(interest)) != 0) {
    throw net_error("cannot watch descriptor " + std::to_string(descriptor));
  }
}

io_watcher::~io_watcher() {
  handler_->Deactivate();
  loop_.Reactor()->remove_handler(
      handler_->get_handle(),
      ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
  // The reactor may be in a callback of this handler right now.
  loop_.AtEndOfTurn([kept = std::move(handler_)] {});
}

void io_watcher::SetInterest(io_interest interest) {
  if (interest == interest_) return;
  interest_ = interest;
  loop_.Reactor()->mask_ops(handler_.get(), MaskOf(interest),
                            ACE_Reactor::SET_MASK);
}

}  // namespace comfreyspring::net
