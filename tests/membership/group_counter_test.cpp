#include <doctest/doctest.h>

#include "kingcupshunt/membership/group_counter.h"
#include "membership/simulation.h"

using namespace simulation;
using namespace kingcupshunt::membership;

namespace {

constexpr std::size_t n = 9;

time_point at(int ms) {
  return time_point{} + std::chrono::hours(1) + milliseconds(ms);
}

/// Three groups; every member of `group` held `revision` in `incarnation` at `ms`.
void sample(sample_table& table, const group_counter& counter, std::size_t group,
            std::uint64_t revision, std::uint32_t incarnation, int ms) {
  for (const auto member : counter.groups().members(group)) {
    table.add(member, {revision, incarnation, at(ms), at(ms)}, 100);
  }
}

group_aggregate floor_of(std::uint32_t count, std::uint64_t revision, int since, int until) {
  group_aggregate out;
  out.count = out.floor_count = count;
  out.age = 1;
  out.floor = revision;
  out.floor_since = since;
  out.floor_until = until;
  return out;
}

} // namespace

// Guards against a group whose size is not known to all or that lacks an aggregator.
TEST_CASE("groups are disjoint, cover the view and avoid inactive aggregators") {
  auto view = view_of(400);
  const freshness_groups before(view);
  CHECK(before.count() == 20);
  const auto first = before.aggregators(3).front();
  view.members[first].is_active = false;
  const freshness_groups after(view);
  std::size_t members = 0;
  for (std::size_t group = 0; group < after.count(); ++group) {
    members += after.members(group).size();
    CHECK(after.aggregators(group).size() == 2);
    CHECK(after.members(group) == before.members(group));
  }
  CHECK(members == 400);
  CHECK_FALSE(after.is_aggregator(first));
}

// Guards against counting a member whose restart fell between two samples.
TEST_CASE("the floor of a group ignores members that restarted since the snapshot") {
  group_counter counter;
  counter.set_view(view_of(n), nullptr);
  sample_table table;
  table.resize(n);
  sample(table, counter, 0, 7, 1, 0);
  for (int i = 0; i < 4; ++i) {
    counter.take_snapshot(0, table, at(10 + 100 * i));
  }
  sample(table, counter, 0, 7, 1, 400);
  const auto size = counter.groups().members(0).size();
  CHECK(counter.count(0, table, at(410)).floor_count == size);
  CHECK(counter.count(0, table, at(410)).floor == 7);
  sample(table, counter, 0, 7, 2, 500);
  CHECK(counter.count(0, table, at(510)).floor_count == 0);
}

// Guards against adding up holders that never held the revision at one common moment.
TEST_CASE("floors of different groups add up only when their times overlap") {
  group_counter counter;
  counter.set_view(view_of(n), nullptr);
  std::size_t total = 0;
  for (std::size_t group = 0; group < counter.groups().count(); ++group) {
    total += counter.groups().members(group).size();
  }
  REQUIRE(total == n);
  const auto size = [&](std::size_t group) {
    return static_cast<std::uint32_t>(counter.groups().members(group).size());
  };
  for (std::size_t group = 0; group < 3; ++group) {
    const int shift = static_cast<int>(group) * 50; // in units of 10 ms: apart by 500 ms
    counter.add(group, floor_of(size(group), 7, 140 - shift, 110 - shift), at(1000), at(1001));
  }
  CHECK(counter.held(n, 0) == 0);
  for (std::size_t group = 0; group < 3; ++group) {
    counter.add(group, floor_of(size(group), 7 + group, 140, 40), at(2000), at(2001));
  }
  CHECK(counter.held(n, 0) == 7);
  CHECK(counter.held(n, 1) == 0); // nobody is known to be in the former view
}

// Guards against counts that a faulty aggregator makes up.
TEST_CASE("an aggregate that counts more members than the group has is ignored") {
  group_counter counter;
  counter.set_view(view_of(n), nullptr);
  for (std::size_t group = 0; group < 3; ++group) {
    counter.add(group, floor_of(100, 7, 140, 40), at(1000), at(1001));
  }
  CHECK_FALSE(counter.majority(1).has_value());
  CHECK(counter.held(1, 0) == 0);
}
