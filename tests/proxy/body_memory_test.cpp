#include <doctest/doctest.h>

#include "kingcupshunt/proxy/body_memory.h"

using kingcupshunt::proxy::body_memory;

TEST_CASE("leases never exceed the limit, except by the least share of each answer under way") {
  body_memory memory(100);
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
  moved = body_memory::lease();
  CHECK(memory.used() == 0);
}

TEST_CASE("a lease may outlive the memory that it was taken from") {
  body_memory::lease lease;
  {
    body_memory memory(10);
    lease = memory.take(10);
  }
  CHECK(lease.size() == 10);
}
