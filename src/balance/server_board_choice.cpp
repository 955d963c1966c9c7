// Choice among servers whose load is known by reports only.

#include <algorithm>

#include "kingcupshunt/balance/server_board.h"

namespace kingcupshunt::balance {

/// Requests of other instances that the load reports applied here do not contain yet. By Little's
/// law, the requests in flight divided by the response time give the rate at which others start.
double server_board::expected_requests(const service_state& of, base::time_point now) const {
  if (!is_relay_local_ || of.mean_seconds <= 0) {
    return 0;
  }
  double others = 0;
  for (const auto* s : of.servers) {
    others += others_in_flight(*s, now);
  }
  const auto age = settings_.report_delay + std::max(base::duration{}, now - total_at_);
  return others / of.mean_seconds * base::to_seconds(std::min(age, settings_.report_lifetime));
}

} // namespace kingcupshunt::balance
