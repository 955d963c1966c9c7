#include "kingcupshunt/membership/wire_age.h"

#include <algorithm>

namespace kingcupshunt::membership {

std::int64_t age_rounded_up(base::time_point then, base::time_point now) noexcept {
  if (then == base::time_point::min()) {
    return -1;
  }
  const auto age = std::max(now - then, base::duration::zero());
  const auto units = (age + age_unit - base::duration(1)) / age_unit;
  return units > max_age_units ? -1 : units;
}

std::int64_t age_rounded_down(base::time_point then, base::time_point now) noexcept {
  if (then == base::time_point::min()) {
    return max_age_units;
  }
  return std::min<std::int64_t>(std::max(now - then, base::duration::zero()) / age_unit,
                                max_age_units);
}

base::time_point earliest_time(base::time_point sent_at, std::int64_t units) noexcept {
  const auto age = base::to_seconds(age_unit * units);
  return sent_at - base::from_seconds(age / (1.0 - base::clock_drift_bound));
}

base::time_point latest_time(base::time_point heard_at, std::int64_t units) noexcept {
  return heard_at - base::shorten_by_drift(age_unit * units);
}

} // namespace kingcupshunt::membership
