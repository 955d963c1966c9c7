#include <algorithm>
#include <cmath>
#include <vector>

#include <doctest/doctest.h>

#include "kingcupshunt/admission/retry_budget.h"
#include "kingcupshunt/admission/window_budget.h"
#include "kingcupshunt/base/rng.h"

using namespace kingcupshunt;
using namespace kingcupshunt::admission;

namespace {

constexpr double share = 0.2; // of the deployments: retries of all instances for each request
constexpr base::seconds window{10};
constexpr base::milliseconds step{100};
constexpr int calm_steps = 300;
constexpr int storm_steps = 300;
constexpr unsigned most_retries = 3; // of one request

/// A deployment: entries and their sum of requests, and the retries allowed beyond the share.
struct deployment {
  std::size_t entries = 0;
  double requests_per_second = 0;
  double slack = 0;
};

/// Requests and retries of all entries in each step.
struct record {
  std::vector<std::uint64_t> requests;
  std::vector<std::uint64_t> retries;
};

/// Plays calm traffic and then a storm in which nearly every try is refused or cut: servers end and
/// shed at once. `withdraw(entry, now)` and `deposit(entry, now)` ask the budget of an entry.
template <class Deposit, class Withdraw>
record play(const deployment& d, Deposit&& deposit, Withdraw&& withdraw) {
  base::rng rng(7);
  record out;
  base::time_point now = base::time_point{} + base::seconds(1000);
  const double mean = d.requests_per_second * base::to_seconds(step);
  for (int i = 0; i < calm_steps + storm_steps; ++i, now += step) {
    const double failing = i < calm_steps ? 0.02 : 0.9;
    auto& requests = out.requests.emplace_back(0);
    auto& retries = out.retries.emplace_back(0);
    const auto count = static_cast<int>(mean) + (rng.unit() < mean - std::floor(mean) ? 1 : 0);
    for (int n = 0; n < count; ++n) {
      const auto entry = rng.below(d.entries);
      deposit(entry, now);
      ++requests;
      for (unsigned r = 0; r < most_retries && rng.unit() < failing; ++r) {
        if (!withdraw(entry, now)) {
          break;
        }
        ++retries;
      }
    }
  }
  return out;
}

/// Greatest excess of the retries of a window over what is allowed for its requests; above 0 the
/// promise is broken. The requests of the window, of the one before and of the one half a window
/// before count, whichever has most.
double worst_excess(const deployment& d, const record& r) {
  const auto steps = static_cast<std::size_t>(window / step);
  const auto sum = [&](const std::vector<std::uint64_t>& of, std::size_t from) {
    double out = 0;
    for (std::size_t i = from; i < from + steps; ++i) {
      out += static_cast<double>(of[i]);
    }
    return out;
  };
  double worst = -1e9;
  for (std::size_t from = steps; from + steps <= r.requests.size(); ++from) {
    const double requests = std::max(
        {sum(r.requests, from), sum(r.requests, from - steps), sum(r.requests, from - steps / 2)});
    worst = std::max(worst, sum(r.retries, from) - (requests * share + d.slack));
  }
  return worst;
}

const std::vector<deployment> deployments = {
    {15, 115, 58}, {46, 980, 194}, {150, 1230, 602}, {1500, 12300, 6020}};

} // namespace

// Guards against retries that every instance had saved in calm and all use in the first seconds in
// which servers end and shed at once: the sum over the fleet went beyond its budget.
TEST_CASE("retries of all instances keep the fleet's budget when servers end and shed at once") {
  for (const auto& d : deployments) {
    CAPTURE(d.entries);
    window_budget_settings settings;
    settings.share = share;
    settings.window = window;
    settings.slack = d.slack;
    std::vector<window_budget> entries(d.entries, window_budget(settings));
    const auto r = play(
        d, [&](std::size_t e, base::time_point now) { entries[e].deposit("orders", now); },
        [&](std::size_t e, base::time_point now) {
          return entries[e].withdraw("orders", d.entries, now);
        });
    CHECK(worst_excess(d, r) <= 0);
  }
}

// The baseline: the budget before this one, with the settings that it had.
TEST_CASE(
    "a budget that saves ten seconds of retries breaks the fleet's budget in the same storm") {
  retry_budget_settings settings;
  settings.share = share * 0.8;
  settings.workspace_per_second = 0.15;
  settings.instance_per_second = 1000;
  const auto& d = deployments[1];
  std::vector<retry_budget> entries(d.entries, retry_budget(settings));
  const auto r = play(
      d, [&](std::size_t e, base::time_point now) { entries[e].deposit("orders", now); },
      [&](std::size_t e, base::time_point now) { return entries[e].withdraw("orders", now); });
  CHECK(worst_excess(d, r) > 0);
}

TEST_CASE("a burst may use the retries of a whole window, and gets no more until it has passed") {
  window_budget_settings settings;
  settings.share = 0.2;
  settings.used_share = 1;
  window_budget budget(settings);
  auto now = base::time_point{} + base::seconds(500);
  for (int i = 0; i < 100; ++i) {
    budget.deposit("orders", now);
  }
  int taken = 0;
  while (budget.withdraw("orders", 1, now)) {
    ++taken;
  }
  CHECK(taken == 20);
  now += base::milliseconds(9400);
  CHECK(!budget.withdraw("orders", 1, now));
  CHECK(!budget.withdraw("fitting", 1, now));
  now += base::milliseconds(1200); // the window and one slot of it
  for (int i = 0; i < 10; ++i) {
    budget.deposit("orders", now);
  }
  CHECK(budget.withdraw("orders", 1, now));
}

TEST_CASE("an instance with few requests may use its part of the slack") {
  window_budget_settings settings;
  settings.slack = 194;
  window_budget budget(settings);
  const auto now = base::time_point{} + base::seconds(500);
  CHECK(budget.withdraw("orders", 46, now));
  CHECK(budget.withdraw("orders", 46, now));
  CHECK(!budget.withdraw("orders", 46, now));
}
