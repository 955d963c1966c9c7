#include <doctest/doctest.h>

#include "kingcupshunt/rates/local_share.h"

using namespace kingcupshunt;
using rates::limit;
using rates::local_share;

namespace {

const base::time_point start{base::seconds(100)};
const limit forty{40, 40};
constexpr double instances = 4;

} // namespace

TEST_CASE("the shares of all instances add up to the rate and burst") {
  local_share share;
  int taken = 0;
  for (int ms = 0; ms < 5000; ms += 10) {
    taken += share.take("shop", forty, instances, start + base::milliseconds(ms)) ? 1 : 0;
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
    ++admitted;
  }
  // The owner is unavailable for the next 3 s, in which the workspace sends requests continuously.
  for (int ms = 0; ms < 3000; ms += 10) {
    now += base::milliseconds(10);
    admitted += share.take("shop", forty, instances, now) ? 1 : 0;
  }
  CHECK(admitted <= 60);
}

TEST_CASE("old grants no longer count, and small shares admit some requests") {
  local_share share;
  for (int i = 0; i < 500; ++i) {
    share.note_granted("shop", forty, instances, start);
  }
  CHECK(!share.take("shop", forty, instances, start + base::seconds(4)));
  CHECK(share.take("shop", forty, instances, start + base::milliseconds(5200)));
  const limit small{1, 1};
  int taken = 0;
  for (int i = 0; i < 10; ++i) {
    taken += share.take("other", small, 47, start) ? 1 : 0;
  }
  CHECK(taken == 3);
}
