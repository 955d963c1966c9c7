#include "kingcupshunt/rates/client.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::rates {

namespace {

// After this many unanswered asks in a row, requests are refused without waiting.
constexpr std::uint32_t silent_timeouts = 4;
// A refusal of one workspace is reported to operators at most this often.
constexpr base::seconds decision_interval{10};

} // namespace

const char* to_string(refusal_reason reason) noexcept {
  switch (reason) {
  case refusal_reason::over_rate:
    return "over_rate";
  case refusal_reason::owner_starting:
    return "rate_owner_starting";
  case refusal_reason::owner_silent:
    return "rate_owner_silent";
  case refusal_reason::unknown_workspace:
    return "unknown_workspace";
  }
  return "unknown";
}

std::optional<rate_refusal> client::immediate_refusal(const entry& e, base::time_point now) const {
  if (e.last_refusal == refusal_reason::unknown_workspace && now < e.request_after) {
    return make_refusal(e, now);
  }
  if (e.last_refusal == refusal_reason::owner_starting && e.next_token > now + settings_.max_wait) {
    return make_refusal(e, now);
  }
  if (e.timeouts >= silent_timeouts && !e.waiters.empty()) {
    return make_refusal(e, now);
  }
  if (e.waiters.size() >= settings_.max_waiters) {
    return make_refusal(e, now);
  }
  if (e.pending && e.pending->is_queued) {
    // No token is free: as many may wait as get one within the longest wait at the recent rate.
    const double served = e.received.rate(now) * base::to_seconds(settings_.max_wait);
    if (static_cast<double>(e.waiters.size()) >= 1.0 + served) {
      return make_refusal(e, now);
    }
    if (e.next_token > now + settings_.max_wait) {
      return make_refusal(e, now);
    }
  }
  return std::nullopt;
}

rate_refusal client::make_refusal(const entry& e, base::time_point now) const {
  rate_refusal out;
  out.reason = refusal_reason::over_rate;
  if (e.last_refusal) {
    out.reason = *e.last_refusal;
  } else if (e.timeouts > 0) {
    out.reason = refusal_reason::owner_silent;
  }
  if (out.reason == refusal_reason::unknown_workspace ||
      out.reason == refusal_reason::owner_silent) {
    return out;
  }
  auto wait = e.next_token > now ? e.next_token - now : base::duration{};
  const double received = e.received.rate(now);
  if (out.reason == refusal_reason::over_rate && received > 0) {
    const double queue = static_cast<double>(e.waiters.size() + 1) / received;
    wait = std::max(wait, base::from_seconds(std::min(queue, 3600.0)));
  }
  out.retry_after =
      std::chrono::ceil<base::milliseconds>(std::max<base::duration>(wait, base::milliseconds(1)));
  return out;
}

void client::note_refusal(const std::string& workspace, entry& e, const rate_refusal& r,
                          base::time_point now) {
  count(to_string(r.reason));
  const bool is_due =
      e.last_decision == base::time_point{} || now - e.last_decision >= decision_interval;
  if (!hooks_.on_decision || !is_due) {
    return;
  }
  e.last_decision = now;
  std::string evidence = "owner=" + e.owner + " waiting=" + std::to_string(e.waiters.size());
  if (r.retry_after) {
    evidence += " retry_after_ms=" + std::to_string(r.retry_after->count());
  }
  hooks_.on_decision({std::string("rates.") + to_string(r.reason), "workspace", workspace,
                      "refused", std::move(evidence), 0});
}

void client::refuse_all_waiters(const std::string& workspace, entry& e, base::time_point now) {
  const auto refusal = make_refusal(e, now);
  for (auto& w : std::exchange(e.waiters, {})) {
    completions_.emplace_back(std::move(w.done), refusal);
    note_refusal(workspace, e, refusal, now);
  }
}

} // namespace kingcupshunt::rates
