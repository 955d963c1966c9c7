#include <doctest/doctest.h>

#include "kingcupshunt/admission/start_gate.h"

using namespace kingcupshunt;
using admission::start_gate;
using base::milliseconds;

namespace {

const base::time_point start{base::seconds(100)};

} // namespace

TEST_CASE("power returns to all instances: requests wait for the configuration, in order") {
  start_gate gate({}, start);
  std::vector<int> passed;
  for (int i = 0; i < 3; ++i) {
    gate.enter([&passed, i] { passed.push_back(i); }, start + milliseconds(100 * i));
  }
  gate.tick(start + milliseconds(500));
  CHECK(passed.empty());
  gate.open();
  CHECK(passed == std::vector<int>{0, 1, 2});
  gate.enter([&passed] { passed.push_back(3); }, start + milliseconds(600));
  CHECK(passed.size() == 4);
}

TEST_CASE("a configuration that does not come holds nobody for longer than a caller waits") {
  start_gate gate({}, start);
  int passed = 0;
  gate.enter([&] { ++passed; }, start);
  gate.tick(start + milliseconds(899));
  CHECK(passed == 0);
  gate.tick(start + milliseconds(900));
  CHECK(passed == 1);
  gate.enter([&] { ++passed; }, start + milliseconds(901)); // to be refused at once
  CHECK(passed == 2);
  CHECK(!gate.is_open());
}

TEST_CASE("a flood while an instance starts is not held beyond the queue") {
  start_gate gate({milliseconds(900), 2}, start);
  int passed = 0;
  for (int i = 0; i < 5; ++i) {
    gate.enter([&] { ++passed; }, start);
  }
  CHECK(gate.waiting() == 2);
  CHECK(passed == 3);
}
