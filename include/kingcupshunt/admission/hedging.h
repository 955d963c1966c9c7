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
  double quantile = 0.95;          ///< of the route's first-byte time
  std::uint64_t min_samples = 50;  ///< no hedge before so many answers
  std::uint64_t window = 2000;     ///< answers after which the estimate starts anew
  base::milliseconds min_delay{2}; ///< never hedge sooner
  std::size_t max_routes = 200000; ///< routes with an estimate
};

/// Delay after which a late lookup of a route may be sent a second time.
class hedging {
public:
  explicit hedging(hedging_settings settings = {}) : settings_(settings) {}

  /// Records the first-byte time of an answered try.
  void note(const health::attempt& a);

  /// Delay for a route; empty when the route is not hedged or not repeatable, when too few answers
  /// are known, or when less than the delay is left until the deadline. Whether a hedge is sent
  /// then is for retry_policy::take_hedge to say.
  std::optional<base::duration> delay(std::string_view route, bool is_hedged, bool is_repeatable,
                                      base::duration left) const;

private:
  struct estimate {
    quantile_estimate current;
    double last = 0; ///< result of the window before, 0 when none
  };

  hedging_settings settings_;
  std::unordered_map<std::string, estimate, config::string_hash, std::equal_to<>> routes_;
};

} // namespace kingcupshunt::admission
