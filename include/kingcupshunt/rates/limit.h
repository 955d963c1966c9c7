#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::rates {

/// Rate limit of a workspace over the whole fleet.
struct limit {
  double rate = 0;  ///< requests per second
  double burst = 0; ///< requests
};

/// Limit of a workspace in the current configuration, empty when there is no such workspace.
using limit_function = std::function<std::optional<limit>(std::string_view workspace)>;

/// Maximum time for which a token may be held, on the holder's clock, counted from the moment at
/// which the holder requested it.
inline constexpr base::milliseconds token_lifetime{1000};

/// Age of an owner's view beyond which it grants nothing. It is half the freshness lifetime of
/// keys, because a new owner waits for this time and refuses requests of its workspaces meanwhile.
inline constexpr base::milliseconds freshness_bound{1000};

/// Lengthens a duration so that it has passed on every clock within the drift bound. 3 % covers a
/// holder that is 1 % slow and an owner that is 1 % fast, with a margin.
inline base::duration lengthen_by_drift(base::duration d) noexcept {
  return base::from_seconds(base::to_seconds(d) * (1.0 + 3 * base::clock_drift_bound));
}

/// Wait of a new owner before its first grant.
inline base::duration takeover_wait() noexcept {
  return lengthen_by_drift(freshness_bound + token_lifetime);
}

} // namespace kingcupshunt::rates
