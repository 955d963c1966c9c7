#include <doctest/doctest.h>

#include "cold_fleet.h"

using namespace kingcupshunt;
using namespace kingcupshunt::fleet;
using namespace kingcupshunt::fleet::testing;

// Load pattern: a service whose servers crash when they get more than a stated rate while they are
// cold. The bound is 1.5 times the rate plus 8 in any second, over all entries together.

namespace {

constexpr double bound = cold_rate * 1.5 + 8;
constexpr double usual_load = 100; ///< requests per second, about 5 for each server

const std::vector<std::string> three_controls{"c1", "c2", "c3"};

std::string server(int i) {
  return "s" + std::to_string(i);
}

/// Starts warm servers and waits for the election and for the relay's first permits.
void warm_up(cold_fleet& f, int servers, int data_centres = 1, double load = usual_load) {
  for (int i = 0; i < servers; ++i) {
    f.start_server(server(i), "dc" + std::to_string(i % data_centres), {});
  }
  f.run(base::seconds(4), load);
}

/// Whether the requests to a server since `from` are no more than its rate allows, besides a few.
/// Relays that issue too much exceed this before they exceed the bound.
bool is_within_rate(const cold_fleet& f, const std::string& id, base::time_point from) {
  return static_cast<double>(f.sent_since(id, from)) <=
         cold_rate * base::to_seconds(f.now - from) + 5;
}

/// Requests at one entry only, 50 per second, for `time`.
void run_busy(cold_fleet& f, const std::string& entry, base::duration time) {
  const auto end = f.now + time;
  while (f.now < end) {
    f.run(base::milliseconds(20), 0);
    auto& board = *f.entries.at(entry).board;
    board.note_request("fitting", f.now);
    if (const auto chosen = board.begin({"fitting", ++f.serial, true}, {}, f.now)) {
      f.live.push_back({entry, chosen.value().id, f.serial, f.now});
    }
  }
}

/// Longest time without a request to a server that is cold from `from` until now.
base::duration longest_gap(const cold_fleet& f, const std::string& id, base::time_point from) {
  auto last = from;
  base::duration longest{};
  for (const auto at : f.backends.at(id).sent) {
    if (at >= from) {
      longest = std::max<base::duration>(longest, at - last);
      last = at;
    }
  }
  return std::max<base::duration>(longest, f.now - last);
}

} // namespace

// Guards against entries that each take a server that has just started for the cheapest one, and
// against a cold server that gets nothing.
TEST_CASE("all entries together keep the bound of servers that start, and use their rate evenly") {
  cold_fleet f(three_controls, 12, 1);
  warm_up(f, 20);
  const auto from = f.now;
  for (int i = 20; i < 25; ++i) {
    f.start_server(server(i), "dc0", base::seconds(6));
  }
  f.run(base::seconds(6), usual_load);
  CHECK(static_cast<double>(f.most_in_a_second()) <= bound);
  for (int i = 20; i < 25; ++i) {
    const auto n = static_cast<double>(f.sent_since(server(i), from));
    CHECK(n <= 6 * cold_rate + 2);
    CHECK(n >= 0.6 * 6 * cold_rate);
    CHECK(base::to_seconds(longest_gap(f, server(i), from)) < 1.5);
  }
}

// Guards against a burst when every server of a service is cold and callers wait.
TEST_CASE("servers that are all cold get their rate and no more under several times that load") {
  cold_fleet f(three_controls, 12, 1);
  warm_up(f, 0);
  const auto from = f.now;
  for (int i = 0; i < 6; ++i) {
    f.start_server(server(i), "dc0", base::seconds(6));
  }
  f.run(base::seconds(6), 7.5 * 6 * cold_rate);
  CHECK(static_cast<double>(f.most_in_a_second()) <= bound);
  for (int i = 0; i < 6; ++i) {
    CHECK(static_cast<double>(f.sent_since(server(i), from)) >= 0.7 * 6 * cold_rate);
  }
}

