#include "kingcupshunt/rates/local_share.h"

#include <algorithm>

namespace kingcupshunt::rates {

limit local_share::share_of(const limit& whole, double instances) const {
  const double n = std::max(instances, 1.0);
  return {whole.rate / n, std::max(whole.burst / n, settings_.min_burst)};
}

local_share::bucket& local_share::refill(std::string_view workspace, const limit& part,
                                         base::time_point now) {
  auto it = buckets_.find(workspace);
  if (it == buckets_.end()) {
    it = buckets_.emplace(std::string(workspace), bucket{part.burst, now}).first;
  }
  auto& b = it->second;
  b.tokens = std::min(part.burst, b.tokens + part.rate * base::to_seconds(now - b.at));
  b.at = now;
  return b;
}

bool local_share::take(std::string_view workspace, const limit& whole, double instances,
                       base::time_point now) {
  auto& b = refill(workspace, share_of(whole, instances), now);
  if (b.tokens < 1) {
    return false;
  }
  b.tokens -= 1;
  return true;
}

void local_share::note_granted(std::string_view workspace, const limit& whole, double instances,
                               base::time_point now) {
  const auto part = share_of(whole, instances);
  auto& b = refill(workspace, part, now);
  // A debt is paid off within the window.
  b.tokens = std::max(b.tokens - 1, -part.rate * base::to_seconds(settings_.window));
}

} // namespace kingcupshunt::rates
