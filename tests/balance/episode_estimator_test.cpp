#include <doctest/doctest.h>

#include "kingcupshunt/balance/episode_estimator.h"

using namespace kingcupshunt;
using balance::episode_estimator;

namespace {

const base::time_point start{base::seconds(100)};
const balance::episode_settings settings;

} // namespace

TEST_CASE("one reset after many successes is enough to doubt a server, one success is not enough "
          "to trust it again") {
  episode_estimator b;
  auto now = start;
  for (int i = 0; i < 50; ++i) {
    now += base::milliseconds(200);
    b.update(settings.success_likelihood_ratio, settings, now);
  }
  CHECK(b.failure_probability(settings, now) < 0.02);
  b.update(settings.reset_likelihood_ratio, settings, now);
  b.update(settings.reset_likelihood_ratio, settings, now + base::milliseconds(100));
  CHECK(b.episode_probability(settings, now + base::milliseconds(100)) > 0.9);
  b.update(settings.success_likelihood_ratio, settings, now + base::milliseconds(200));
  CHECK(b.episode_probability(settings, now + base::milliseconds(200)) > 0.5);
  b.update(settings.success_likelihood_ratio, settings, now + base::milliseconds(300));
  b.update(settings.success_likelihood_ratio, settings, now + base::milliseconds(400));
  b.update(settings.success_likelihood_ratio, settings, now + base::milliseconds(500));
  CHECK(b.episode_probability(settings, now + base::milliseconds(500)) < 0.2);
}

TEST_CASE("one error answer is no spell, several are") {
  episode_estimator b;
  for (int i = 0; i < 20; ++i) {
    b.update(settings.success_likelihood_ratio, settings, start);
  }
  b.update(settings.error_likelihood_ratio, settings, start);
  CHECK(b.episode_probability(settings, start) < 0.1);
  b.update(settings.error_likelihood_ratio, settings, start);
  b.update(settings.error_likelihood_ratio, settings, start);
  b.update(settings.error_likelihood_ratio, settings, start);
  CHECK(b.episode_probability(settings, start) > 0.5);
}

TEST_CASE("evidence fades to the usual share") {
  episode_estimator bad;
  bad.update(settings.reset_likelihood_ratio, settings, start);
  bad.update(settings.reset_likelihood_ratio, settings, start);
  const auto later = start + settings.time_constant * 5;
  CHECK(bad.episode_probability(settings, later) < settings.prior_probability + 0.02);
  episode_estimator good;
  good.update(settings.success_likelihood_ratio, settings, start);
  CHECK(good.episode_probability(settings, later) > settings.prior_probability - 0.01);
}
