#include "sidecar/catalog_relay.h"

#include <algorithm>
#include <utility>

namespace comfreyspring::sidecar {

catalog_relay::catalog_relay(core::milliseconds confirmation_period)
    : period_(confirmation_period) {}

catalog_relay::batches catalog_relay::OnBatch(
    const catalog::change_batch& batch, core::time_point now) {
  batches out;
  // An older read confirms nothing.
  if (batch.Position() < known_) return out;
  const bool is_later_era = batch.era > known_.era;
  const auto waited = backlog_.At(now);
  const auto read_at = now - batch.age - waited;
  const bool contiguous = batch.After() <= known_;
  // Flush first: gateways must not mistake the gap for a period without
  // changes.
  if (!contiguous) Flush(now, out);
  if (!pending_) {
    pending_.emplace();
    pending_->content.after = contiguous ? known_.revision : batch.after;
    pending_->content.era = batch.era;
    pending_->read_at = read_at;
  }
  catalog::change_batch& content = pending_->content;
  for (const catalog::change_document& document : batch.documents) {
    if (!contiguous || document.revision > known_.revision) {
      content.documents.push_back(document);
    }
  }
  content.revision = batch.revision;
  // The outage end of a delayed batch is inaccurate. The next batch repeats it.
  if (batch.last_outage && waited.count() == 0) {
    const auto ended = now - batch.last_outage->ended_ago;
    if (!content.last_outage || ended > pending_->outage_ended) {
      content.last_outage = batch.last_outage;
      pending_->outage_ended = ended;
    }
  }
  pending_->read_at = std::max(pending_->read_at, read_at);
  known_ = batch.Position();
  if (is_later_era || !content.documents.empty()) Flush(now, out);
  return out;
}

catalog_relay::batches catalog_relay::OnTick(core::time_point now) {
  batches out;
  if (now - flushed_at_ >= period_) Flush(now, out);
  return out;
}

void catalog_relay::Flush(core::time_point now, batches& out) {
  if (!pending_) return;
  catalog::change_batch& content = pending_->content;
  content.age = core::ToMilliseconds(now - pending_->read_at);
  content.sent_at = core::ToMilliseconds(now.time_since_epoch());
  if (content.last_outage) {
    content.last_outage->ended_ago =
        core::ToMilliseconds(now - pending_->outage_ended);
  }
  out.push_back(std::move(pending_->content));
  pending_.reset();
  flushed_at_ = now;
}

}  // namespace comfreyspring::sidecar
