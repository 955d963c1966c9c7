#include "kingcupshunt/balance/episode_estimator.h"

#include <algorithm>
#include <cmath>

namespace kingcupshunt::balance {

namespace {

/// A single outcome can always move the belief again.
constexpr double min_probability = 0.002;
constexpr double max_probability = 0.99;
/// Evidence this close to the usual share has faded.
constexpr double negligible_distance = 0.001;

} // namespace

void episode_estimator::update(double likelihood_ratio, const episode_settings& settings,
                               base::time_point now) {
  const double before = episode_probability(settings, now);
  const double after = before * likelihood_ratio / (before * likelihood_ratio + 1 - before);
  probability_ = std::clamp(after, min_probability, max_probability);
  at_ = now;
}

double episode_estimator::episode_probability(const episode_settings& settings,
                                              base::time_point now) const {
  const double usual = settings.prior_probability;
  const double distance = probability_ - usual;
  if (probability_ < 0 || now <= at_ || std::abs(distance) < negligible_distance) {
    return probability_ < 0 ? usual : probability_;
  }
  return usual + distance * std::exp(-base::to_seconds(now - at_) /
                                     base::to_seconds(settings.time_constant));
}

} // namespace kingcupshunt::balance
