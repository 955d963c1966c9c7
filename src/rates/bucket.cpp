#include "kingcupshunt/rates/bucket.h"

#include <algorithm>
#include <cmath>

namespace kingcupshunt::rates {

namespace {

// Tolerance in tokens for sums of floating-point numbers; only used to tell a full bucket.
constexpr double full_tolerance = 1e-6;
// An account without tokens or asks is forgotten after this time.
constexpr base::seconds account_idle{5};
// Bound on the outstanding tokens that a handover may state.
constexpr double max_taken_over = 1e9;
// A queued ask outlives the longest wait of a request at an instance (100 ms by default).
constexpr base::milliseconds queue_time{150};

} // namespace

bucket::bucket(limit l, double level, base::time_point now)
    : limit_(l), level_(std::clamp(level, 0.0, l.burst)), last_(now) {}

bucket bucket::take_over(limit l, const handover& h, base::time_point now) {
  bucket out(l, 0, now);
  const auto tokens = static_cast<std::uint32_t>(std::min<double>(h.outstanding, max_taken_over));
  if (tokens > 0) {
    // Whoever holds these tokens reports to the former owner, so they can only expire.
    auto& a = out.accounts_[{std::string(), 0}];
    a.last_seen = now;
    out.grant_to(a, tokens, now);
  }
  out.level_ = std::clamp(h.level, 0.0, std::max(0.0, l.burst - static_cast<double>(tokens)));
  return out;
}

double bucket::accrual(base::duration d) const noexcept {
  // The owner's clock may run fast by the drift bound; the true time is what counts.
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
  // The moment of the change within the elapsed time is unknown, so the lesser rate counts.
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
    // The sender has abandoned all older frames, so what it does not hold it can never spend. An
    // unknown part of it was spent if its count of spent tokens started again.
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
  // Instances spend the oldest tokens first, so the lots that expire last are kept.
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
  // Each spend made room from the moment it happened, which `now - age` bounds from above. Accrual
  // that the burst stopped since then is made up for. Without it a burst smaller than
  // rate x round trip would cap the workspace at burst / round trip.
  for (std::uint32_t i = 0; i < n; ++i) {
    outstanding_ -= 1;
    if (!blocked_since_ || limit_.rate <= 0) {
      blocked_since_.reset();
      continue;
    }
    auto spent_at = now;
    if (!ages_us.empty()) {
      const std::size_t back = n - i; // 1 is the newest spend
      const auto age = ages_us[ages_us.size() - std::min<std::size_t>(back, ages_us.size())];
      spent_at = now - base::shorten_by_drift(base::microseconds(age));
    }
    const auto from = std::max(spent_at, *blocked_since_);
    const double credit = std::min(1.0, std::max(0.0, accrual(now - from)));
    const double free_capacity = limit_.burst - level_ - static_cast<double>(outstanding_);
    level_ += std::min(credit, std::max(free_capacity, 0.0));
    if (credit < 1.0) {
      blocked_since_.reset();
    } else {
      blocked_since_ = std::min(
          now, from + base::from_seconds(1.0 / (limit_.rate * (1.0 - base::clock_drift_bound))));
    }
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
      // Whether these tokens were spent is unknown, so they do not return to the bucket.
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
