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
