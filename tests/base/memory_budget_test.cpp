#include <doctest/doctest.h>

#include "kingcupshunt/base/memory_budget.h"

using kingcupshunt::base::memory_budget;

TEST_CASE("leases never exceed the limit, except by the least share of each answer under way") {
  memory_budget memory(100);
  auto first = memory.take(60);
  CHECK(first.size() == 60);
  CHECK(memory.take(50).size() == 0);
  CHECK(memory.used() == 60);
  {
    const auto second = memory.take_some(40, 4);
    CHECK(second.size() == 40);
    const auto third = memory.take_some(40, 4);
    CHECK(third.size() == 4);
    CHECK(memory.used() == 104);
    CHECK(memory.take(1).size() == 0);
  }
  CHECK(memory.used() == 60);
  auto moved = std::move(first);
  CHECK(memory.used() == 60);
  moved = memory_budget::lease();
  CHECK(memory.used() == 0);
}

TEST_CASE("a lease may outlive the memory that it was taken from") {
  memory_budget::lease lease;
  {
    memory_budget memory(10);
    lease = memory.take(10);
  }
  CHECK(lease.size() == 10);
}

TEST_CASE("a lease grows while there is memory, and keeps its size otherwise") {
  memory_budget memory(100);
  const auto other = memory.take(30);
  memory_budget::lease lease;
  CHECK(memory.extend(lease, 20));
  CHECK(memory.extend(lease, 70));
  CHECK(!memory.extend(lease, 71));
  CHECK(lease.size() == 70);
  CHECK(memory.used() == 100);
  lease = memory_budget::lease();
  CHECK(memory.used() == 30);
}
