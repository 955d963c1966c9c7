#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "crash_fleet.h"

using namespace kingcupshunt;
using base::milliseconds;
using support::crash_fleet;

namespace {

const base::time_point start = base::time_point{} + base::seconds(100);

// The core of the only instance of a fleet, whose checks of servers a test ends itself.
struct single_instance {
  single_instance() {
    settings.self = "i0";
    admission::crash_suspects_hooks hooks;
    hooks.send = [](auto, auto, auto) {};
    hooks.check_server = [this](const std::string&) { ++checks; };
    core = admission::crash_suspects(settings, std::move(hooks));
    core.set_view({1, {{"i0", "", "", "", true}}}, start);
  }
  auto count_answer() {
    return [this] { ++answered; };
  }

  admission::crash_suspects_settings settings;
  admission::crash_suspects core{settings, {}};
  int answered = 0;
  int checks = 0;
};

void check_random_run(std::uint64_t seed, bool has_kill) {
  base::rng rng(seed);
  support::crash_options o;
  o.seed = seed;
  o.instances = 2 + rng.below(7);
  o.servers = 4 + rng.below(12);
  o.poison_callers = 1 + static_cast<int>(rng.below(3));
  o.poison_time = milliseconds(rng.below(2) == 0 ? 20 : 3000);
  crash_fleet fleet(o);
  fleet.run(base::seconds(20)); // coordinators wait for the permits of a process before them
  const int harmless_count = 60;
  for (int i = 0; i < harmless_count; ++i) {
    const auto after = milliseconds(rng.below(4000));
    const auto run_time = milliseconds(1 + rng.below(rng.below(4) == 0 ? 1500 : 100));
    fleet.at(after, [&fleet, i, run_time] { fleet.call(1000 + i, run_time, 5000); });
  }
  fleet.at(milliseconds(rng.below(2000)), [&fleet] { fleet.call(crash_fleet::poison, {}, 8); });
  if (has_kill && rng.below(4) == 0) {
    const auto victim = rng.below(o.instances);
    fleet.at(milliseconds(rng.below(6000)), [&fleet, victim] { fleet.kill(victim); });
  } else if (has_kill) {
    // While the second run is prepared or under way.
    fleet.on_crash = [&fleet, after = milliseconds(rng.below(1500)), is_first = true]() mutable {
      if (std::exchange(is_first, false)) {
        fleet.at(after, [&fleet] { fleet.kill(fleet.coordinator_of_poison()); });
      }
    };
  }
  fleet.run(base::seconds(60));
  INFO("seed " << seed << " instances " << o.instances << " servers " << o.servers);
  CHECK(fleet.servers_lost <= 2);
  CHECK(fleet.servers_lost >= 1);
  CHECK(fleet.poison_overlaps == 0);
  CHECK(fleet.harmless_refused == 0);
  if (!has_kill) {
    CHECK(fleet.harmless_done == harmless_count);
    CHECK(fleet.suspected_harmless() == 0);
  }
  RC_ASSERT(fleet.servers_lost <= 2);
}

} // namespace

// Guards against a request that takes one server after the other down.
TEST_CASE("at most two servers are lost to one request and innocent requests are served") {
  CHECK(rc::check([] { check_random_run(*rc::gen::arbitrary<std::uint32_t>(), false); }));
}

// Guards against two permits of one fingerprint after its coordinator is lost.
TEST_CASE("the bound holds when an instance is lost meanwhile") {
  CHECK(rc::check([] { check_random_run(*rc::gen::arbitrary<std::uint32_t>(), true); }));
}

// Guards against two runs at once when the coordinator is lost during the second run, which random
// runs rarely reach.
TEST_CASE("a new coordinator waits for the permits of the one before") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    support::crash_options o;
    o.seed = seed;
    o.poison_callers = 3;
    o.poison_time = milliseconds(3000);
    crash_fleet fleet(o);
    fleet.run(base::seconds(20));
    fleet.call(crash_fleet::poison, {}, 8);
    fleet.on_crash = [&fleet, is_first = true]() mutable {
      if (std::exchange(is_first, false)) {
        fleet.at(milliseconds(400), [&fleet] { fleet.kill(fleet.coordinator_of_poison()); });
      }
    };
    fleet.run(base::seconds(40));
    INFO("seed " << seed);
    CHECK(fleet.servers_lost <= 2);
    CHECK(fleet.poison_overlaps == 0);
  }
}

