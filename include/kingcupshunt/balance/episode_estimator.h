#pragma once

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::balance {

/// What is known of servers that fail for seconds at a time while their health checks succeed.
struct episode_settings {
  double prior_probability =
      0.10; ///< of its time that a server without evidence is taken to fail in
  base::duration time_constant = base::seconds(6); ///< time constant in which evidence fades
  double failure_share = 0.8;                      ///< of the requests during a spell
  /// How much more probable an outcome is during a spell than outside of one.
  double reset_likelihood_ratio = 300; ///< a connection refused or ended without a whole answer
  double error_likelihood_ratio = 12;  ///< an error answer; sound servers give some as well
  double late_likelihood_ratio = 20;   ///< no answer for several times the usual time
  double success_likelihood_ratio = 0.2;
  /// Exponent of the odds of what other instances met: their path to the server may be at fault.
  double remote_exponent = 0.9;
};

/// Estimates whether one server is in a spell of failures, from the outcomes of its requests. A
/// server changes between sound times and spells, so that evidence fades towards the usual share.
class episode_estimator {
public:
  /// An outcome that is `likelihood_ratio` times as probable during a spell.
  void update(double likelihood_ratio, const episode_settings& settings, base::time_point now);

  /// Probability that the server is in a spell, 0 to 1.
  double episode_probability(const episode_settings& settings, base::time_point now) const;

  /// Probability that a request fails, 0 to 1.
  double failure_probability(const episode_settings& settings, base::time_point now) const {
    return episode_probability(settings, now) * settings.failure_share;
  }

private:
  double probability_ = -1; ///< at `at_`; below 0: no evidence yet
  base::time_point at_{};
};

} // namespace kingcupshunt::balance
