#include <doctest/doctest.h>

#include <set>

#include "faults.h"

using namespace kingcupshunt;

TEST_CASE("a seed gives the same plan, and plans hold every kind of fault in order") {
  soak::fault_plan_settings settings;
  settings.length = base::seconds(400);
  const auto plan = soak::make_plan(settings);
  const auto again = soak::make_plan(settings);
  REQUIRE(plan.size() == again.size());
  std::set<soak::fault_kind> kinds;
  for (std::size_t i = 0; i < plan.size(); ++i) {
    CHECK(plan[i].kind == again[i].kind);
    CHECK(plan[i].at == again[i].at);
    CHECK((i == 0 || plan[i - 1].at <= plan[i].at));
    kinds.insert(plan[i].kind);
  }
  CHECK(kinds.size() == static_cast<std::size_t>(soak::fault_kind::count_));
}
