#include "kingcupshunt/admission/window_budget.h"

#include <algorithm>
#include <numeric>

namespace kingcupshunt::admission {

window_budget::account& window_budget::account_at(std::string_view service, base::time_point now) {
  const std::int64_t slot =
      (now.time_since_epoch() * static_cast<std::int64_t>(slots_per_window)) / settings_.window;
  auto it = accounts_.find(service);
  if (it == accounts_.end()) {
    it = accounts_.emplace(std::string(service), account{}).first;
    it->second.newest = slot;
  }
  auto& a = it->second;
  const auto size = static_cast<std::int64_t>(a.requests.size());
  for (auto i = std::max(a.newest + 1, slot - size + 1); i <= slot; ++i) {
    a.requests[static_cast<std::size_t>(i % size)] = 0;
    a.retries[static_cast<std::size_t>(i % size)] = 0;
  }
  a.newest = std::max(a.newest, slot);
  return a;
}

void window_budget::deposit(std::string_view service, base::time_point now) {
  auto& a = account_at(service, now);
  ++a.requests[static_cast<std::size_t>(a.newest) % a.requests.size()];
}

bool window_budget::withdraw(std::string_view service, std::size_t instances,
                             base::time_point now) {
  auto& a = account_at(service, now);
  const auto sum = [](const auto& counts) {
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
  };
  // The oldest slot is partly out of the window: its retries count, its requests do not.
  const auto oldest = static_cast<std::size_t>(a.newest + 1) % a.requests.size();
  const auto requests = static_cast<double>(sum(a.requests) - a.requests[oldest]);
  const auto retries = static_cast<double>(sum(a.retries));
  const auto slack = settings_.slack * settings_.used_slack /
                     static_cast<double>(std::max<std::size_t>(instances, 1));
  if (retries + 1 > requests * settings_.share * settings_.used_share + slack) {
    return false;
  }
  ++a.retries[static_cast<std::size_t>(a.newest) % a.retries.size()];
  return true;
}

} // namespace kingcupshunt::admission
