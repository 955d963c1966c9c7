#include <doctest/doctest.h>

#include "health/trace_replay.h"

namespace {

using namespace support;
using namespace std::chrono_literals;

const base::time_point start{base::seconds(1000)};

std::vector<health::upstream> servers(int n) {
  std::vector<health::upstream> out(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    auto& up = out[static_cast<std::size_t>(i)];
    up.info = {"fitting", "s" + std::to_string(i), "dc" + std::to_string(i % 3), 3, false, 1, 1};
    up.first_seen = start;
  }
  return out;
}

health::verdicts_message ejection_message(std::uint64_t sequence, base::time_point sent) {
  health::verdicts_message m;
  m.service = "fitting";
  m.view_version = 1;
  m.sequence = sequence;
  m.echo_us = static_cast<std::uint64_t>(
      std::chrono::duration_cast<base::microseconds>(sent.time_since_epoch()).count());
  m.verdicts.push_back(
      {"s1", static_cast<std::uint8_t>(health::server_state::ejected), 1, 0, 5000, 2000, 1, "x"});
  return m;
}

struct reporter_fixture {
  reporter_fixture() : r(settings(), hooks()) { r.set_upstreams("fitting", servers(5), start); }
  static health::reporter_settings settings() {
    health::reporter_settings s;
    s.self = "i1";
    return s;
  }
  static health::reporter_hooks hooks() {
    health::reporter_hooks h;
    h.floor_of = [](std::string_view) { return 0.6; };
    return h;
  }
  void receive_verdicts(const health::verdicts_message& m, base::time_point now) {
    r.receive("i2", peer::message_kind::health_verdicts, peer::pack(m), now);
  }
  health::reporter r;
};

struct owner_fixture {
  owner_fixture() : o(settings(), hooks()) {
    view.version = 1;
    view.members = {{"i1", "dc0", "", "", true}};
    o.set_upstreams("fitting", servers(5), start);
    o.set_view(view, start);
  }
  health::service_owner_settings settings() const {
    health::service_owner_settings s;
    s.self = "i1";
    return s;
  }
  health::service_owner_hooks hooks() {
    health::service_owner_hooks h;
    h.is_fresh = [this](base::time_point) { return is_fresh; };
    return h;
  }
  bool is_fresh = true;
  membership::fleet_view view;
  health::service_owner o;
};

} // namespace

// Guards against an ejection that outlives its owner, whatever the delay of the message.
TEST_CASE("an ejection lapses one lifetime after the evidence that it answers") {
  reporter_fixture x;
  x.receive_verdicts(ejection_message(1, start), start + 800ms);
  x.r.tick(start + 4900ms);
  CHECK(x.r.states("fitting").size() == 1);
  x.r.tick(start + 5s);
  CHECK(x.r.states("fitting").empty());
}

// Guards against a delayed verdict that overrides a newer one, and against forged echoes.
TEST_CASE("older verdicts and those with an impossible echo are ignored") {
  reporter_fixture x;
  auto none = ejection_message(5, start);
  none.verdicts.clear();
  x.receive_verdicts(none, start + 10ms);
  x.receive_verdicts(ejection_message(4, start), start + 20ms);
  CHECK(x.r.states("fitting").empty());
  x.receive_verdicts(ejection_message(6, start + 10s), start + 30ms);
  CHECK(x.r.states("fitting").empty());
  x.receive_verdicts(ejection_message(7, start), start + 40ms);
  CHECK(x.r.states("fitting").size() == 1);
  x.r.receive("i2", peer::message_kind::health_verdicts, "\x93", start + 50ms);
  CHECK(x.r.malformed_count() == 1);
}

// Guards against traffic to a server that this instance cannot reach while the owner gathers
// evidence; the server is only ranked.
TEST_CASE("two failures in a row rank a server last at this instance") {
  reporter_fixture x;
  health::attempt a;
  a.service = "fitting";
  a.upstream = "s2";
  a.end = health::attempt_end::connect_failed;
  x.r.report(a, start);
  CHECK(x.r.states("fitting").empty());
  x.r.report(a, start + 10ms);
  REQUIRE(x.r.states("fitting").size() == 1);
  CHECK(x.r.states("fitting")[0].state == health::server_state::path_fault);
  x.r.tick(start + 6s);
  CHECK(x.r.states("fitting").empty());
}

// Guards against two owners at a time and against decisions of an owner that is cut off.
TEST_CASE("a new owner waits, renews, then decides, and only while fresh") {
  owner_fixture x;
  CHECK(x.o.phase("fitting", start + 2s) == health::owner_phase::collecting);
  CHECK(x.o.phase("fitting", start + 3s) == health::owner_phase::renewing);
  CHECK(x.o.phase("fitting", start + 7s) == health::owner_phase::renewing);
  CHECK(x.o.phase("fitting", start + 7100ms) == health::owner_phase::deciding);
  x.is_fresh = false;
  CHECK_FALSE(x.o.phase("fitting", start + 7100ms));
  x.is_fresh = true;
  x.view.version = 2;
  x.o.set_view(x.view, start + 8s);
  CHECK(x.o.phase("fitting", start + 8s) == health::owner_phase::deciding);
  x.view.version = 5; // a skipped view may have named another owner
  x.o.set_view(x.view, start + 9s);
  CHECK(x.o.phase("fitting", start + 9s) == health::owner_phase::collecting);
}

// Guards against path faults taken for bad servers and the other way round.
TEST_CASE("the scope of a fault follows from who meets it") {
  std::vector<health::instance_counts> counts;
  for (int i = 0; i < 15; ++i) {
    counts.push_back({"i" + std::to_string(i), "dc" + std::to_string(i % 3), 0, 2});
  }
  auto one = counts;
  one[4] = {"i4", "dc1", 4, 0};
  CHECK(health::find_scope(one, 0).instances == std::vector<std::string>{"i4"});
  auto data_centre_fault = counts;
  for (std::size_t i = 0; i < 15; i += 3) {
    data_centre_fault[i].bad = 2;
    data_centre_fault[i].good = 0;
  }
  CHECK(health::find_scope(data_centre_fault, 0).scope == health::fault_scope::data_centre);
  auto server = counts;
  for (const std::size_t i : {0U, 4U, 8U, 9U, 13U}) {
    server[i].bad = 1;
    server[i].good = 1;
  }
  CHECK(health::find_scope(server, 0).scope == health::fault_scope::server);
}
