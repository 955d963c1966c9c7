#include <doctest/doctest.h>

#include "membership/fresh_fleet.h"

using namespace simulation;

namespace {

std::size_t fresh_count(const fresh_fleet& fleet) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
    n += fleet.is_fresh(i) ? 1U : 0U;
  }
  return n;
}

void sync_all(fresh_fleet& fleet) {
  for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
    fleet.sync_with_voters(i);
  }
}

std::size_t least_fresh(fresh_fleet& fleet, duration length) {
  auto least = fleet.instances.size();
  for (const auto end = fleet.net.now + length; fleet.net.now < end;) {
    fleet.step();
    least = std::min(least, fresh_count(fleet));
  }
  return least;
}

} // namespace

// Guards against refusing keyed traffic in a healthy fleet, also while changes are distributed.
TEST_CASE("a healthy fleet is fresh and stays fresh while revisions change") {
  for (const std::size_t n : {1, 2, 3, 15, 64}) {
    CAPTURE(n);
    fresh_fleet fleet(n, n, 64, n);
    sync_all(fleet);
    fleet.run(milliseconds(3000));
    CHECK(fresh_count(fleet) == n);
    for (int i = 0; i < 20; ++i) {
      fleet.propose(0);
      CHECK(least_fresh(fleet, milliseconds(150)) == n);
    }
  }
}

// Guards against losing the fleet's freshness when aggregators or other members are lost.
TEST_CASE("a large fleet is fresh by groups, also after losing a tenth of its members") {
  constexpr std::size_t n = 200;
  fresh_fleet fleet(n, n, 64, 7);
  sync_all(fleet);
  fleet.run(milliseconds(4000));
  CHECK(fresh_count(fleet) == n);
  for (std::size_t i = 0; i < n; i += 10) {
    fleet.instances[i].is_up = false;
  }
  fleet.run(milliseconds(4000));
  CHECK(least_fresh(fleet, milliseconds(2000)) >= n * 88 / 100);
}

// Guards against an acknowledgement that never comes in a large fleet.
TEST_CASE("a change in a large fleet is acknowledged within the bound of 6 s") {
  fresh_fleet fleet(150, 150, 64, 3);
  sync_all(fleet);
  fleet.run(milliseconds(3000));
  REQUIRE(fleet.propose(0));
  fleet.run(milliseconds(6000));
  CHECK(fleet.acknowledged.contains(fleet.head()));
  auto view = fleet.latest_view();
  ++view.version;
  view.members.pop_back();
  REQUIRE(fleet.propose(0, view));
  fleet.run(milliseconds(6000));
  CHECK(fleet.acknowledged.contains(fleet.head()));
  CHECK(fleet.instances[0].core->is_view_settled());
}

// Guards against serving from a minority: the cut-off instances must stop within 2 s.
TEST_CASE("a partitioned minority stops being fresh and the majority goes on") {
  fresh_fleet fleet(5, 5, 64, 1);
  sync_all(fleet);
  fleet.run(milliseconds(3000));
  for (const std::size_t inside : {0, 1}) {
    for (const std::size_t outside : {2, 3, 4}) {
      fleet.net.cuts.insert({inside, outside});
      fleet.net.cuts.insert({outside, inside});
    }
  }
  fleet.run(milliseconds(2500));
  CHECK_FALSE(fleet.is_fresh(0));
  CHECK_FALSE(fleet.is_fresh(1));
  CHECK(fresh_count(fleet) == 3);
  fleet.net.cuts.clear();
  fleet.run(milliseconds(2000));
  CHECK(fresh_count(fleet) == 5);
}

// Guards against dropping an instance that some peers cannot reach directly.
TEST_CASE("an instance with one-way cuts to most peers stays fresh through relayed samples") {
  fresh_fleet fleet(9, 9, 64, 2);
  sync_all(fleet);
  fleet.run(milliseconds(3000));
  for (std::size_t other = 1; other < 7; ++other) {
    fleet.net.cuts.insert({other, 0});
  }
  fleet.run(milliseconds(2000));
  CHECK(least_fresh(fleet, milliseconds(4000)) == 9);
}

// Guards against the loss of what a restarted instance was counted for.
TEST_CASE("a restarted instance is not fresh until it heard a majority, and needs no voter") {
  fresh_fleet fleet(5, 5, 64, 4);
  sync_all(fleet);
  fleet.run(milliseconds(3000));
  fleet.restart(2);
  CHECK_FALSE(fleet.is_fresh(2));
  CHECK_FALSE(fleet.instances[2].core->is_synced());
  fleet.run(milliseconds(2500));
  CHECK(fleet.instances[2].core->is_synced());
  CHECK(fleet.is_fresh(2));
}

// Guards against freshness that rests on instances without state after a common restart.
TEST_CASE("after a restart of a majority nothing is fresh until the voters confirm the state") {
  fresh_fleet fleet(5, 5, 64, 5);
  sync_all(fleet);
  fleet.run(milliseconds(3000));
  for (const std::size_t i : {0, 1, 2}) {
    fleet.restart(i);
  }
  fleet.run(milliseconds(5000));
  CHECK(fresh_count(fleet) == 0);
  fleet.sync_with_voters(0);
  fleet.run(milliseconds(4000));
  CHECK(fresh_count(fleet) == 5);
}

// Guards against a member that reported a revision, restarted and was still counted as its holder.
TEST_CASE("a report from before a restart does not count towards a majority") {
  membership::held_counter counter;
  counter.resize(3);
  const auto at = [](int ms) { return time_point{} + milliseconds(ms); };
  const membership::held_counter::quorum_function majority = [](const auto& is_counted) {
    return is_counted(0) + is_counted(1) + is_counted(2) >= 2;
  };
  counter.set_self(0, 7);
  counter.add(1, {.revision = 7, .incarnation = 1, .taken_at = at(0), .heard_at = at(1)});
  CHECK_FALSE(counter.update(majority, 7, at(2)));
  counter.add(1, {.revision = 6, .incarnation = 2, .taken_at = at(3), .heard_at = at(4)});
  CHECK_FALSE(counter.update(majority, 7, at(5)));
  counter.add(1, {.revision = 7, .incarnation = 2, .taken_at = at(6), .heard_at = at(7)});
  counter.update(majority, 7, at(8));
  CHECK(counter.held() == 6);
  counter.add(1, {.revision = 7, .incarnation = 2, .taken_at = at(9), .heard_at = at(10)});
  CHECK(counter.update(majority, 7, at(11)));
  CHECK(counter.held() == 7);
}

// Guards against a crash or a changed state on input from a faulty peer.
TEST_CASE("malformed messages are counted and change nothing") {
  fresh_fleet fleet(3, 3, 64, 6);
  sync_all(fleet);
  auto& core = *fleet.instances[0].core;
  const auto now = fleet.local(0);
  core.receive(id_of(1), message_kind::freshness_answer, "\xc1", now);
  core.receive(id_of(1), message_kind::freshness_query, "", now);
  core.receive("stranger", message_kind::freshness_query, "\x80", now);
  membership::freshness_answer answer;
  answer.call_id = 12345;
  answer.revision = 99;
  answer.is_synced = true;
  core.receive(id_of(1), message_kind::freshness_answer, kingcupshunt::peer::pack(answer), now);
  CHECK(core.counters().malformed == 2);
  CHECK(core.counters().unknown_senders == 1);
  CHECK(core.counters().unexpected == 1);
  CHECK(core.greatest_heard_revision() == 0);
}