// Guards against a table that depends on the order of messages.
TEST_CASE("records merge in any order and a clear covers what it names") {
  admission::suspect_table a;
  admission::suspect_table b;
  const admission::suspect_record crash{7, {1}, {}};
  const admission::suspect_record clear{7, {1}, {1}};
  const admission::suspect_record second{7, {2}, {}};
  a.merge(crash, start);
  a.merge(clear, start);
  a.merge(second, start);
  b.merge(second, start);
  b.merge(clear, start);
  b.merge(crash, start);
  CHECK(a.crashes(7) == 1);
  CHECK(b.crashes(7) == 1);
  a.merge({7, {3}, {}}, start);
  CHECK(a.is_refused(7));
  CHECK(*a.refused_until(7) == start + base::seconds(600));
  a.expire(start + base::seconds(600));
  CHECK(a.crashes(7) == 0);
}

// Guards against memory that a mass failure or a hostile caller fills.
TEST_CASE("the table is bounded and keeps refused fingerprints") {
  admission::suspect_limits limits;
  limits.max_suspects = 50;
  admission::suspect_table table(limits);
  table.merge({1, {1, 2}, {}}, start);
  for (std::uint64_t f = 2; f < 500; ++f) {
    table.merge({f, {1}, {}}, start + milliseconds(f));
  }
  CHECK(table.size() == 50);
  CHECK(table.is_refused(1));
}

// Guards against an answer to the caller before all instances know of the crash, and against
// holding answers when the server is alive.
TEST_CASE("a cut request is held until its server is known to be alive or the crash has spread") {
  int sent = 0;
  admission::crash_suspects_settings settings;
  settings.self = "i0";
  admission::crash_suspects core(settings, {[&](auto, auto, auto) { ++sent; }, {}, {}, {}, {}, {}});
  core.set_view({1, {{"i0", "", "", "", true}, {"i1", "", "", "", true}}}, start);
  int answered = 0;
  const auto done = [&] { ++answered; };
  CHECK(core.begin(5, "s1", start));
  core.end(5, "s1", health::attempt_end::closed_unanswered, start, done);
  CHECK(answered == 0);
  core.server_alive("s1", start + milliseconds(2));
  CHECK(answered == 1);
  CHECK(core.table().size() == 0);

  CHECK(core.begin(5, "s1", start));
  sent = 0;
  core.server_died("s1", 77, start + milliseconds(1));
  CHECK(sent == 1);
  core.end(5, "s1", health::attempt_end::closed_unanswered, start + milliseconds(2), done);
  core.tick(start + milliseconds(150));
  CHECK(answered == 1);
  core.tick(start + milliseconds(200));
  CHECK(answered == 2);
  CHECK(core.table().crashes(5) == 1);
  CHECK(!core.begin(5, "s2", start + milliseconds(300)));
}

namespace {

struct core_run {
  std::vector<std::pair<std::string, admission::suspects_message>> sent;
  admission::crash_suspects core;

  core_run()
      : core(settings(), {[this](auto to, auto, const auto& body) {
                            sent.emplace_back(std::string(to),
                                              *peer::unpack<admission::suspects_message>(body));
                          },
                          [](auto) { return std::optional<std::string>("s9"); },
                          {},
                          {},
                          {},
                          {}}) {}

  static admission::crash_suspects_settings settings() {
    admission::crash_suspects_settings s;
    s.self = "i0";
    return s;
  }

  void receive(const admission::suspects_message& m, base::time_point now) {
    core.receive("i1", peer::message_kind::crash_suspects, peer::pack(m), now);
  }
};

} // namespace

