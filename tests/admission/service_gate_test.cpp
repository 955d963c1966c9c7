#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "kingcupshunt/admission/crash_history.h"
#include "kingcupshunt/admission/service_gate.h"

using namespace kingcupshunt;
using namespace kingcupshunt::admission;

namespace {

const base::time_point start{base::seconds(100)};

struct gate_log {
  std::vector<std::string> passed;
  std::vector<std::string> refused;
  gate_function note(const std::string& name) {
    return [this, name](gate_result r) { (r ? refused : passed).push_back(name); };
  }
};

gate_request request(std::uint32_t rank, int latest_ms) {
  return {rank, start + base::milliseconds(latest_ms)};
}

} // namespace

TEST_CASE("in a burst, requests run by rank and those too late are refused at once") {
  service_gate gate;
  gate_log log;
  const gate_capacity none{0, 10}; // ten starts per second
  for (int i = 0; i < 4; ++i) {
    gate.enter(request(2, 1000), none, start, log.note("low" + std::to_string(i)));
  }
  gate.enter(request(0, 1000), none, start, log.note("high"));
  CHECK(gate.waiting() == 5);
  // It could start only after 0.6 s, beyond its limit of 0.4 s.
  gate.enter(request(2, 400), none, start, log.note("hopeless"));
  CHECK(log.refused == std::vector<std::string>{"hopeless"});
  CHECK(gate.dispatch({2, 10}, start + base::milliseconds(100)) == 2);
  CHECK(log.passed == std::vector<std::string>{"high", "low0"});
  (void)gate.dispatch({0, 10}, start + base::milliseconds(1100));
  CHECK(log.refused.size() == 4);
  CHECK(gate.waiting() == 0);
}

// Guards against requests that wait while every server has asked for a pause.
TEST_CASE("all waiting requests are refused when the servers are paused") {
  service_gate gate;
  gate_log log;
  gate.enter(request(2, 1000), {0, 0}, start, log.note("a"));
  gate.enter(request(1, 1000), {0, 0}, start, log.note("b"));
  gate.refuse_all(gate_refusal::paused);
  CHECK(log.refused == std::vector<std::string>{"b", "a"});
  CHECK(log.passed.empty());
  CHECK(gate.waiting() == 0);
}

TEST_CASE("a full queue drops its lowest-ranked request for a higher-ranked one") {
  service_gate gate(gate_settings{2});
  gate_log log;
  const gate_capacity none{0, 0};
  gate.enter(request(2, 1000), none, start, log.note("a"));
  gate.enter(request(2, 1000), none, start, log.note("b"));
  gate.enter(request(2, 1000), none, start, log.note("c"));
  CHECK(log.refused == std::vector<std::string>{"c"});
  gate.enter(request(1, 1000), none, start, log.note("d"));
  CHECK(log.refused == std::vector<std::string>{"c", "b"});
}

TEST_CASE("with free slots a request passes at once unless others wait for them") {
  service_gate gate;
  gate_log log;
  gate.enter(request(1, 1000), {1, 10}, start, log.note("a"));
  CHECK(log.passed.size() == 1);
  gate.enter(request(1, 1000), {0, 10}, start, log.note("b"));
  gate.enter(request(1, 1000), {1, 10}, start, log.note("c"));
  CHECK(log.passed.size() == 1);
}

// Guards against a workspace that floods a contended service and gets the share of the others.
TEST_CASE("waiting workspaces share by weight") {
  service_gate gate({256, gate_order::fair_latest_start});
  gate_log log;
  const gate_capacity none{0, 0};
  for (int i = 0; i < 40; ++i) {
    gate.enter({1, start + base::seconds(2), "flood", 1}, none, start, log.note("flood"));
  }
  for (int i = 0; i < 8; ++i) {
    gate.enter({1, start + base::seconds(2), "heavy", 2}, none, start, log.note("heavy"));
  }
  CHECK(gate.dispatch({12, 0}, start) == 12);
  const auto heavy = std::ranges::count(log.passed, "heavy");
  CHECK(heavy >= 7);
  CHECK(heavy <= 9);
}

// Guards against callers that return with little time left and are starved by new ones.
TEST_CASE("within a workspace the request that must start soonest goes first") {
  service_gate gate({256, gate_order::fair_latest_start});
  gate_log log;
  gate.enter({1, start + base::seconds(2), "w", 1}, {0, 0}, start, log.note("new"));
  gate.enter({1, start + base::milliseconds(500), "w", 1}, {0, 0}, start, log.note("returning"));
  gate.enter({0, start + base::seconds(3), "w", 1}, {0, 0}, start, log.note("high"));
  CHECK(gate.dispatch({2, 0}, start) == 2);
  CHECK(log.passed == std::vector<std::string>{"high", "returning"});
}

// Guards against requests that wait although what waits at other entries goes first for too long.
TEST_CASE("the expected wait counts what waits elsewhere") {
  service_gate gate;
  gate_log log;
  gate.enter(request(1, 400), {0, 10, 5}, start, log.note("late"));
  CHECK(log.refused == std::vector<std::string>{"late"});
  gate.enter(request(1, 400), {0, 10, 2}, start, log.note("in time"));
  CHECK(gate.waiting() == 1);
}

TEST_CASE("a request that crashed several servers is a suspect until a server answers it") {
  crash_history history;
  history.record_closed(1, "a", start);
  history.record_closed(1, "a", start);
  history.record_closed(1, "b", start);
  CHECK(!history.is_suspect(1, start));
  history.record_closed(1, "c", start);
  CHECK(history.is_suspect(1, start));
  CHECK(!history.is_suspect(2, start));
  CHECK(!history.is_suspect(1, start + base::seconds(121)));
  history.record_answered(1, start);
  CHECK(!history.is_suspect(1, start));
  for (const auto* id : {"a", "b", "c"}) {
    history.record_closed(0, id, start); // no fingerprint
  }
  CHECK(!history.is_suspect(0, start));
}

TEST_CASE("a common lookup is not a suspect when several servers stop") {
  crash_history history;
  history.record_answered(1, start);
  for (const auto* id : {"a", "b", "c", "d"}) {
    history.record_closed(1, id, start + base::seconds(1));
  }
  CHECK(!history.is_suspect(1, start + base::seconds(1)));
  for (const auto* id : {"e", "f", "g", "h"}) {
    history.record_closed(1, id, start + base::seconds(2));
  }
  CHECK(history.is_suspect(1, start + base::seconds(2))); // eight servers since the last answer
  // An answer from longer ago than answer_retention does not count.
  history.record_answered(2, start);
  history.record_answered(3, start + base::seconds(31));
  history.record_answered(3, start + base::seconds(62));
  for (const auto* id : {"a", "b", "c"}) {
    history.record_closed(2, id, start + base::seconds(62));
  }
  CHECK(history.is_suspect(2, start + base::seconds(62)));
}
