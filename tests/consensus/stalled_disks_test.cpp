#include <doctest/doctest.h>

#include "consensus/cluster.h"

using namespace test;

namespace {

/// Longer than any wait of these tests: the sync does not return.
constexpr milliseconds stalled{600'000};
/// A leader is replaced after the storage bound (1.5 s) and one election (at most 2 s, twice where
/// votes are split).
constexpr milliseconds takeover{6000};

bool is_ready(cluster& c) {
  auto* l = c.leader();
  return l != nullptr && l->is_ready();
}

/// Proposes one command and waits until its leader has applied it.
bool commit(cluster& c, const std::string& command, milliseconds limit) {
  return c.run_until(
      [&] {
        if (auto* l = c.leader(); l != nullptr && l->is_ready()) {
          (void)l->propose(command, c.now());
        }
        return c.acknowledged.contains(command);
      },
      limit);
}

std::string leader_id(cluster& c) {
  for (const auto& id : c.ids()) {
    if (c[id].replica.get() == c.leader()) {
      return id;
    }
  }
  return "";
}

std::string follower_id(cluster& c) {
  const auto first = leader_id(c);
  return c.ids().front() == first ? c.ids().back() : c.ids().front();
}

} // namespace

// Guards against changes that wait for the one disk that answers nothing.
TEST_CASE(
    "a follower whose sync does not return delays nothing, votes for nobody and hears the leader") {
  cluster c(5, 11);
  REQUIRE(c.run_until([&] { return is_ready(c); }, milliseconds(10000)));
  const auto first = leader_id(c);
  const auto slow = follower_id(c);
  c[slow].disk.delay = stalled;
  CHECK(commit(c, "one", milliseconds(100)));
  c.run(milliseconds(3000));
  CHECK(leader_id(c) == first);
  CHECK(!c[slow].replica->is_storage_well());
  CHECK(c[slow].replica->hears_leader(c.now()));
  CHECK(commit(c, "two", milliseconds(100)));
  // Its entries are not durable, so it shows none of them.
  CHECK(std::ranges::find(c[slow].applied, "two") == c[slow].applied.end());
  CHECK(c.violation == "");
}

// Guards against a leader that is alive to the others but can commit nothing itself.
TEST_CASE("a leader whose sync does not return commits through the others and then gives way") {
  cluster c(5, 12);
  REQUIRE(c.run_until([&] { return is_ready(c); }, milliseconds(10000)));
  const auto first = leader_id(c);
  c[first].disk.delay = stalled;
  CHECK(c[first].replica->propose("one", c.now()));
  CHECK(c.run_until([&] { return is_ready(c) && leader_id(c) != first; }, takeover));
  CHECK(commit(c, "two", milliseconds(200)));
  const auto second = leader_id(c);
  c.run(milliseconds(5000));
  CHECK(leader_id(c) == second);
  CHECK(!c[first].replica->is_leader());
  CHECK(c.violation == "");
}

TEST_CASE("disks that stall one after another lose nothing and the voters take part again") {
  cluster c(5, 13);
  REQUIRE(c.run_until([&] { return is_ready(c); }, milliseconds(10000)));
  int n = 0;
  for (const auto& id : c.ids()) {
    CAPTURE(id);
    c[id].disk.delay = milliseconds(4000);
    for (int i = 0; i < 3; ++i) {
      CHECK(commit(c, "command " + std::to_string(++n), takeover));
      c.run(milliseconds(1300));
    }
    c[id].disk.delay = milliseconds(1);
    CHECK(c.run_until([&] { return c[id].replica->is_storage_well(); }, milliseconds(5000)));
  }
  CHECK(commit(c, "last", milliseconds(3000)));
  CHECK(c.run_until(
      [&] {
        return std::ranges::all_of(c.ids(), [&](const auto& id) {
          return std::ranges::find(c[id].applied, "last") != c[id].applied.end();
        });
      },
      milliseconds(5000)));
  CHECK(c.violation == "");
}

// With two of five disks silent the majority must not depend on either of them.
TEST_CASE("two disks that stall at once leave a majority that takes changes") {
  cluster c(5, 14);
  REQUIRE(c.run_until([&] { return is_ready(c); }, milliseconds(10000)));
  const auto first = leader_id(c);
  const auto other = follower_id(c);
  c[first].disk.delay = stalled;
  c[other].disk.delay = stalled;
  CHECK(commit(c, "one", takeover));
  CHECK(leader_id(c) != first);
  CHECK(leader_id(c) != other);
  CHECK(c.violation == "");
}
