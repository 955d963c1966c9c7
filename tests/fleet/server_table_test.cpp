#include <doctest/doctest.h>

#include "kingcupshunt/fleet/server_table.h"

using namespace kingcupshunt;
using namespace kingcupshunt::fleet;

namespace {

server_record record(const std::string& id, std::uint64_t started_ms, std::uint64_t sequence,
                     server_state state = server_state::ready) {
  server_record r;
  r.id = id;
  r.service = "fitting";
  r.address = "10.0.0.1:80";
  r.started_ms = started_ms;
  r.sequence = sequence;
  r.state = state;
  r.home = "c1";
  return r;
}

const base::time_point start{base::seconds(100)};

} // namespace

TEST_CASE("a delayed announcement does not revert the state") {
  server_table t;
  CHECK(t.merge(record("a", 10, 5, server_state::draining), start) == merge_result::changed);
  CHECK(t.merge(record("a", 10, 4), start) == merge_result::stale);
  CHECK(t.merge(record("a", 10, 6), start) == merge_result::stale); // can't return to ready
  CHECK(t.find("a")->state == server_state::draining);
  CHECK(t.merge(record("a", 10, 0, server_state::gone), start) == merge_result::changed);
  CHECK(t.merge(record("a", 10, 9, server_state::draining), start) == merge_result::stale);
  CHECK(t.find("a")->state == server_state::gone);
}

TEST_CASE("a server that restarts under the same id replaces its former incarnation") {
  server_table t;
  (void)t.merge(record("a", 10, 50, server_state::gone), start);
  CHECK(t.merge(record("a", 11, 1), start) == merge_result::changed);
  CHECK(t.find("a")->state == server_state::ready);
  CHECK(t.merge(record("a", 10, 51), start) == merge_result::stale);
}

TEST_CASE("an address belongs to the incarnation that started last") {
  server_table t;
  (void)t.merge(record("old", 10, 1), start);
  (void)t.merge(record("new", 20, 1), start);
  CHECK(t.find("old")->state == server_state::gone);
  // An announcement delayed by a partition until after its sender has crashed.
  (void)t.merge(record("older", 5, 7), start);
  CHECK(t.find("older")->state == server_state::gone);
  CHECK(t.find("new")->state == server_state::ready);
}

TEST_CASE("a record restored after a restart never replaces a current one") {
  server_table t;
  (void)t.merge(record("a", 10, 5, server_state::draining), start);
  auto restored = record("a", 10, 5);
  restored.is_restored = true;
  CHECK(t.merge(restored, start) == merge_result::stale);
  CHECK(t.find("a")->state == server_state::draining);
}

TEST_CASE("changes are listed in order and only once") {
  server_table t;
  (void)t.merge(record("a", 10, 1), start);
  auto b = record("b", 10, 1);
  b.address = "10.0.0.2:80";
  (void)t.merge(b, start);
  const auto position = t.position();
  CHECK(t.changed_since(0).size() == 2);
  CHECK(t.merge(record("a", 10, 2), start) == merge_result::repeated);
  CHECK(t.changed_since(position).empty());
  CHECK(t.mark_silent("c1", base::seconds(4), start + base::seconds(5)) == 2);
  CHECK(t.changed_since(position).size() == 2);
}

// Guards against entries that take a server for warm which has become cold again.
TEST_CASE("a later end of the cold time is a change, its countdown is none") {
  server_table t;
  auto r = record("a", 10, 1);
  (void)t.merge(r, start);
  r.sequence = 2;
  r.cold_left_ms = 3000;
  const auto position = t.position();
  CHECK(t.merge(r, start) == merge_result::changed);
  CHECK(t.changed_since(position).size() == 1);
  r.sequence = 3;
  r.cold_left_ms = 1600; // announced 100 ms late
  CHECK(t.merge(r, start + base::milliseconds(1500)) == merge_result::repeated);
  r.sequence = 4;
  r.cold_left_ms = 0;
  CHECK(t.merge(r, start + base::milliseconds(3000)) == merge_result::repeated);
  r.sequence = 5;
  r.cold_left_ms = 400;
  CHECK(t.merge(r, start + base::milliseconds(4500)) == merge_result::changed);
}

// Guards against small delays that add up while a server keeps stating the same time.
TEST_CASE("a cold time that moves on in small steps is sent on in time") {
  server_table t;
  auto r = record("a", 10, 1);
  r.cold_left_ms = 3000;
  (void)t.merge(r, start);
  int changes = 0;
  for (int i = 1; i <= 20; ++i) {
    ++r.sequence;
    changes += t.merge(r, start + i * base::milliseconds(200)) == merge_result::changed ? 1 : 0;
  }
  CHECK(changes == 10);
}

// Guards against a cold time that begins anew wherever a record is sent on late.
TEST_CASE("a record that is sent on late states the cold time that is left") {
  server_table t;
  auto r = record("a", 10, 1);
  r.cold_left_ms = 3000;
  (void)t.merge(r, start);
  const auto late = t.changed_since(0, start + base::milliseconds(2000));
  REQUIRE(late.size() == 1);
  CHECK(late[0].cold_left_ms == 1000);
  CHECK(t.changed_since(0, start + base::seconds(9))[0].cold_left_ms == 0);
  CHECK(t.merge(r, start + base::seconds(9)) == merge_result::stale);
  r.home = "c2"; // the same announcement, from another instance
  CHECK(t.merge(r, start + base::seconds(9)) == merge_result::changed);
  CHECK(t.find("a")->cold_left_ms == 0);
  CHECK(t.mark_silent("c2", base::seconds(1), start + base::seconds(10)) == 1);
  CHECK(t.find("a")->cold_left_ms == 0);
}
