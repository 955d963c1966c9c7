#include <doctest/doctest.h>

#include "small_fleet.h"

using namespace test;

namespace {

constexpr base::seconds settle{4};

/// A fleet with the server `s`, which leaves from "c1" and is acknowledged to have left.
struct left_fleet : small_fleet {
  explicit left_fleet(server_state state = server_state::gone) {
    run(settle);
    announce("c1", server("s", 3, server_state::ready));
    run(base::milliseconds(200));
    const auto answer = announce("c2", server("s", 0, state));
    run(base::milliseconds(200));
    REQUIRE(*answer == true);
  }

  bool is_used() {
    const auto it = seen.find("s");
    return it != seen.end() && it->second.state == server_state::ready;
  }
};

} // namespace

// Guards against a server that gets requests again after it was told that it gets none: all
// instances are killed, and an announcement from before arrives late.
TEST_CASE("a server that has left stays gone over restarts of all instances") {
  for (const int restarts : {0, 1, 2}) {
    for (const auto wait : {base::seconds(0), base::seconds(4), base::seconds(90)}) {
      for (const std::string at : {"c1", "c2", "c3"}) {
        left_fleet f;
        for (int i = 0; i < restarts; ++i) {
          f.restart_all();
          f.run(base::milliseconds(300));
        }
        f.run(wait);
        f.announce(at, server("s", 4, server_state::ready));
        f.run(base::seconds(4));
        INFO(restarts, " restarts, announced at ", at, " after ", wait.count(), " s");
        CHECK(!f.is_used());
      }
    }
  }
}

TEST_CASE("a draining server stays so over a restart of all instances") {
  left_fleet f(server_state::draining);
  f.restart_all();
  f.announce("c3", server("s", 4, server_state::ready));
  f.run(settle);
  CHECK(!f.is_used());
  CHECK(f.seen.at("s").state == server_state::draining); // its requests still run
}

TEST_CASE("a new incarnation is used at once after a restart, its predecessor is not") {
  left_fleet f;
  f.restart_all();
  f.run(settle);
  auto next = server("s", 1, server_state::ready);
  next.started_ms = 6;
  f.announce("c1", next);
  f.run(base::milliseconds(200));
  CHECK(f.is_used());
  f.announce("c3", server("s", 9, server_state::ready));
  f.run(base::milliseconds(200));
  CHECK(f.seen.at("s").started_ms == 6);
}

// Guards against an acknowledgement that a crash right after it makes untrue.
TEST_CASE("a leave is acknowledged only when a majority has stored it") {
  small_fleet f;
  f.run(settle);
  f.announce("c1", server("s", 1, server_state::ready));
  f.run(base::milliseconds(200));
  f.stalled = {"c2", "c3"};
  const auto first = f.announce("c1", server("s", 0, server_state::gone));
  f.run(base::milliseconds(800));
  CHECK(!*first);
  f.run(base::seconds(1));
  CHECK(*first == false);
  f.stalled = {"c1"};
  const auto second = f.announce("c1", server("s", 0, server_state::gone));
  f.run(base::milliseconds(200));
  CHECK(*second == true);
}

// Guards against majorities of other voters that don't include any that stored the leave.
TEST_CASE("an instance that missed a leave learns of it from the others") {
  left_fleet f;
  f.controls.at("c3").stored.clear(); // as if it had just joined
  f.restart("c3");
  f.run(base::seconds(3));
  CHECK(f.controls.at("c3").core->servers().has_left("s", 5, f.now));
  f.cut = {"c1", "c2"};
  f.announce("c3", server("s", 9, server_state::ready));
  CHECK(f.controls.at("c3").core->servers().find("s")->state == server_state::gone);
}

// Guards against a leave that is acknowledged and not obeyed, since another incarnation is in use.
TEST_CASE("the leave of an incarnation that is not in use is not acknowledged") {
  small_fleet f;
  f.run(settle);
  auto later = server("s", 1, server_state::ready);
  later.started_ms = 1005;
  f.announce("c1", later);
  f.run(base::milliseconds(200));
  const auto answer = f.announce("c1", server("s", 7, server_state::draining));
  f.run(base::seconds(1));
  CHECK(*answer == false);
  CHECK(f.seen.at("s").state == server_state::ready);
}

// Guards against a running server that is given up, at all instances, when one of them starts again
// and lists an incarnation that left long ago. The server's clock has gone back meanwhile.
TEST_CASE("the departure of one incarnation does not end another that is in use") {
  left_fleet f;
  f.run(base::seconds(90));
  auto next = server("s", 1, server_state::ready);
  next.started_ms = 4;
  f.announce("c1", next);
  f.run(base::milliseconds(200));
  REQUIRE(f.is_used());
  f.restart("c2");
  f.run(base::seconds(3));
  CHECK(f.is_used());
  next.sequence = 2;
  f.announce("c2", next);
  f.run(base::milliseconds(200));
  CHECK(f.is_used());
}

// Guards against a table that is dropped as too large for one message.
TEST_CASE("a table larger than a message reaches an entry, and no lease begins before it has") {
  small_fleet f;
  std::vector<server_record> records;
  for (std::uint64_t i = 0; i < 9000; ++i) {
    auto r = server("server-" + std::to_string(i), 1, server_state::gone);
    r.id.append(120, 'x');
    records.push_back(r);
  }
  for (const auto& id : f.ids) {
    f.controls.at(id).stored = records;
  }
  f.restart_all();
  for (int i = 0; i < 400 && !f.entry->is_fresh(); ++i) {
    f.run(step);
  }
  CHECK(f.entry->is_fresh());
  CHECK(f.seen.size() == records.size());
}

TEST_CASE("what is kept of servers that come and go does not grow with their number") {
  departure_list list;
  base::time_point now{base::seconds(1000)};
  std::uint64_t position = 0;
  for (std::uint64_t i = 0; i < 400'000; ++i) { // 10,000 servers that start again 40 times a day
    auto r = server("service-a.data-centre-1." + std::to_string(i % 10'000), 0, server_state::gone);
    r.started_ms = 1'700'000'000'000 + i;
    list.note(r, ++position, now);
    now += base::milliseconds(216);
  }
  list.remove_expired(now);
  CHECK(list.size() <= departure_retention{}.max_count);
  record_share file;
  for (const auto& [at, d] : list.by_position()) {
    file.records.push_back(d.record);
  }
  const auto bytes = peer::pack(file).size();
  MESSAGE("departures ", list.size(), ", bytes of the file ", bytes);
  CHECK(bytes <= std::size_t{4} << 20U);
}

TEST_CASE("the oldest departures are removed beyond the bounds of time and count") {
  departure_list list({base::seconds(100), base::seconds(10), 3});
  base::time_point now{base::seconds(1000)};
  std::uint64_t position = 0;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    auto r = server("s" + std::to_string(i), 0, server_state::gone);
    CHECK(list.note(r, ++position, now));
    CHECK(!list.note(r, position + 1, now));
    now += base::seconds(1);
  }
  CHECK(list.size() == 3);
  CHECK(list.dropped() == 1);
  CHECK(!list.has_left("s1", 5, now));
  CHECK(list.has_left("s4", 5, now));
  CHECK(list.has_left("s4", 4, now)); // a former incarnation
  CHECK(!list.has_left("s4", 6, now));
  now += base::seconds(20);
  CHECK(!list.has_left("s4", 4, now)); // may be a server whose clock went back
  now += base::seconds(78);
  list.remove_expired(now);
  CHECK(list.size() == 2);
  CHECK(list.has_left("s4", 5, now));
}
