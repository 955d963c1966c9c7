#include <doctest/doctest.h>

#include <vector>

#include "../../benchmark/support/shares_fleet.h"

using namespace kingcupshunt;
using support::owner_trouble;
using support::shares_fleet;

namespace {

constexpr double window_s = 5;

/// What the rule for workspaces lets through in a window: a tenth and 20 requests beyond the limit.
double allowed(const rates::limit& l) {
  return (l.rate * window_s + l.burst) * 1.1 + 20;
}

void check_sum(std::size_t entries, const rates::limit& l, owner_trouble trouble,
               base::duration time) {
  support::shares_options options;
  options.entries = entries;
  options.limit = l;
  options.seed = entries + static_cast<std::uint64_t>(l.rate);
  shares_fleet f(options);
  support::disturb(f, entries, 7.5 * l.rate, trouble, time);
  const auto most = support::most_within(f.admitted, window_s);
  INFO(entries, " entries, rate ", l.rate, ", burst ", l.burst, ", ", to_string(trouble), " for ",
       base::to_ms(time), " ms");
  CHECK(static_cast<double>(most) <= allowed(l));
}

const std::vector<rates::limit> limits{{0.5, 1}, {1, 1}, {4, 4}, {20, 20}, {100, 200}, {400, 100}};

} // namespace

// Guards against shares of many entries that add up to more than the workspace's limit, beside what
// the owner grants before and after.
TEST_CASE("shares and grants stay within the limit when all owners are killed") {
  for (const auto& l : limits) {
    for (const std::size_t entries : {5, 17, 24}) {
      check_sum(entries, l, owner_trouble::killed, base::milliseconds(800));
      check_sum(entries, l, owner_trouble::killed_twice, base::milliseconds(800));
    }
    check_sum(17, l, owner_trouble::killed_long, base::seconds(5));
  }
  for (const std::size_t entries : {126, 189}) {
    check_sum(entries, {1, 1}, owner_trouble::killed, base::milliseconds(800));
    check_sum(entries, {20, 20}, owner_trouble::killed_twice, base::milliseconds(800));
  }
}

// Guards against an owner that grants anew what others have admitted while it stood still.
TEST_CASE("shares and grants stay within the limit when the owner is frozen") {
  for (const auto& l : limits) {
    for (const auto time : {200, 600, 1000, 2200, 5000}) {
      check_sum(17, l, owner_trouble::frozen, base::milliseconds(time));
    }
  }
  check_sum(126, {20, 20}, owner_trouble::frozen, base::milliseconds(2200));
  check_sum(189, {4, 4}, owner_trouble::frozen, base::milliseconds(5000));
}

TEST_CASE("shares and grants stay within the limit when the owner is cut off") {
  for (const auto& l : limits) {
    for (const auto time : {300, 600, 1000, 3000, 9000}) {
      check_sum(17, l, owner_trouble::cut, base::milliseconds(time));
      check_sum(17, l, owner_trouble::cut_from_half, base::milliseconds(time));
    }
  }
  check_sum(126, {20, 20}, owner_trouble::cut, base::milliseconds(3000));
  check_sum(126, {20, 20}, owner_trouble::cut_from_half, base::milliseconds(9000));
  check_sum(189, {4, 4}, owner_trouble::cut, base::milliseconds(3000));
}

TEST_CASE("without trouble the whole rate is granted") {
  support::shares_options options;
  options.limit = {20, 20};
  shares_fleet f(options);
  support::disturb(f, options.entries, 150, owner_trouble::none, {});
  CHECK(f.admitted.size() >= 20 + 19 * 20);
  CHECK(f.admitted.size() <= 20 + 21 * 20);
}

// Guards against a workspace that is refused altogether while its owner is away.
TEST_CASE("a workspace within its rate is served in part while its owner is away") {
  support::shares_options options;
  options.limit = {100, 200};
  shares_fleet f(options);
  support::disturb(f, options.entries, 50, owner_trouble::killed, base::milliseconds(800));
  MESSAGE("refused ", f.refused, " of ", f.refused + f.admitted.size());
  CHECK(f.refused <= 75); // half of what comes within the 3 s without an owner
}
