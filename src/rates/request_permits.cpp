#include "kingcupshunt/rates/request_permits.h"

#include <algorithm>
#include <limits>

#include "kingcupshunt/rates/server_limit.h"

namespace kingcupshunt::rates {

bool request_permits::set_limit(std::optional<double> per_second) {
  if (limit_ == per_second) {
    return false;
  }
  if (!limit_) {
    sent_ = 0;
  }
  limit_ = per_second;
  if (!limit_) {
    batches_.clear();
  }
  return true;
}

void request_permits::add(std::uint32_t n, base::time_point now) {
  add_until(n, now + permit_lifetime, now);
}

void request_permits::add_until(std::uint32_t n, base::time_point expires, base::time_point now) {
  if (!limit_ || n == 0) {
    return; // issued before the limit ended
  }
  std::erase_if(batches_, [now](const batch& b) { return b.expires <= now; });
  const auto it = std::ranges::lower_bound(batches_, expires, {}, &batch::expires);
  if (it != batches_.end() && it->expires == expires) {
    it->permits = std::min(it->permits + std::min(n, max_permits), max_permits);
  } else {
    batches_.insert(it, {expires, std::min(n, max_permits)});
  }
}

std::uint32_t request_permits::available(base::time_point now) const noexcept {
  if (!limit_) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  std::uint32_t n = 0;
  for (const auto& b : batches_) {
    n += b.expires > now ? b.permits : 0;
  }
  return n;
}

void request_permits::take(base::time_point now) {
  if (!limit_) {
    return;
  }
  ++sent_;
  std::erase_if(batches_, [now](const batch& b) { return b.expires <= now; });
  if (!batches_.empty() && --batches_.front().permits == 0) {
    batches_.erase(batches_.begin());
  }
}

} // namespace kingcupshunt::rates
