#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "kingcupshunt/membership/address_answers.h"
#include "membership/simulation.h"

using namespace simulation;
using namespace kingcupshunt::membership;

namespace {

std::vector<member_condition> good(std::size_t n) {
  return std::vector<member_condition>(n);
}

address_answer ask(const fleet_view& view, const std::vector<member_condition>& conditions,
                   const address_request& request) {
  return answer_addresses({}, view, conditions, request);
}

std::string caller_name(std::size_t i) {
  return "caller-" + std::to_string(i);
}

} // namespace

// Guards against addresses of instances that would refuse or not answer.
TEST_CASE("unfit instances are left out and near ones come first") {
  const auto view = view_of(9); // instance i is in data centre i % 3
  auto conditions = good(9);
  conditions[0].is_alive = false;
  conditions[1].is_leaving = true;
  conditions[2].is_healthy = false;
  conditions[3].is_fresh = false;
  conditions[4].load = 0.95;
  const auto answer = ask(view, conditions, {"c", "w", "dc2", 0});
  REQUIRE(answer.addresses.size() == 4);
  const std::set<std::string> near(answer.addresses.begin(), answer.addresses.begin() + 2);
  const std::set<std::string> far(answer.addresses.begin() + 2, answer.addresses.end());
  CHECK(near == std::set<std::string>{"entry-" + id_of(5), "entry-" + id_of(8)});
  CHECK(far == std::set<std::string>{"entry-" + id_of(6), "entry-" + id_of(7)});
  CHECK_FALSE(answer.is_degraded);
}

// Guards against an empty answer, which would stop every caller.
TEST_CASE("without a fit instance the least bad ones are answered for a short time") {
  const auto view = view_of(3);
  auto conditions = good(3);
  conditions[0].is_alive = false;
  conditions[1].is_fresh = false;
  conditions[2].load = 1.5;
  auto answer = ask(view, conditions, {"c", "w", "dc0", 0});
  CHECK(answer.addresses == std::vector{"entry-" + id_of(2)});
  CHECK(answer.is_degraded);
  CHECK(answer.lifetime == address_settings{}.degraded_lifetime);
  conditions[2].is_alive = false;
  answer = ask(view, conditions, {"c", "w", "dc0", 0});
  CHECK(answer.addresses == std::vector{"entry-" + id_of(1)});
}

// Guards against one instance receiving most callers.
TEST_CASE("callers spread evenly over the instances of their data centre") {
  const auto view = view_of(15);
  std::map<std::string, int> first;
  constexpr int callers = 6000;
  for (int i = 0; i < callers; ++i) {
    ++first[ask(view, good(15), {caller_name(i), "w", "dc1", 0}).addresses.front()];
  }
  CHECK(first.size() == 5);
  for (const auto& [address, n] : first) {
    CHECK(n > callers / 5 * 85 / 100);
    CHECK(n < callers / 5 * 115 / 100);
  }
}

// Guards against moving all callers when one instance is lost, and against moving them all to one
// neighbour.
TEST_CASE("losing an instance moves only its callers, evenly, and its return brings them back") {
  CHECK(rc::check([] {
    const auto n = *rc::gen::inRange<std::size_t>(6, 40);
    const auto lost = *rc::gen::inRange<std::size_t>(0, n);
    const auto salt = *rc::gen::arbitrary<std::uint32_t>();
    const auto view = view_of(n);
    auto conditions = good(n);
    auto without = conditions;
    without[lost].is_alive = false;
    std::set<std::string> heirs;
    int moved = 0;
    for (std::size_t i = 0; i < 400; ++i) {
      const auto caller = caller_name(i) + std::to_string(salt);
      const address_request request{caller, "w", "", 0};
      const auto before = ask(view, conditions, request).addresses;
      const auto after = ask(view, without, request).addresses;
      if (before.front() == "entry-" + id_of(lost)) {
        ++moved;
        heirs.insert(after.front());
        RC_ASSERT(after.front() == before[1]);
      } else {
        RC_ASSERT(after.front() == before.front());
      }
    }
    RC_ASSERT(moved < 8 || heirs.size() >= 3);
  }));
}

// Guards against a small rate that is divided over so many instances that none can grant a token.
TEST_CASE("a workspace with a spread is sent to that many instances by all its callers") {
  CHECK(rc::check([] {
    const auto n = *rc::gen::inRange<std::size_t>(3, 60);
    const auto spread = *rc::gen::inRange<std::size_t>(1, 4);
    const auto salt = *rc::gen::arbitrary<std::uint32_t>();
    const auto workspace = "ws-" + std::to_string(salt);
    const auto view = view_of(n);
    std::set<std::string> used;
    for (std::size_t i = 0; i < 60; ++i) {
      const auto caller = caller_name(i);
      const auto dc = "dc" + std::to_string(i % 3);
      const auto answer = ask(view, good(n), {caller, workspace, dc, spread});
      RC_ASSERT(answer.addresses.size() == spread);
      used.insert(answer.addresses.begin(), answer.addresses.end());
    }
    RC_ASSERT(used.size() == spread);
    // The loss of one of them replaces that one only.
    auto conditions = good(n);
    for (std::size_t i = 0; i < n; ++i) {
      if ("entry-" + id_of(i) == *used.begin()) {
        conditions[i].is_alive = false;
      }
    }
    const auto after = ask(view, conditions, {"c", workspace, "dc0", spread}).addresses;
    const auto kept = std::ranges::count_if(after, [&](const auto& a) { return used.contains(a); });
    RC_ASSERT(static_cast<std::size_t>(kept) == spread - 1);
  }));
}
