#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kingcupshunt/admission/quantile_estimate.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/config/snapshot.h"
#include "kingcupshunt/health/attempt.h"

namespace kingcupshunt::admission {

struct hedging_settings {
  double quantile = 0.95;          ///< of the route's time to first byte
  std::uint64_t min_samples = 50;  ///< answers needed before the first hedge
  std::uint64_t window = 2000;     ///< answers after which the estimate is restarted
  base::milliseconds min_delay{2}; ///< lower bound of the delay
  std::size_t max_routes = 200000; ///< maximum number of routes with an estimate
};

/// Estimates, for each route, the delay after which a slow request may be sent a second time.
class hedging {
public:
  explicit hedging(hedging_settings settings = {}) : settings_(settings) {}

  /// Records the time to first byte of an answered try, or the total time of a cancelled one that
  /// took longer than the estimate.
  void note(const health::attempt& a);

  /// Delay for a route; empty when the route is not hedged or not repeatable, when there are too
  /// few answers, or when the time `left` until the deadline is not longer than the delay. The
  /// hedge also needs the consent of retry_policy::take_hedge.
  std::optional<base::duration> delay(std::string_view route, bool is_hedged, bool is_repeatable,
                                      base::duration left) const;

private:
  struct estimate {
    quantile_estimate current;
    double last = 0; ///< result of the previous window in seconds, 0 when none
  };

  hedging_settings settings_;
  std::unordered_map<std::string, estimate, config::string_hash, std::equal_to<>> routes_;
};

} // namespace kingcupshunt::admission
