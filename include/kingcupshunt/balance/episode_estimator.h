#pragma once

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::balance {

/// Model of servers that fail for seconds at a time (a fault episode) while their health checks
/// succeed.
struct episode_settings {
  double prior_probability = 0.10;                 ///< of an episode, for a server without evidence
  base::duration time_constant = base::seconds(6); ///< time constant of the decay of evidence
  double failure_share = 0.8; ///< share of the requests that fail during an episode
  /// Likelihood ratios: probability of an outcome during an episode over that outside of one.
  double reset_likelihood_ratio = 300; ///< connection refused, or closed before a whole answer
  double error_likelihood_ratio = 12;  ///< error answer; healthy servers return some as well
  double late_likelihood_ratio = 20;   ///< no answer for several times the usual response time
  double success_likelihood_ratio = 0.2;
  /// Exponent of the likelihood ratio for outcomes that other instances report: their network path
  /// to the server may be at fault instead.
  double remote_exponent = 0.9;
};

/// Estimates whether a server is in a fault episode, from the outcomes of its requests. Servers
/// alternate between healthy periods and episodes, so evidence decays towards the prior.
class episode_estimator {
public:
  /// Applies an outcome that is `likelihood_ratio` times as probable during an episode as outside
  /// of one.
  void update(double likelihood_ratio, const episode_settings& settings, base::time_point now);

  /// Probability that the server is in a fault episode, 0 to 1.
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
