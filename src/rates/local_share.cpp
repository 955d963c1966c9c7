#include "kingcupshunt/rates/local_share.h"

#include <algorithm>

namespace kingcupshunt::rates {

limit local_share::share_of(const limit& workspace_limit, double instances) const {
  const double n = std::max(instances, 1.0);
  return {workspace_limit.rate / n, std::max(workspace_limit.burst / n, settings_.min_burst)};
}

local_share::bucket& local_share::refill(std::string_view workspace, const limit& share,
                                         base::time_point now) {
  auto it = buckets_.find(workspace);
  if (it == buckets_.end()) {
    it = buckets_.emplace(std::string(workspace), bucket{share.burst, now}).first;
  }
  auto& b = it->second;
  b.tokens = std::min(share.burst, b.tokens + share.rate * base::to_seconds(now - b.at));
  b.at = now;
  return b;
}

bool local_share::take(std::string_view workspace, const limit& workspace_limit, double instances,
                       base::time_point now) {
  auto& b = refill(workspace, share_of(workspace_limit, instances), now);
  if (b.tokens < 1) {
    return false;
  }
  b.tokens -= 1;
  return true;
}

void local_share::note_granted(std::string_view workspace, const limit& workspace_limit,
                               double instances, base::time_point now) {
  const auto share = share_of(workspace_limit, instances);
  auto& b = refill(workspace, share, now);
  // Bounded so that a negative balance is restored within the window.
  b.tokens = std::max(b.tokens - 1, -share.rate * base::to_seconds(settings_.window));
}

} // namespace kingcupshunt::rates
