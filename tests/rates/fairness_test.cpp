#include <doctest/doctest.h>

#include "../../benchmark/support/rates_fleet.h"

using namespace kingcupshunt;
using support::at_seconds;

namespace {

struct counts {
  int requests = 0;
  int admitted = 0;
  double worst_wait_ms = 0;
};

// Sends `per_second` requests of "w" at instance `i` in even gaps from second 10 to second 20.
void send(support::rates_fleet& fleet, std::size_t i, double per_second, counts& c) {
  for (int k = 0; k < static_cast<int>(10 * per_second); ++k) {
    fleet.at(at_seconds(10 + (k + 0.5) / per_second), [&fleet, &c, i] {
      ++c.requests;
      fleet.request(i, "w", [&c](const rates::acquired& a, base::duration wait) {
        c.admitted += a ? 1 : 0;
        c.worst_wait_ms = std::max(c.worst_wait_ms, 1e3 * base::to_seconds(wait));
      });
    });
  }
}

} // namespace

// Guards against a busy instance that takes the tokens of the others when the workspace exceeds its
// rate.
TEST_CASE("instances with few requests get tokens while one sends ten times the rate") {
  support::rates_fleet fleet({.instances = 5});
  fleet.limits["w"] = {100, 20};
  std::vector<counts> all(5);
  send(fleet, 0, 1000, all[0]);
  for (std::size_t i = 1; i < 5; ++i) {
    send(fleet, i, 10, all[i]);
  }
  fleet.run_until(at_seconds(21));
  for (std::size_t i = 1; i < 5; ++i) {
    INFO("instance " << i << " admitted " << all[i].admitted);
    CHECK(all[i].admitted >= 90);
  }
  INFO("busy instance admitted " << all[0].admitted);
  CHECK(all[0].admitted >= 550);
  CHECK(all[0].worst_wait_ms <= 105);
}

// Guards against a throughput limited to burst / round trip where the burst is small.
TEST_CASE(
    "a burst of three admits the full rate although tokens are outstanding for a round trip") {
  support::rates_fleet fleet({.instances = 5});
  fleet.limits["w"] = {400, 3};
  std::vector<counts> all(5);
  int admitted = 0;
  int requests = 0;
  for (std::size_t i = 0; i < 5; ++i) {
    send(fleet, i, 72, all[i]);
  }
  fleet.run_until(at_seconds(21));
  for (const auto& c : all) {
    admitted += c.admitted;
    requests += c.requests;
  }
  INFO("admitted " << admitted << " of " << requests);
  CHECK(admitted >= 0.99 * requests);
}
