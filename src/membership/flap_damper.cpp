#include "kingcupshunt/membership/flap_damper.h"

#include <algorithm>
#include <cmath>

namespace kingcupshunt::membership {

void flap_damper::decay(const flap_settings& settings, base::time_point now) {
  const auto half_lives =
      base::to_seconds(now - updated_at_) / base::to_seconds(settings.half_life);
  penalty_ *= std::exp2(-std::max(half_lives, 0.0));
  updated_at_ = now;
}

void flap_damper::add_return(const flap_settings& settings, base::time_point now) {
  decay(settings, now);
  penalty_ = std::min(penalty_ + 1.0, settings.max_penalty);
  is_damped_ = is_damped_ || penalty_ >= settings.suppress_above;
}

bool flap_damper::update(const flap_settings& settings, base::time_point now) {
  if (is_damped_) {
    decay(settings, now);
    is_damped_ = penalty_ >= settings.reuse_below;
  }
  return is_damped_;
}

} // namespace kingcupshunt::membership
