#include <doctest/doctest.h>

#include <cmath>

#include "kingcupshunt/rates/local_share.h"

using namespace kingcupshunt;
using rates::limit;
using rates::local_share;

namespace {

const base::time_point start{base::seconds(100)};
const limit forty{40, 40};
constexpr double instances = 4;

/// The owner is known to have granted last at `at`.
rates::share_basis basis(base::time_point at = start, double n = instances) {
  return {n, at};
}

} // namespace

TEST_CASE("the shares of all instances add up to the rate and burst") {
  local_share share;
  share.note_answer("shop", 40, start);
  int taken = 0;
  for (int ms = 0; ms < 5000; ms += 10) {
    taken += share.take("shop", forty, basis(), start + base::milliseconds(ms)) ? 1 : 0;
  }
  CHECK(taken <= 60); // a quarter of 40 x 5 + 40
  CHECK(taken >= 58);
}

TEST_CASE("the share is not added to a burst that the owner granted before it became unavailable") {
  local_share share;
  auto now = start;
  int admitted = 0;
  // A quarter of what the workspace may use in 2 s, granted by the owner.
  for (int i = 0; i < 30; ++i) {
    now += base::milliseconds(66);
    share.note_granted("shop", forty, instances, now);
    share.note_answer("shop", 40, now);
    ++admitted;
  }
  // The owner is unavailable for the next 3 s, in which the workspace sends requests continuously.
  for (int ms = 0; ms < 3000; ms += 10) {
    now += base::milliseconds(10);
    admitted += share.take("shop", forty, basis(), now) ? 1 : 0;
  }
  CHECK(admitted <= 60);
}

TEST_CASE("old grants no longer count") {
  local_share share;
  for (int i = 0; i < 500; ++i) {
    share.note_granted("shop", forty, instances, start);
  }
  CHECK(!share.take("shop", forty, basis(), start + base::seconds(4)));
  CHECK(share.take("shop", forty, basis(), start + base::milliseconds(5200)));
}

// Guards against shares that are small each and many together.
TEST_CASE("shares below one request admit together what the rate lets accrue") {
  for (const double n : {24.0, 47.0, 189.0}) {
    for (const limit small : {limit{1, 1}, limit{0.25, 1}, limit{4, 4}}) {
      int taken = 0;
      for (int i = 0; i < static_cast<int>(n); ++i) {
        local_share share({.seed = static_cast<std::uint64_t>(i) + 1});
        for (int ms = 0; ms <= 5000; ms += 100) {
          const auto now = start + base::milliseconds(ms);
          taken += share.take("other", small, basis(start, n), now) ? 1 : 0;
        }
      }
      // Each share begins with a random fraction; three standard deviations.
      const double due = small.rate * 5;
      INFO(n, " shares of ", small.rate);
      CHECK(taken <= due + 3 * std::sqrt(due) + 1);
      CHECK(taken >= due - 3 * std::sqrt(due) - 1);
    }
  }
}

TEST_CASE("shares together keep no more than the burst") {
  const limit small{1, 2};
  constexpr double n = 50;
  int taken = 0;
  for (int i = 0; i < static_cast<int>(n); ++i) {
    local_share share({.seed = static_cast<std::uint64_t>(i) + 1});
    for (int k = 0; k < 5; ++k) {
      taken += share.take("other", small, basis(start, n), start + base::seconds(600)) ? 1 : 0;
    }
  }
  CHECK(taken <= 2 + 3 * std::sqrt(2.0) + 1);
}

TEST_CASE("a share admits nothing before the owner and the fleet are known") {
  local_share share;
  const auto now = start + base::seconds(5);
  CHECK(!share.take("shop", forty, basis(start, 0), now));
  CHECK(!share.take("shop", forty, basis({}), now));
  CHECK(share.take("shop", forty, basis(), now));
}
