#pragma once

#include <cmath>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::rates {

/// Rate of events, averaged with exponentially decaying weights.
class decayed_count {
public:
  void add(double n, base::time_point now) {
    value_ = value_at(now) + n;
    at_ = now;
  }

  /// Events per second.
  double rate(base::time_point now) const { return value_at(now) / time_constant; }

private:
  static constexpr double time_constant = 0.5; ///< seconds

  double value_at(base::time_point now) const {
    return now <= at_ ? value_ : value_ * std::exp(-base::to_seconds(now - at_) / time_constant);
  }

  double value_ = 0;
  base::time_point at_{};
};

} // namespace kingcupshunt::rates
