#include <doctest/doctest.h>

#include "kingcupshunt/admission/start_gate.h"

using namespace kingcupshunt;
using admission::start_gate;
using base::milliseconds;

namespace {

const base::time_point start{base::seconds(100)};

} // namespace

TEST_CASE("requests during the start wait for the configuration and pass in order") {
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

TEST_CASE("without a configuration no request is delayed longer than max_wait") {
  start_gate gate({}, start);
  int passed = 0;
  gate.enter([&] { ++passed; }, start);
  gate.tick(start + milliseconds(899));
  CHECK(passed == 0);
  gate.tick(start + milliseconds(900));
  CHECK(passed == 1);
  // Passes immediately, so that it can be refused.
  gate.enter([&] { ++passed; }, start + milliseconds(901));
  CHECK(passed == 2);
  CHECK(!gate.is_open());
}

TEST_CASE("during the start at most queue_limit requests wait") {
  start_gate gate({milliseconds(900), 2}, start);
  int passed = 0;
  for (int i = 0; i < 5; ++i) {
    gate.enter([&] { ++passed; }, start);
  }
  CHECK(gate.waiting() == 2);
  CHECK(passed == 3);
}
