#include "kingcupshunt/rates/client.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::rates {

namespace {

// Pause before the next prefetch after one that got nothing.
constexpr base::milliseconds prefetch_pause{100};
// A request that the owner has confirmed as queued is repeated after this time, at which the owner
// removes it.
constexpr base::milliseconds queued_resend{150};
// Maximum interval of requests to an owner that does not answer.
constexpr base::milliseconds max_request_timeout{200};

} // namespace

void client::add_item(const std::string& workspace, entry& e, std::uint32_t urgent,
                      std::uint32_t wanted_tokens, base::time_point now) {
  auto& frame = out_[e.owner];
  if (frame.items.empty()) {
    frame.seq = ++next_seq_;
    frame.incarnation = settings_.incarnation;
    const auto term = terms_.find(e.owner);
    frame.term = term == terms_.end() ? 0 : term->second;
  }
  std::erase_if(frame.items, [&](const token_request_item& i) { return i.workspace == workspace; });
  token_request_item item{workspace, urgent, wanted_tokens, e.held, e.spent, {}};
  if (!e.is_plentiful) {
    for (const auto at : e.spends) {
      const auto age = std::chrono::duration_cast<base::microseconds>(now - at).count();
      item.ages_us.push_back(static_cast<std::uint32_t>(
          std::clamp<std::int64_t>(age, 0, std::chrono::microseconds(token_lifetime).count())));
    }
  }
  frame.items.push_back(std::move(item));
  e.spends.clear();
  e.has_unreported = false;
  e.last_report = now;
  e.pending.reset();
  if (urgent > 0 || wanted_tokens > 0) {
    const auto timeout = std::min<base::duration>(
        settings_.request_timeout * (1U << std::min(e.timeouts, 8U)), max_request_timeout);
    e.pending = pending_request{frame.seq, now, now + timeout, false};
  }
}

void client::handle_answer(const std::string& workspace, entry& e, const grant_item& item,
                           base::time_point now) {
  const auto status = static_cast<grant_status>(item.status);
  e.timeouts = 0;
  e.last_refusal.reset();
  e.is_scarce = item.is_scarce;
  e.is_plentiful = item.is_plentiful;
  e.next_token = now + base::milliseconds(item.retry_ms);
  if (status == grant_status::queued) {
    e.pending->is_queued = true;
    e.pending->resend = e.pending->sent + queued_resend;
    e.request_after = now + prefetch_pause;
    return;
  }
  const auto sent = e.pending->sent;
  e.pending.reset();
  if (status == grant_status::starting || status == grant_status::not_owner ||
      status == grant_status::unknown) {
    e.last_refusal = status == grant_status::unknown ? refusal_reason::unknown_workspace
                                                     : refusal_reason::owner_starting;
    e.request_after = now + std::min<base::duration>(
                                base::milliseconds(std::max<std::uint32_t>(item.retry_ms, 10)),
                                max_request_timeout);
    if (status == grant_status::unknown || e.next_token > now + settings_.max_wait) {
      refuse_all_waiters(workspace, e, now);
    }
    return;
  }
  if (item.tokens == 0) {
    e.request_after = now + prefetch_pause;
  }
  // The lifetime starts when the request is sent, so that a delay of the answer cannot extend it
  // beyond what the owner assumes.
  const auto expires = sent + token_lifetime;
  if (item.tokens > 0 && expires > now) {
    e.batches.push_back({expires, item.tokens});
    e.held += item.tokens;
    e.received.add(item.tokens, now);
  }
  serve_waiters(e, now);
  request_if_needed(workspace, e, now);
}

void client::handle_recall(const std::string& workspace, entry& e, base::time_point now) {
  expire_batches(e, now);
  e.is_scarce = true;
  e.is_plentiful = false;
  e.request_after = std::max(e.request_after, now + prefetch_pause);
  if (e.pending || (e.held == 0 && !e.has_unreported)) {
    return;
  }
  // Keeps the tokens that are likely to be used before the next exchange.
  const auto keep = std::min(e.held, target(e, now) / 8);
  drop_tokens(e, e.held - keep);
  add_item(workspace, e, 0, 0, now);
}

} // namespace kingcupshunt::rates
