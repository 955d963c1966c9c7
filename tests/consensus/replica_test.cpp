#include <doctest/doctest.h>

#include "consensus/cluster.h"

using namespace test;

namespace {

bool has_ready_leader(cluster& c) {
  auto* l = c.leader();
  return l != nullptr && l->is_ready();
}

std::string leader_id(cluster& c) {
  for (const auto& id : c.ids()) {
    if (c[id].replica.get() == c.leader()) {
      return id;
    }
  }
  return {};
}

bool all_applied(cluster& c, std::size_t n) {
  return std::ranges::all_of(c.ids(),
                             [&](auto& id) { return c[id].replica && c[id].applied.size() == n; });
}

} // namespace

TEST_CASE("three replicas elect one leader and apply the same commands") {
  cluster c(3, 1);
  REQUIRE(c.run_until([&] { return has_ready_leader(c); }, milliseconds(5000)));
  for (int i = 0; i < 100; ++i) {
    REQUIRE(c.leader()->propose("x" + std::to_string(i), c.now()));
  }
  CHECK(c.run_until([&] { return all_applied(c, 100); }, milliseconds(2000)));
  CHECK(c.violation == "");
}

// Guards against a leader that is deaf in one direction and keeps the others from electing.
TEST_CASE("a leader that hears no majority steps down and another one takes over") {
  cluster c(3, 2);
  REQUIRE(c.run_until([&] { return has_ready_leader(c); }, milliseconds(5000)));
  const auto old = leader_id(c);
  for (const auto& id : c.ids()) {
    c.cut(id, old);
  }
  c.run(milliseconds(1200));
  CHECK(!c[old].replica->is_leader());
  CHECK(
      c.run_until([&] { return has_ready_leader(c) && leader_id(c) != old; }, milliseconds(6000)));
}

// Guards against a returning voter that raises the term and deposes a working leader.
TEST_CASE("a voter that was cut off does not depose the leader when it returns") {
  cluster c(3, 3);
  REQUIRE(c.run_until([&] { return has_ready_leader(c); }, milliseconds(5000)));
  const auto old = leader_id(c);
  const auto term = c.leader()->term();
  const auto other = c.ids()[c.ids()[0] == old ? 1 : 0];
  for (const auto& id : c.ids()) {
    c.cut(id, other);
  }
  c.run(milliseconds(20000));
  c.heal();
  c.run(milliseconds(3000));
  CHECK(leader_id(c) == old);
  CHECK(c.leader()->term() == term);
}

// Guards against an acknowledgement that rests on a write in the disk's queue.
TEST_CASE("nothing is committed while the disks do not sync") {
  cluster c(3, 4);
  REQUIRE(c.run_until([&] { return has_ready_leader(c); }, milliseconds(5000)));
  for (const auto& id : c.ids()) {
    c[id].disk.delay = milliseconds(700);
  }
  auto* leader = c.leader();
  const auto before = leader->commit_index();
  REQUIRE(leader->propose("late", c.now()));
  c.run(milliseconds(600));
  CHECK(leader->commit_index() == before);
  c.run(milliseconds(200));
  CHECK(leader->commit_index() > before);
}

TEST_CASE("a leader whose disk is slower than the bound or fails steps down") {
  for (const bool is_failing : {false, true}) {
    cluster c(3, 5);
    REQUIRE(c.run_until([&] { return has_ready_leader(c); }, milliseconds(5000)));
    const auto old = leader_id(c);
    c[old].disk.is_failing = is_failing;
    c[old].disk.delay = is_failing ? milliseconds(1) : milliseconds(60000);
    REQUIRE(c.leader()->propose("x", c.now()));
    REQUIRE(c.run_until([&] { return has_ready_leader(c) && leader_id(c) != old; },
                        milliseconds(10000)));
    CHECK(!c[old].replica->is_storage_well());
    CHECK(c[old].replica->has_failed() == is_failing);
    REQUIRE(c.leader()->propose("y", c.now()));
    c.run(milliseconds(1000));
    CHECK(c.history().back() == "y");
  }
}

TEST_CASE("a planned stop hands leadership over without a pause of an election timeout") {
  cluster c(3, 6);
  REQUIRE(c.run_until([&] { return has_ready_leader(c); }, milliseconds(5000)));
  const auto old = leader_id(c);
  c.leader()->transfer_leadership(c.now());
  c.run(milliseconds(100));
  CHECK(has_ready_leader(c));
  CHECK(leader_id(c) != old);
}

TEST_CASE("a read index is confirmed by the leader and refused by one that is cut off") {
  cluster c(3, 7);
  REQUIRE(c.run_until([&] { return has_ready_leader(c); }, milliseconds(5000)));
  int answer = -1;
  c.leader()->read_index([&](bool is_ok) { answer = is_ok ? 1 : 0; }, c.now());
  CHECK(answer == -1);
  c.run(milliseconds(50));
  CHECK(answer == 1);
  const auto old = leader_id(c);
  for (const auto& id : c.ids()) {
    c.cut(id, old);
  }
  answer = -1;
  c.leader()->read_index([&](bool is_ok) { answer = is_ok ? 1 : 0; }, c.now());
  c.run(milliseconds(1500));
  CHECK(answer == 0);
}

