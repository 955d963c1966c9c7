#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "kingcupshunt/admission/fleet_demand.h"

using namespace kingcupshunt;
using namespace kingcupshunt::admission;

namespace {

const base::time_point start{base::seconds(100)};

start_query query(rank_counts waiting, std::uint32_t free) {
  start_query out;
  out.waiting = waiting;
  out.free_slots = free;
  out.slots = 100;
  return out;
}

} // namespace

// Guards against a change of behaviour while nobody else waits: all free slots are used at once.
TEST_CASE("nothing known to wait elsewhere holds no request back") {
  fleet_demand demand(1);
  CHECK(demand.count_starts(query({0, 9}, 4), start) == 4);
  demand.learn({1, 0}, start);
  CHECK(demand.count_starts(query({0, 9}, 4), start) == 4);
  CHECK(demand.count_starts(query({0, 3}, 4), start) == 3);
}

// Guards against a lower rank that overtakes a higher one at another entry, in a burst.
TEST_CASE("a lower rank starts only on slots that higher ranks elsewhere leave") {
  fleet_demand demand(1);
  demand.learn({0, 4}, start);
  CHECK(demand.count_starts(query({0, 0, 9}, 4), start) == 0);
  fleet_demand with_more(1);
  with_more.learn({0, 4}, start);
  CHECK(with_more.count_starts(query({0, 0, 9}, 7), start) == 3);
  CHECK(with_more.count_starts(query({0, 0, 9}, 14), start) == 9);
}

// Guards against many entries that all start requests on the same few free slots, and against
// entries that get no slot because their part is below one.
TEST_CASE("entries that wait equally start together about as many requests as are free") {
  constexpr std::uint32_t entries = 36;
  std::vector<fleet_demand> all;
  for (std::uint32_t i = 0; i < entries; ++i) {
    all.emplace_back(i + 1);
  }
  std::vector<std::uint32_t> starts(entries);
  std::uint32_t rounds = 0;
  for (auto now = start; now < start + base::seconds(20); now += base::milliseconds(200)) {
    ++rounds;
    for (std::uint32_t i = 0; i < entries; ++i) {
      (void)all[i].take_report({0, 1}, now);
      all[i].learn({1, entries}, now);
      const auto n = all[i].count_starts(query({0, 1}, 5), now);
      all[i].note_started(n);
      starts[i] += n;
    }
  }
  std::uint32_t sum = 0;
  for (const auto n : starts) {
    sum += n;
    CHECK(n > 0);
  }
  CHECK(sum > rounds * 5 * 9 / 10);
  CHECK(sum < rounds * 5 * 11 / 10);
}

// Guards against requests held for entries that are gone, or by a relay that is silent.
TEST_CASE("knowledge of other entries expires, and ends with a change of the relay") {
  fleet_demand demand(1);
  demand.learn({0, 50}, start);
  CHECK(demand.is_known(start));
  CHECK(demand.count_starts(query({0, 0, 9}, 4), start) == 0);
  const auto later = start + base::milliseconds(300);
  CHECK(!demand.is_known(later));
  CHECK(demand.count_starts(query({0, 0, 9}, 4), later) == 4);
  demand.learn({0, 50}, later);
  demand.change_relay();
  CHECK(demand.count_starts(query({0, 0, 9}, 4), later) == 4);
}

// Guards against an entry that counts its own requests as those of others, and against reports
// without bound.
TEST_CASE("reports hold changed values, and those above 0 again at each refresh") {
  fleet_demand demand(1);
  CHECK(demand.take_report({}, start).empty());
  CHECK(demand.take_report({0, 3}, start).size() == 1);
  CHECK(demand.take_report({0, 3}, start + base::milliseconds(10)).empty());
  CHECK(demand.take_report({0, 3}, start + base::milliseconds(100)).size() == 1);
  demand.learn({1, 5}, start + base::milliseconds(110));
  CHECK(demand.elsewhere_up_to(1, start + base::milliseconds(110)) == 2);
  CHECK(demand.elsewhere_up_to(0, start + base::milliseconds(110)) == 0);
  const auto last = demand.take_report({}, start + base::milliseconds(120));
  REQUIRE(last.size() == 1);
  CHECK(last[0].waiting == 0);
}

// Guards against refused callers that return at once or all at the same time, and against waits
// that callers ignore.
TEST_CASE("Retry-After is spread, at least 100 ms and below a third of the remaining time") {
  base::rng rng(1);
  std::vector<std::int64_t> seen;
  for (int i = 0; i < 200; ++i) {
    const auto ms = spread_retry_after(base::seconds(2), base::milliseconds(1500), rng).count();
    CHECK(ms >= 100);
    CHECK(ms < 500);
    seen.push_back(ms);
  }
  const auto [least, greatest] = std::minmax_element(seen.begin(), seen.end());
  CHECK(*greatest - *least > 150);
  for (int i = 0; i < 200; ++i) {
    CHECK(spread_retry_after(base::milliseconds(10), base::milliseconds(90), rng).count() >= 100);
    const auto short_wait = spread_retry_after(base::milliseconds(200), base::seconds(6), rng);
    CHECK(short_wait.count() >= 100);
    CHECK(short_wait.count() <= 300);
  }
}