// Guards against permits that go to entries which have no request for them.
TEST_CASE("a cold server gets its rate when only one of many entries has requests") {
  cold_fleet f(three_controls, 12, 1);
  warm_up(f, 10);
  f.run(base::seconds(2), 0);
  auto& busy = *f.entries.begin()->second.board;
  const auto from = f.now;
  f.start_server(server(10), "dc0", base::seconds(6));
  for (int i = 0; i < 300; ++i) {
    f.run(base::milliseconds(20), 0);
    busy.note_request("fitting", f.now);
    if (const auto chosen = busy.begin({"fitting", ++f.serial, true}, {}, f.now)) {
      auto& b = f.backends.at(chosen.value().id);
      if (f.now < b.cold_until) {
        b.sent.push_back(f.now);
      }
      f.live.push_back({f.entries.begin()->first, b.record.id, f.serial, f.now});
    }
  }
  CHECK(static_cast<double>(f.most_in_a_second()) <= bound);
  CHECK(static_cast<double>(f.sent_since(server(10), from)) >= 0.6 * 6 * cold_rate);
}

// Guards against permits that a slow link gathers and delivers together.
TEST_CASE("permits that arrive late in one batch are not used") {
  cold_fleet f(three_controls, 12, 1);
  warm_up(f, 20);
  f.start_server(server(20), "dc0", base::seconds(20));
  f.run(base::seconds(2), usual_load);
  const auto stall_end = f.now + base::seconds(5);
  f.delay_of = [&](std::string_view from, std::string_view) {
    return from == "c1" && f.now < stall_end ? stall_end - f.now : base::duration{};
  };
  f.run(base::seconds(10), usual_load);
  std::uint32_t late = 0;
  for (const auto& [id, e] : f.entries) {
    late += e.late;
  }
  CHECK(late >= 10);
  CHECK(static_cast<double>(f.most_in_a_second()) <= bound);
  CHECK(f.sent_since(server(20), stall_end + base::milliseconds(500)) >= 5);
}

// Guards against entries that go on without permits once they have lost the relay.
TEST_CASE("entries that have lost their relay send a cold server nothing") {
  cold_fleet f(three_controls, 12, 1);
  warm_up(f, 20);
  f.start_server(server(20), "dc0", base::seconds(30));
  f.run(base::seconds(3), usual_load);
  CHECK(f.sent_since(server(20), {}) >= 5);
  for (const auto& c : f.ids) {
    f.down.insert(c);
  }
  f.run(base::seconds(1), usual_load);
  const auto from = f.now;
  f.run(base::milliseconds(200), usual_load);
  for (auto& [id, e] : f.entries) {
    f.change_relay(e, "");
  }
  f.run(base::seconds(8), usual_load);
  CHECK(f.sent_since(server(20), from) == 0);
  CHECK(static_cast<double>(f.most_in_a_second()) <= bound);
}

// Guards against a former and a new relay that both issue the whole rate.
TEST_CASE("the bound holds while the entries change to another relay one after the other") {
  cold_fleet f(three_controls, 12, 1);
  warm_up(f, 20);
  const auto started_at = f.now;
  f.start_server(server(20), "dc0", base::seconds(60));
  f.run(base::seconds(2), usual_load);
  for (int change = 0; change < 6; ++change) {
    for (auto& [id, e] : f.entries) {
      f.change_relay(e, change % 2 == 0 ? "c2" : "c3");
      f.run(base::milliseconds(f.rng.below(250)), usual_load);
    }
    f.run(base::seconds(2), usual_load);
  }
  CHECK(static_cast<double>(f.most_in_a_second()) <= bound);
  CHECK(is_within_rate(f, server(20), started_at));
  const auto from = f.now;
  f.run(base::seconds(4), usual_load);
  CHECK(static_cast<double>(f.sent_since(server(20), from)) >= 0.5 * 4 * cold_rate);
}

