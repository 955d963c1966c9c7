#pragma once

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::membership {

struct flap_settings {
  double suppress_above = 2.0; ///< penalty from which on a member is damped
  double reuse_below = 1.0;    ///< penalty below which it is used again
  double max_penalty = 6.0;    ///< bounds the time for which a member stays damped
  base::duration half_life = base::seconds(30);
};

/// Penalty of one member: 1 for each return from failure, decaying exponentially.
class flap_damper {
public:
  void add_return(const flap_settings& settings, base::time_point now);

  /// Re-evaluates the penalty. Returns whether the member is damped.
  bool update(const flap_settings& settings, base::time_point now);

  bool is_damped() const noexcept { return is_damped_; }

private:
  void decay(const flap_settings& settings, base::time_point now);

  double penalty_ = 0.0;
  base::time_point updated_at_{};
  bool is_damped_ = false;
};

} // namespace kingcupshunt::membership