// Guards against the loss of an acknowledged entry when a second voter fails after a repair.
TEST_CASE("a voter with an empty disk neither votes nor counts until it has joined again") {
  cluster c(3, 8);
  REQUIRE(c.run_until([&] { return has_ready_leader(c); }, milliseconds(5000)));
  const auto old = leader_id(c);
  std::vector<std::string> others;
  std::ranges::copy_if(c.ids(), std::back_inserter(others), [&](auto& id) { return id != old; });
  const auto behind = others[1];
  c.crash(behind);
  REQUIRE(c.leader()->propose("kept", c.now()));
  c.run(milliseconds(500));
  REQUIRE(c.history().size() == 1);
  // The other holder of the entry loses its disk while the leader is down.
  c.replace_disk(others[0]);
  c.crash(old);
  c.start(others[0]);
  c.start(behind);
  c.run(milliseconds(20000));
  CHECK(c.leader() == nullptr);
  c.start(old);
  REQUIRE(c.run_until([&] { return all_applied(c, 1); }, milliseconds(10000)));
  CHECK(c.run_until(
      [&] {
        const auto* l = c.leader();
        return l != nullptr && l->voters().voters.size() == 3 && l->voters().joining.empty() &&
               l->voters().find(others[0])->store == c[others[0]].disk.store;
      },
      milliseconds(10000)));
  // After the repair the loss of the former leader loses nothing.
  c.crash(old);
  REQUIRE(c.run_until([&] { return has_ready_leader(c); }, milliseconds(10000)));
  CHECK(c[leader_id(c)].applied == std::vector<std::string>{"kept"});
  CHECK(c.violation == "");
}

TEST_CASE("a voter far behind takes a snapshot in chunks") {
  cluster c(3, 9);
  REQUIRE(c.run_until([&] { return has_ready_leader(c); }, milliseconds(5000)));
  const auto behind = c.ids()[leader_id(c) == "a" ? 1 : 0];
  c.crash(behind);
  for (int i = 0; i < 200; ++i) {
    REQUIRE(c.leader()->propose("value " + std::to_string(i), c.now()));
    c.run(milliseconds(10));
  }
  c.start(behind);
  CHECK(c.run_until([&] { return all_applied(c, 200); }, milliseconds(10000)));
  CHECK(c.violation == "");
}

TEST_CASE("a voter is removed and added again, one change at a time") {
  cluster c(3, 10);
  REQUIRE(c.run_until([&] { return has_ready_leader(c); }, milliseconds(5000)));
  const auto other = c.ids()[leader_id(c) == "a" ? 1 : 0];
  REQUIRE(c.leader()->remove_voter(other, c.now()));
  CHECK(c.leader()->add_voter(other, c.now()).error() == consensus::replica_error::change_pending);
  c.run(milliseconds(500));
  CHECK(c.leader()->voters().voters.size() == 2);
  REQUIRE(c.leader()->add_voter(other, c.now()));
  c.run(milliseconds(1000));
  CHECK(c.leader()->voters().voters.size() == 3);
}

TEST_CASE("a malformed message changes nothing and is counted") {
  cluster c(1, 11);
  auto& r = *c["a"].replica;
  r.receive("b", peer::message_kind::log_append, "\xc1", c.now());
  r.receive("b", peer::message_kind::log_vote, "", c.now());
  CHECK(r.malformed_messages() == 2);
  CHECK(r.term() == 0);
}

// Guards against a candidate that lost its disk and counts the votes for its former folder.
TEST_CASE("a vote that was asked for another data folder does not count") {
  consensus::replica_settings s;
  s.self = {"a", "new"};
  s.initial_voters = {"a", "b", "c"};
  consensus::replica_hooks h;
  h.send = [](auto, auto, auto) {};
  h.persist = [](auto) {};
  base::time_point now{milliseconds(1000000)};
  consensus::replica r(s, h, {}, now);
  now += milliseconds(2500);
  r.tick(now);
  REQUIRE(r.current_role() == consensus::role::pre_candidate);
  const auto answer = [&](const char* from, const char* folder) {
    const consensus::vote_answer m{1, true, true, std::string(from) + "-1", folder};
    r.receive(from, peer::message_kind::log_vote_answer, peer::pack(m), now);
  };
  answer("b", "old");
  answer("c", "old");
  CHECK(r.current_role() == consensus::role::pre_candidate);
  answer("b", "new");
  answer("c", "new");
  CHECK(r.current_role() == consensus::role::candidate);
}
