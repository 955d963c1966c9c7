#include <doctest/doctest.h>

#include "kingcupshunt/node/view_planner.h"

using namespace kingcupshunt;
using node::observed_member;
using node::observed_state;

namespace {

const base::time_point start = base::time_point{} + base::seconds(10'000);

membership::fleet_member member(const std::string& id, bool is_active = true) {
  return {id, "dc1", id + ":1", id + ":2", is_active};
}

observed_member observed(const std::string& id, observed_state state, int seconds) {
  return {member(id), state, start - base::seconds(seconds)};
}

auto plan(const std::vector<membership::fleet_member>& members,
          const std::vector<observed_member>& seen) {
  return node::plan_view({}, {1, members}, seen, start);
}

} // namespace

TEST_CASE("a view that matches the observed members is not changed") {
  CHECK(!plan({member("a")}, {observed("a", observed_state::alive, 100)}));
}

TEST_CASE("a new instance joins and a dead one becomes inactive immediately") {
  const auto out = plan({member("a"), member("b")}, {observed("a", observed_state::alive, 100),
                                                     observed("b", observed_state::dead, 0),
                                                     observed("c", observed_state::alive, 0)});
  REQUIRE(out);
  REQUIRE(out->size() == 3);
  CHECK(!(*out)[1].is_active);
  CHECK((*out)[2].id == "c");
}

TEST_CASE("a dead instance is removed after ten minutes and one that left after ten seconds") {
  const auto out =
      plan({member("a"), member("b", false), member("c", false)},
           {observed("a", observed_state::alive, 100), observed("b", observed_state::dead, 599),
            observed("c", observed_state::left, 11)});
  REQUIRE(out);
  CHECK(out->size() == 2);
}

TEST_CASE("a returning instance stays inactive for two seconds, so flapping reassigns no owner") {
  CHECK(!plan({member("a", false)}, {observed("a", observed_state::alive, 1)}));
  CHECK(plan({member("a", false)}, {observed("a", observed_state::alive, 2)}));
}

TEST_CASE("a member that a new leader has not observed yet is kept") {
  CHECK(!plan({member("a"), member("b")}, {observed("a", observed_state::alive, 1)}));
}
