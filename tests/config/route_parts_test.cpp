#include <doctest/doctest.h>

#include "kingcupshunt/config/route_parts.h"

using namespace kingcupshunt;

TEST_CASE("requests of a divided route go to its parts by weight") {
  config::route r;
  CHECK(config::part_at(r, 0.5) == nullptr);
  r.parts = {{"a", 0}, {"b", 90}, {"c", 10}, {"d", 0}};
  CHECK(config::part_at(r, 0)->service == "b");
  CHECK(config::part_at(r, 0.89)->service == "b");
  CHECK(config::part_at(r, 0.91)->service == "c");
  CHECK(config::part_at(r, 1)->service == "c");
}
