#include "kingcupshunt/rates/bucket.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace kingcupshunt::rates {

namespace {

// Tolerance in tokens for sums of floating-point numbers, used to detect a full bucket.
constexpr double full_tolerance = 1e-6;
// An account without tokens or requests is removed after this time.
constexpr base::seconds account_idle{5};
// Maximum of outstanding tokens in a handover.
constexpr double max_taken_over = 1e9;
// Time for which a request stays queued, longer than the maximum wait at an instance (100 ms by
// default).
constexpr base::milliseconds queue_time{150};

} // namespace

bucket::bucket(limit l, double level, base::time_point now)
    : limit_(l), level_(std::clamp(level, 0.0, l.burst)), last_(now) {}

bucket bucket::take_over(limit l, const handover& h, base::time_point now) {
  bucket out(l, 0, now);
  const auto tokens = static_cast<std::uint32_t>(std::min<double>(h.outstanding, max_taken_over));
  if (tokens > 0) {
    // The instances that hold these tokens report to the former owner, so here the tokens can only
    // expire.
    auto& a = out.accounts_[{std::string(), 0}];
    a.last_seen = now;
    out.grant_to(a, tokens, now);
  }
  out.level_ = std::clamp(h.level, 0.0, std::max(0.0, l.burst - static_cast<double>(tokens)));
  return out;
}

double bucket::accrual(base::duration d) const noexcept {
  // Uses the shortest true time, because the owner's clock may be fast by the drift bound.
  return limit_.rate * base::to_seconds(base::shorten_by_drift(d));
}

void bucket::accrue(base::time_point now) {
  if (now <= last_) {
    return;
  }
  const double free_capacity = limit_.burst - level_ - static_cast<double>(outstanding_);
  const double gain = accrual(now - last_);
  if (gain < free_capacity) {
    level_ += gain;
  } else {
    const double filled = std::max(free_capacity, 0.0);
    level_ += filled;
    if (!blocked_since_) {
      blocked_since_ =
          gain > 0 ? last_ + base::from_seconds(base::to_seconds(now - last_) * (filled / gain))
                   : now;
    }
  }
  last_ = now;
}

void bucket::set_limit(const limit& l, base::time_point now) {
  if (l.rate == limit_.rate && l.burst == limit_.burst) {
    accrue(now);
    return;
  }
  // The time of the change within the elapsed time is unknown, so the lower rate applies.
  limit_.rate = std::min(limit_.rate, l.rate);
  accrue(now);
  limit_ = l;
  level_ = std::min(level_, std::max(0.0, l.burst - static_cast<double>(outstanding_)));
  if (blocked_since_) {
    blocked_since_ = now;
  }
  check_unblocked();
}

void bucket::check_unblocked() {
  if (level_ + static_cast<double>(outstanding_) < limit_.burst) {
    blocked_since_.reset();
  }
}

bool bucket::apply(const account_key& key, std::uint64_t seq, bool is_same_term,
                   const token_request_item& item, base::time_point now) {
  accrue(now);
  const auto [it, is_new] = accounts_.try_emplace(key);
  auto& a = it->second;
  if (!is_new && seq <= a.last_seq) {
    return false;
  }
  if (!is_new) {
    // The sender has abandoned all older frames, so it can never spend tokens that it does not
    // hold. If its count of spent tokens has restarted, the number of these that were spent is
    // unknown.
    const auto held = is_same_term ? std::min(item.held, a.outstanding) : 0;
    const auto freed = a.outstanding - held;
    const auto delta = item.spent >= a.spent ? item.spent - a.spent : freed;
    const auto spent = static_cast<std::uint32_t>(std::min<std::uint64_t>(delta, freed));
    remove_oldest(a, freed);
    settle_returned(freed - spent);
    settle_spent(spent, item.ages_us, now);
  }
  a.last_seq = seq;
  a.spent = item.spent;
  a.last_seen = now;
  a.queued.reset();
  if (item.urgent > 0 || item.wanted_tokens > 0) {
    a.queued =
        account::queued_request{seq, item.urgent, item.wanted_tokens, now + queue_time, false};
  }
  return true;
}

void bucket::remove_oldest(account& a, std::uint32_t n) {
  // Instances spend the oldest tokens first, so the batches that expire last are kept.
  a.outstanding -= n;
  while (n > 0 && !a.batches.empty()) {
    const auto part = std::min(n, a.batches.front().tokens);
    a.batches.front().tokens -= part;
    n -= part;
    if (a.batches.front().tokens == 0) {
      a.batches.erase(a.batches.begin());
    }
  }
}

void bucket::settle_returned(std::uint32_t n) {
  outstanding_ -= n;
  level_ += n;
}

void bucket::settle_spent(std::uint32_t n, const std::vector<std::uint32_t>& ages_us,
                          base::time_point now) {
  // Each spend freed capacity at the moment it happened, which is `now - age` at the latest.
  // Accrual that the burst has stopped since then is credited. Without the credit, a burst smaller
  // than rate x round trip would limit the workspace to burst / round trip.
  const auto time_of = [now](std::uint32_t age_us) {
    return now - base::shorten_by_drift(base::microseconds(age_us));
  };
  const auto listed = static_cast<std::uint32_t>(std::min<std::size_t>(n, ages_us.size()));
  // Spends that are not listed are older than those that are.
  settle_spent_at(n - listed, ages_us.empty() ? now : time_of(ages_us.front()), now);
  for (const auto age : std::span(ages_us).last(listed)) {
    settle_spent_at(1, time_of(age), now);
  }
}

/// In one step for all spends of one time: their number is as great as a burst may be.
void bucket::settle_spent_at(std::uint32_t n, base::time_point spent_at, base::time_point now) {
  if (n == 0) {
    return;
  }
  outstanding_ -= n;
  if (!blocked_since_ || limit_.rate <= 0) {
    blocked_since_.reset();
    return;
  }
  const auto from = std::max(spent_at, *blocked_since_);
  const double credit = std::min<double>(n, std::max(0.0, accrual(now - from)));
  const double free_capacity = limit_.burst - level_ - static_cast<double>(outstanding_);
  level_ += std::min(credit, std::max(free_capacity, 0.0));
  if (credit < n) {
    blocked_since_.reset();
  } else {
    blocked_since_ = std::min(
        now, from + base::from_seconds(n / (limit_.rate * (1.0 - base::clock_drift_bound))));
  }
}

void bucket::grant_to(account& a, std::uint32_t tokens, base::time_point now) {
  level_ -= tokens;
  outstanding_ += tokens;
  a.outstanding += tokens;
  a.batches.push_back({now + lengthen_by_drift(token_lifetime), tokens});
}

void bucket::expire(base::time_point now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    auto& a = it->second;
    while (!a.batches.empty() && a.batches.front().expires <= now) {
      // These tokens may have been spent, so they do not return to the bucket.
      a.outstanding -= a.batches.front().tokens;
      outstanding_ -= a.batches.front().tokens;
      a.batches.erase(a.batches.begin());
    }
    if (a.queued && a.queued->until <= now) {
      a.queued.reset();
    }
    const bool is_unused = a.outstanding == 0 && !a.queued && now - a.last_seen > account_idle;
    it = is_unused ? accounts_.erase(it) : std::next(it);
  }
  check_unblocked();
}

bool bucket::is_idle() const noexcept {
  return accounts_.empty() && level_ >= limit_.burst - full_tolerance;
}

std::size_t bucket::queued_count() const noexcept {
  return static_cast<std::size_t>(
      std::ranges::count_if(accounts_, [](const auto& e) { return e.second.queued.has_value(); }));
}

} // namespace kingcupshunt::rates
