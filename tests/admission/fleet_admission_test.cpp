// Admission over all entries under the loads of docs/design/workload-2026-12.md, section 3.6,
// against the gate of each entry alone and against one gate that knows all queues.

#include <doctest/doctest.h>

#include <cstdio>

#include "fleet_admission_harness.h"

using namespace kingcupshunt;
using namespace kingcupshunt::admission;
using namespace kingcupshunt::admission::harness;

namespace {

result run(const load& l, scheme s, gate_order order) {
  const auto r = fleet_model(l, s, order).run();
  constexpr const char* schemes[] = {"local", "fleet", "ideal"};
  constexpr const char* orders[] = {"arrival", "latest", "fair", "fair_latest"};
  std::printf("%-22s %-5s %-11s requests %5u served %.3f returning %.3f (%u) starts %5u "
              "server_queued %5u server_refused %4u overtaken %5u known %3u refusals %6u "
              "worst_workspace %.3f idle_ms %4.0f\n",
              l.name.c_str(), schemes[int(s)], orders[int(order)], r.requests,
              double(r.served) / r.requests,
              r.returning == 0 ? 1 : double(r.returning_served) / r.returning, r.returning,
              r.starts, r.server_queued, r.server_refused, r.overtaken, r.overtaken_known,
              r.refusals, r.worst_workspace, r.idle_ms);
  return r;
}

/// Usual load, with `height` times as much from 2 s to 5 s.
std::function<double(double)> burst(double height) {
  return [=](double at) { return at > 2 && at < 5 ? height : 1.0; };
}

std::vector<load> loads() {
  std::vector<load> out(7);
  out[0].name = "burst 1.7";
  out[0].factor = burst(1.7);
  out[1].name = "burst 7.5, one";
  out[1].factor = burst(1.001);
  out[1].flood = 7.5;
  out[2].name = "burst 1.7, at once";
  out[2].factor = burst(1.7);
  out[2].must_retry_at_once = true;
  out[3].name = "waves";
  out[3].factor = [](double at) { return 1.4 + 0.8 * std::sin(at * 3); };
  out[4].name = "25 beside 379, split";
  out[4].servers = {25, 379};
  out[4].parts = {0.1, 0.9}; // the small service gets 1.6 times its part
  out[4].factor = burst(1.4);
  out[4].seconds = 6;
  out[5].name = "lost reports 0.1";
  out[5].factor = burst(1.7);
  out[5].loss = 0.1;
  out[6].name = "no server queues";
  out[6].factor = burst(1.7);
  out[6].queue = 0; // as for uploads
  return out;
}

} // namespace

// Guards against entries that start requests on the same few free slots, against a lower rank that
// goes first although a higher one is known to wait elsewhere, and against slots that stay free
// beside a queue because every entry leaves them to another.
TEST_CASE("entries that know each other's queues start no more than there are free slots") {
  for (const auto& l : loads()) {
    CAPTURE(l.name);
    const auto baseline = run(l, scheme::local, gate_order::arrival);
    const auto result = run(l, scheme::fleet, gate_order::fair_latest_start);
    const auto ideal = run(l, scheme::ideal, gate_order::fair);
    (void)ideal;
    CHECK(result.overtaken_known == 0);
    CHECK(result.server_refused < baseline.server_refused);
    // Knowledge of other entries that is older has expired.
    CHECK(result.idle_ms <= double(fleet_demand_settings().lifetime.count()));
  }
}

// Guards against callers that were refused once, have less time left and are starved by new ones.
TEST_CASE("returning callers are served, one rank") {
  for (auto l : loads()) {
    l.has_ranks = false;
    CAPTURE(l.name);
    const auto r = run(l, scheme::fleet, gate_order::fair_latest_start);
    CHECK(r.returning_served * 2 >= r.returning);
  }
}

// Guards against callers of a low rank that wait until their time is used up and then return.
TEST_CASE("returning callers are served, three ranks") {
  for (const auto& l : loads()) {
    CAPTURE(l.name);
    const auto r = run(l, scheme::fleet, gate_order::fair_latest_start);
    CHECK(r.returning_served * 2 >= r.returning);
  }
}

// Prints what the choice of the order within a rank is made by.
TEST_CASE("orders within a rank, compared") {
  for (auto l : loads()) {
    l.has_ranks = false;
    for (const auto order : {gate_order::arrival, gate_order::latest_start, gate_order::fair,
                             gate_order::fair_latest_start}) {
      CHECK(run(l, scheme::fleet, order).served > 0);
    }
  }
}
