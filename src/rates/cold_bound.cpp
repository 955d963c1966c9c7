#include "kingcupshunt/rates/cold_bound.h"

#include <algorithm>

namespace kingcupshunt::rates {

namespace {

/// A relay issues whole permits, so its first one may come up to one permit early. Deployments have
/// up to four data centres with a relay each.
constexpr double max_relays = 4;
constexpr double max_rounding_share = 0.25; ///< of a bound that is too small for that

double rounding(const cold_bound& bound, double rate) noexcept {
  return std::min(max_relays, max_rounding_share * bound.requests_per_second(rate));
}

/// Time in which the permits were issued that can be used in one second.
double issue_window_s() noexcept {
  return 1 + base::to_seconds(cold_permit_lifetime) + base::to_seconds(cold_permit_accrual) +
         base::to_seconds(cold_send_delay);
}

} // namespace

double most_permitted_per_second(const cold_bound& bound, double rate,
                                 double issued_per_second) noexcept {
  return issued_per_second * issue_window_s() + rounding(bound, rate);
}

double cold_issue_rate(const cold_bound& bound, double rate) noexcept {
  const double left = bound.requests_per_second(rate) - rounding(bound, rate);
  return std::clamp(left / issue_window_s(), 0.0, rate);
}

std::uint32_t cold_share_without_relay(const cold_bound& bound, double rate,
                                       std::uint32_t entries) noexcept {
  const double left = bound.requests_per_second(rate) -
                      most_permitted_per_second(bound, rate, cold_issue_rate(bound, rate));
  return static_cast<std::uint32_t>(std::max(left, 0.0) / std::max<std::uint32_t>(entries, 1));
}

} // namespace kingcupshunt::rates
