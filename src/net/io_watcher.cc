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

/** Callbacks of a watcher; may outlive it until the end of the turn. */
class io_watcher::handler {
 public:
  explicit handler(callbacks handlers) : handlers_(std::move(handlers)) {}

  void OnReadable() {
    if (active_ && handlers_.on_readable) handlers_.on_readable();
  }
  void OnWritable() {
    if (active_ && handlers_.on_writable) handlers_.on_writable();
  }
  /** Called when the reactor drops a descriptor; the owner's I/O then fails. */
  void OnDropped() {
    if (handlers_.on_readable) {
      OnReadable();
    } else {
      OnWritable();
    }
  }
  void Deactivate() { active_ = false; }

 private:
  callbacks handlers_;
  bool active_ = true;
};

/**
 * Reactor handler of one descriptor number, kept for the lifetime of the loop.
 * The reactor may continue to use a handler whose removal has failed, as
 * happens when the descriptor was already closed.
 */
class io_watcher::descriptor_handler : public ACE_Event_Handler {
 public:
  descriptor_handler(event_loop& loop, int descriptor)
      : loop_(loop), descriptor_(descriptor) {}

  /** @throws net_error if the reactor refuses the descriptor. */
  void Register(std::shared_ptr<handler> current, io_interest interest) {
    current_ = std::move(current);
    const ACE_Reactor_Mask mask = MaskOf(interest);
    if (loop_.Reactor()->register_handler(descriptor_, this, mask) != 0) {
      current_ = nullptr;
      throw net_error("cannot watch descriptor " + std::to_string(descriptor_));
    }
    // A stale entry that could not be removed may have another mask.
    loop_.Reactor()->mask_ops(this, mask, ACE_Reactor::SET_MASK);
  }
  void SetInterest(io_interest interest) {
    loop_.Reactor()->mask_ops(this, MaskOf(interest), ACE_Reactor::SET_MASK);
  }
  void Remove() {
    current_ = nullptr;
    loop_.Reactor()->remove_handler(
        descriptor_,
        ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
  }

  ACE_HANDLE get_handle() const override { return descriptor_; }
  int handle_input(ACE_HANDLE /*handle*/) override {
    if (const auto current = current_) {
      loop_.Guard([&] { current->OnReadable(); });
    }
    return 0;
  }
  int handle_output(ACE_HANDLE /*handle*/) override {
    if (const auto current = current_) {
      loop_.Guard([&] { current->OnWritable(); });
    }
    return 0;
  }
  /**
   * Deferred to the end of the turn, after the reactor's own cleanup. An owner
   * that closes the descriptor inside this call and watches a new one with the
   * same number would leave the new one half registered.
   */
  int handle_close(ACE_HANDLE /*handle*/, ACE_Reactor_Mask /*mask*/) override {
    if (!current_) return 0;
    loop_.AtEndOfTurn([current = current_] { current->OnDropped(); });
    return 0;
  }

 private:
  event_loop& loop_;
  int descriptor_;
  std::shared_ptr<handler> current_;
};

io_watcher::io_watcher(event_loop& loop, int descriptor, io_interest interest,
                       callbacks handlers)
    : handler_(std::make_shared<handler>(std::move(handlers))),
      interest_(interest) {
  auto& kept = loop.DescriptorHandler(descriptor);
  if (!kept) kept = std::make_shared<descriptor_handler>(loop, descriptor);
  registration_ = static_cast<descriptor_handler*>(kept.get());
  registration_->Register(handler_, interest);
}

io_watcher::~io_watcher() {
  handler_->Deactivate();
  registration_->Remove();
}

void io_watcher::SetInterest(io_interest interest) {
  if (interest == interest_) return;
  interest_ = interest;
  registration_->SetInterest(interest);
}

}  // namespace comfreyspring::net