// Guards against a former and a new relay that both give the parts of idle entries to busy ones.
TEST_CASE("two busy entries of twelve get the rate and no more while they change their relay") {
  std::map<std::string, cold_relay> relays;
  std::map<std::string, std::string> relay_of;
  for (const auto& id : {"c1", "c2"}) {
    relays.emplace(id, rates::cold_bound{});
  }
  for (int i = 0; i < 12; ++i) {
    relay_of["e" + std::to_string(100 + i)] = "c1";
  }
  const auto is_busy = [](const std::string& id) { return id == "e100" || id == "e101"; };
  base::time_point now{base::seconds(100)};
  int steps = 0;
  const auto run = [&](base::duration time) {
    std::uint32_t usable = 0;
    for (const auto end = now + time; now < end; now += base::milliseconds(50)) {
      for (const auto& [id, relay] : relay_of) {
        load_report report;
        report.stamp = 1;
        if (steps % 20 == 0) { // a full report, each second
          report.cold.push_back({"s", 60'000, cold_rate, "dc0", is_busy(id)});
        }
        relays.at(relay).on_report(id, report, now);
      }
      ++steps;
      for (auto& [name, relay] : relays) {
        for (const auto& [id, at] : relay_of) {
          relay.note_entry(id, "dc0", now);
        }
        for (const auto& [to, grant] : relay.issue(true, now)) {
          usable += is_busy(to) && relay_of.at(to) == name ? grant.cold.at(0).permits : 0;
        }
      }
    }
    return static_cast<double>(usable);
  };
  run(base::seconds(10));
  steps = 0; // entries begin with a full report
  for (auto& [id, relay] : relay_of) {
    relay = id == "e101" ? "c1" : "c2";
  }
  const auto first = run(base::milliseconds(2500));
  CHECK(first <= 2.5 * cold_rate + 2);
  CHECK(first >= 0.4 * 2.5 * cold_rate);
  steps = 0;
  relay_of["e101"] = "c2";
  CHECK(run(base::milliseconds(2500)) <= 2.5 * cold_rate + 2);
  run(base::seconds(1));
  CHECK(run(base::seconds(4)) >= 4 * cold_rate - 2);
}

// Guards against relays on both sides of a partition that each take their entries for all.
TEST_CASE("the bound holds when a partition divides the entries and their relays") {
  for (const bool is_leader_cut : {false, true}) {
    CAPTURE(is_leader_cut);
    cold_fleet f(three_controls, 12, 1);
    warm_up(f, 20);
    const auto leads = [&](const std::string& c) {
      return f.controls.at(c).log->log().is_leader() == is_leader_cut;
    };
    const auto cut = *std::ranges::find_if(f.ids, leads);
    const auto other = *std::ranges::find_if(f.ids, [&](const auto& c) { return c != cut; });
    int n = 0;
    for (auto& [id, e] : f.entries) {
      f.change_relay(e, ++n <= 6 ? cut : other);
    }
    f.run(base::seconds(3), usual_load);
    f.start_server(server(20), "dc0", base::seconds(60));
    f.run(base::seconds(2), usual_load);
    f.cut.insert(cut);
    n = 0;
    for (auto& [id, e] : f.entries) {
      if (++n <= 6) {
        f.cut.insert(id);
      }
    }
    const auto cut_at = f.now;
    f.run(base::seconds(20), usual_load);
    CHECK(static_cast<double>(f.most_in_a_second()) <= bound);
    CHECK(is_within_rate(f, server(20), cut_at));
    const auto from = f.now;
    f.run(base::seconds(4), usual_load);
    CHECK(static_cast<double>(f.sent_since(server(20), from)) >= 0.5 * 4 * cold_rate);
    f.cut.clear();
    f.run(base::seconds(5), usual_load);
    CHECK(static_cast<double>(f.most_in_a_second()) <= bound);
  }
}

// Guards against entries that take a server for warm until it starts again, and against permits of
// one cold period that add up with those of the next.
TEST_CASE("a server that becomes cold again is known to all entries from its first answer") {
  cold_fleet f(three_controls, 12, 1);
  warm_up(f, 20);
  for (int period = 0; period < 8; ++period) {
    auto& b = f.backends.at(server(period % 2));
    b.sent.clear();
    b.cold_until = f.now + base::seconds(2);
    f.run(base::milliseconds(600), usual_load);
    const auto from = f.now;
    f.run(base::milliseconds(1450 + 100 * period), usual_load);
    CHECK(static_cast<double>(f.most_in_a_second()) <= bound);
    CHECK(static_cast<double>(f.sent_since(b.record.id, from)) <= 1.5 * cold_rate + 3);
    for (const auto& [id, e] : f.entries) {
      CHECK(!e.board->is_cold(b.record.id, b.cold_until + base::milliseconds(50)));
    }
  }
}

// Guards against relays of several data centres that each issue the whole rate, and against permits
// for entries that do not use the servers of another data centre.
TEST_CASE("in a large fleet the relays of the data centres keep the bound together") {
  cold_fleet f({"c0", "c1", "c2"}, 36, 3);
  for (auto& [id, e] : f.entries) {
    f.change_relay(e, "c" + e.data_centre.substr(2));
  }
  constexpr double load = 400;
  warm_up(f, 60, 3, load);
  const auto from = f.now;
  for (int i = 60; i < 66; ++i) {
    f.start_server(server(i), "dc" + std::to_string(i % 3), base::seconds(6));
  }
  f.run(base::seconds(6), load);
  CHECK(static_cast<double>(f.most_in_a_second()) <= bound);
  for (int i = 60; i < 66; ++i) {
    CHECK(static_cast<double>(f.sent_since(server(i), from)) >= 0.5 * 6 * cold_rate);
    CHECK(is_within_rate(f, server(i), from));
  }
}

// Guards against a cold server that starts without limit because no relay knows it yet.
TEST_CASE("a server that starts before any relay knows it gets no request without a permit") {
  cold_fleet f(three_controls, 3, 1);
  f.start_server(server(0), "dc0", base::seconds(3));
  f.run(base::milliseconds(150), 200); // there is no leader yet
  CHECK(f.sent_since(server(0), {}) == 0);
  f.run(base::seconds(5), 200);
  CHECK(static_cast<double>(f.most_in_a_second()) <= bound);
}

// Guards against entries of an earlier build that get permits which they cannot use.
TEST_CASE("entries that send no stamp get no permits for cold servers") {
  cold_relay relay{{}};
  const base::time_point start{base::seconds(10)};
  load_report report;
  report.is_full = true;
  report.cold.push_back({"s", 30'000, cold_rate, "dc0", true});
  (void)relay.issue(true, start);
  relay.on_share(report.cold, start);
  std::size_t to_old = 0;
  std::size_t to_new = 0;
  for (int i = 0; i < 200; ++i) {
    const auto now = start + i * base::milliseconds(50);
    relay.note_entry("old", "dc0", now);
    relay.note_entry("new", "dc0", now);
    report.stamp = 0;
    relay.on_report("old", report, now);
    report.stamp = 1;
    relay.on_report("new", report, now);
    const auto issued = relay.issue(true, now);
    to_old += issued.contains("old") ? 1 : 0;
    to_new += issued.contains("new") ? 1 : 0;
  }
  CHECK(to_old == 0);
  // The part of the other entry is not issued: it may send requests as well.
  CHECK(static_cast<double>(to_new) <= 0.5 * 8 * cold_rate + 2);
  CHECK(static_cast<double>(to_new) >= 0.5 * 8 * cold_rate - 2);
}

// Guards against entries that take a server for warm after its usual warm-up time, though another
// entry has answers that say otherwise.
TEST_CASE("a server that is cold for longer than its warm-up time is known to all entries") {
  for (const int data_centres : {1, 3}) {
    CAPTURE(data_centres);
    cold_fleet f({"c0", "c1", "c2"}, 12 * data_centres, data_centres);
    for (auto& [id, e] : f.entries) {
      f.change_relay(e, "c" + e.data_centre.substr(2));
    }
    warm_up(f, 1);
    f.run(base::seconds(2), 0);
    auto& b = f.backends.at(server(0));
    b.cold_until = f.now + base::seconds(10);
    run_busy(f, "e100", base::milliseconds(500));
    for (int i = 0; i < 18; ++i) {
      run_busy(f, "e100", base::milliseconds(500));
      for (const auto& [id, e] : f.entries) {
        CHECK(e.board->is_cold(server(0), f.now));
      }
    }
    f.run(b.cold_until - f.now, 0);
    for (const auto& [id, e] : f.entries) {
      CHECK(!e.board->is_cold(server(0), b.cold_until + base::milliseconds(50)));
    }
  }
}

// Guards against a relay that forgets all entries while it is paused or isolated, and gives the
// whole rate to the first one that returns, while another relay still issues its part.
TEST_CASE("a relay that was alone for 12 s hears from all entries before it issues permits again") {
  for (const bool is_paused : {false, true}) {
    CAPTURE(is_paused);
    cold_relay relay{{}};
    auto now = base::time_point{base::seconds(10)};
    load_report report;
    report.is_full = true;
    report.stamp = 1;
    report.cold.push_back({"s", 60'000, cold_rate, "dc0", true});
    std::size_t issued = 0;
    // Only the first entry reports here; the others report to another relay.
    const auto step = [&](int entries, bool has_majority) {
      now += base::milliseconds(50);
      for (int i = 0; i < entries; ++i) {
        relay.note_entry("e" + std::to_string(i), "dc0", now);
      }
      if (entries > 0) {
        relay.on_report("e0", report, now);
      }
      issued += relay.issue(has_majority, now).size();
    };
    for (int i = 0; i < 200; ++i) {
      step(12, true);
    }
    CHECK(issued >= 1);
    if (is_paused) {
      now += base::seconds(12);
    } else {
      for (int i = 0; i < 240; ++i) {
        step(0, false);
      }
    }
    issued = 0;
    for (int i = 0; i < 100; ++i) { // the entries return within 2 s
      step(std::min(1 + i / 4, 12), true);
    }
    CHECK(static_cast<double>(issued) <= cold_rate / 12 * (2.5 + 0.1) + 1); // 0.1 s may accrue
    for (int i = 0; i < 200; ++i) {
      step(12, true);
    }
    CHECK(static_cast<double>(issued) >= cold_rate / 12 * 10);
  }
}

// Guards against a cold period that messages between relays and entries keep alive.
TEST_CASE("a server that was cold once is not cold for longer through late messages") {
  cold_fleet f(three_controls, 6, 1);
  warm_up(f, 10);
  f.delay_of = [](std::string_view, std::string_view) { return base::milliseconds(700); };
  f.start_server(server(10), "dc0", base::seconds(2));
  f.run(base::seconds(4), usual_load);
  for (const auto& [id, e] : f.entries) {
    CHECK(e.board->cold_servers(f.now) == 0);
  }
  CHECK(f.controls.at("c1").core->has_majority_contact(f.now));
}

// Guards against a whole configuration that an earlier build refuses because of two new members.
TEST_CASE("documents for entries of an earlier build have no cold terms") {
  cold_fleet f(three_controls, 1, 1);
  f.run(base::seconds(4), 0);
  const nlohmann::json all = {
      {"services",
       {{"fitting", {{"secret_sha256", ""}, {"warmup_ms", 3000}, {"cold_rate", cold_rate}}}}}};
  for (auto& [id, c] : f.controls) {
    if (c.log->log().is_leader()) {
      c.log->propose(
          {1, all.dump()}, [](bool) {}, f.now);
    }
  }
  f.run(base::seconds(1), 0);
  std::vector<std::string> texts;
  for (const bool reads : {false, true}) {
    f.controls.at("c1").core->receive("e100", peer::message_kind::document_fetch,
                                      peer::pack(document_fetch{0, reads}), f.now);
    for (const auto& [at, m] : f.net) {
      if (m.kind == peer::message_kind::document_content) {
        texts.push_back(peer::unpack<document_content>(m.body)->text);
      }
    }
    f.net.clear();
  }
  REQUIRE(texts.size() == 2);
  CHECK(texts[0].find("cold_rate") == std::string::npos);
  CHECK(texts[0].find("warmup_ms") == std::string::npos);
  CHECK(texts[0].find("secret_sha256") != std::string::npos);
  CHECK(texts[1].find("cold_rate") != std::string::npos);
}
