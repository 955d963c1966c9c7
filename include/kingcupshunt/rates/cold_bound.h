#pragma once

#include <cstdint>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::rates {

/// Time after its issue for which a permit for a cold server may be used. An entry with two or more
/// requests per second for the service uses most of its permits within this time.
inline constexpr base::milliseconds cold_permit_lifetime{700};
/// Permits for a cold server that cannot be issued accrue to one, plus those of this time.
inline constexpr base::milliseconds cold_permit_accrual{100};
/// A request that is begun with a permit may be sent this much later, once a connection exists.
inline constexpr base::milliseconds cold_send_delay{500};

/// Bound on the requests that a cold server gets from all entries together in any second, relative
/// to the rate that its service states for cold servers.
struct cold_bound {
  double over = 1.5; ///< multiple of the rate
  double slack = 8;  ///< requests beyond that

  double requests_per_second(double rate) const noexcept { return over * rate + slack; }
};

/// Requests that may be sent in one second with permits that are issued at `issued_per_second` in
/// all: those of the second, of a lifetime and a delay before it, and the first permit of each
/// relay.
double most_permitted_per_second(const cold_bound& bound, double rate,
                                 double issued_per_second) noexcept;

/// Permits per second that relays issue for a cold server: its rate, or less where late permits
/// could otherwise add up to more than the bound.
double cold_issue_rate(const cold_bound& bound, double rate) noexcept;

/// Requests that an entry without a relay may send to a cold server in any second: an equal share
/// of what the bound leaves beside the permits of the relays, rounded down.
std::uint32_t cold_share_without_relay(const cold_bound& bound, double rate,
                                       std::uint32_t entries) noexcept;

} // namespace kingcupshunt::rates
