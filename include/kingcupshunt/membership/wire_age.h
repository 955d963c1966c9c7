#pragma once

#include <cstdint>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::membership {

/// Unit of ages on the wire.
inline constexpr base::duration age_unit = base::milliseconds(10);

/// Ages beyond this are of no use and are not sent.
inline constexpr std::int64_t max_age_units = 1000;

/// Age of `then` at `now` in units, rounded up. Negative when it is too old to be of use.
std::int64_t age_rounded_up(base::time_point then, base::time_point now) noexcept;

/// Age of `then` at `now` in units, rounded down and capped.
std::int64_t age_rounded_down(base::time_point then, base::time_point now) noexcept;

/// Earliest time on this clock of an event that another clock put `units` before it answered a
/// query sent at `sent_at`. Only the own send time is used, and the other clock may run slow.
base::time_point earliest_time(base::time_point sent_at, std::int64_t units) noexcept;

/// Latest time on this clock of an event that another clock put at least `units` before it
/// answered a query whose answer arrived at `heard_at`. The other clock may run fast.
base::time_point latest_time(base::time_point heard_at, std::int64_t units) noexcept;

} // namespace kingcupshunt::membership