// Guards against other requests at a server that carries a suspect, and against late repetitions
// of a note that keep a server out of use.
TEST_CASE("a server that carries a suspect is avoided until the newest note says otherwise") {
  core_run run;
  const admission::suspects_message notice{{}, {{7, "s1", 5}}, {}, false};
  run.receive(notice, start);
  CHECK(run.core.is_isolation_server("s1"));
  CHECK(!run.core.begin(8, "s1", start));
  run.receive({{}, {{7, "", 6}}, {}, false}, start);
  CHECK(!run.core.is_isolation_server("s1"));
  run.receive(notice, start + milliseconds(100));
  CHECK(run.core.begin(8, "s1", start + milliseconds(100)));
}

// Guards against an instance that starts without knowing the suspects, and against blaming nobody
// when an instance dies together with the server that ran its suspect.
TEST_CASE("a new instance learns the suspects and the loss of a carrier's instance is blamed") {
  core_run run;
  run.core.set_view({1, {{"i0", "", "", "", true}, {"i1", "", "", "", true}}}, start);
  REQUIRE(run.sent.size() == 1);
  CHECK(run.sent[0].second.is_sync_request);
  run.receive({{{7, {1}, {}}}, {{7, "s1", 5}}, {}, false}, start);
  run.sent.clear();
  run.receive({{}, {}, {}, true}, start);
  REQUIRE(run.sent.size() == 1);
  CHECK(run.sent[0].second.records.size() == 1);
  run.core.server_died("s1", 44, start);
  CHECK(run.core.table().crashes(7) == 1);
  run.core.set_view({2, {{"i0", "", "", "", true}, {"i1", "", "", "", false}}}, start);
  CHECK(run.core.table().is_refused(7));
  bool is_refused = false;
  run.core.admit(7, start, start + base::seconds(1), [&](const auto& d) {
    is_refused = !d && d.error().reason == "crash_suspect" && d.error().retry_after.has_value() &&
                 d.error().ran == proxy::ran_state::no;
  });
  CHECK(is_refused);
}

TEST_CASE("a cut is settled by the check that it starts, a later cut by one of its own") {
  single_instance run;
  auto& core = run.core;
  const auto done = run.count_answer();
  CHECK(core.begin(5, "s1", start));
  CHECK(core.begin(6, "s1", start));
  core.end(5, "s1", health::attempt_end::closed_unanswered, start, done);
  CHECK(run.checks == 1);
  core.end(6, "s1", health::attempt_end::closed_unanswered, start + milliseconds(20), done);
  CHECK(run.checks == 1); // one at a time
  core.server_alive("s1", start + milliseconds(21));
  CHECK(run.answered == 1);
  CHECK(run.checks == 2);
  core.server_died("s1", 77, start + milliseconds(40));
  CHECK(run.answered == 1);
  CHECK(core.table().crashes(6) == 1);
  CHECK(core.table().crashes(5) == 0);
}

TEST_CASE("a server that lives delays no request whose connection it cut") {
  single_instance run;
  for (int i = 0; i < 3; ++i) {
    const auto now = start + milliseconds(50 * i);
    CHECK(run.core.begin(5, "s1", now));
    run.core.end(5, "s1", health::attempt_end::closed_unanswered, now, run.count_answer());
    run.core.server_alive("s1", now + milliseconds(25));
    CHECK(run.answered == i + 1);
  }
  CHECK(run.checks == 3);
  CHECK(run.core.table().size() == 0);
}

TEST_CASE("a process that hears late of a server's end still blames the request") {
  single_instance run;
  auto& core = run.core;
  const auto done = run.count_answer();
  CHECK(core.begin(5, "s1", start));
  core.end(5, "s1", health::attempt_end::closed_unanswered, start, done);
  // The timer runs before the handler of the check, 150 ms late.
  core.tick(start + milliseconds(150));
  CHECK(run.answered == 0);
  core.server_died("s1", 77, start + milliseconds(151));
  CHECK(core.table().crashes(5) == 1);
  CHECK(!core.begin(5, "s2", start + milliseconds(400)));

  // A verdict after all time allowed does not stop the request any more, but marks it.
  CHECK(core.begin(8, "s3", start));
  core.end(8, "s3", health::attempt_end::closed_unanswered, start, done);
  core.tick(start + run.settings.check_timeout);
  core.server_died("s3", 78, start + run.settings.check_timeout + milliseconds(1));
  CHECK(core.table().crashes(8) == 1);
}
