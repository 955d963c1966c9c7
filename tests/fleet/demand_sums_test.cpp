#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>

#include "kingcupshunt/fleet/control_core.h"
#include "kingcupshunt/fleet/demand_sums.h"
#include "kingcupshunt/peer/message.h"

using namespace kingcupshunt;
using namespace kingcupshunt::fleet;

namespace {

const base::time_point start{base::seconds(100)};

base::time_point at(int ms) {
  return start + base::milliseconds(ms);
}

/// A relay without a network that keeps the last total sent to each entry.
struct relay {
  relay() {
    control_hooks hooks;
    hooks.send = [this](std::string_view to, peer::message_kind kind, const std::string& body) {
      if (const auto total = peer::unpack<load_report>(body);
          kind == peer::message_kind::load_total && total) {
        totals[std::string(to)] = *total;
      }
    };
    core = std::make_unique<control_core>(control_settings{}, std::move(hooks));
    document_log_hooks log_hooks;
    log_hooks.send = [](std::string_view, peer::message_kind, const std::string&) {};
    log_hooks.persist = [](const consensus::write_batch&) {};
    log = std::make_unique<document_log>(consensus::replica_settings{}, std::move(log_hooks),
                                         consensus::recovered_state{}, start);
    core->set_log(log.get());
  }
  void report(const std::string& entry, const load_report& r, base::time_point now) {
    core->receive(entry, peer::message_kind::load_pulse, peer::pack(r), now);
  }
  std::map<std::string, load_report> totals; ///< by entry
  std::unique_ptr<control_core> core;
  std::unique_ptr<document_log> log;
};

} // namespace

// Guards against a relay that keeps demands from entries, or sends them where none were reported.
TEST_CASE("a relay returns demand sums to all entries with the load totals") {
  relay r;
  load_report report;
  report.is_full = true;
  report.loads.push_back({"server", 1});
  r.report("a", report, at(0));
  r.report("b", report, at(0));
  r.core->tick(at(10));
  REQUIRE(r.totals.size() == 2);
  CHECK(r.totals["a"].demands.empty());
  load_report waiting;
  waiting.demands.push_back({"s", 1, 3});
  r.report("a", waiting, at(60));
  r.report("b", waiting, at(60));
  r.core->tick(at(110));
  for (const auto* entry : {"a", "b"}) {
    REQUIRE(r.totals[entry].demands.size() == 1);
    CHECK(r.totals[entry].demands[0].waiting == 6);
  }
}

// Guards against sums that differ from what the entries reported, and against totals that repeat
// unchanged values with each flush.
TEST_CASE("a relay sums demands by service and rank and sends changed sums") {
  demand_sums sums;
  sums.apply("a", {{"s", 1, 3}, {"t", 0, 1}}, start);
  sums.apply("b", {{"s", 1, 4}}, start);
  const auto first = sums.take(start);
  REQUIRE(first.size() == 2);
  CHECK(first[0].waiting == 7);
  CHECK(first[1].service == "t");
  CHECK(sums.take(at(50)).empty());
  CHECK(sums.take(at(100)).size() == 2); // the refresh
  sums.apply("a", {{"s", 1, 0}}, at(110));
  const auto changed = sums.take(at(150));
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].waiting == 4);
}

// Guards against requests of a lost entry that hold back those of others forever.
TEST_CASE("the demand of a silent entry ends, and its end is sent") {
  demand_sums sums;
  sums.apply("a", {{"s", 1, 3}}, start);
  (void)sums.take(start);
  const auto last = sums.take(at(300));
  REQUIRE(last.size() == 1);
  CHECK(last[0].waiting == 0);
  CHECK(sums.take(at(400)).empty());
}

// Guards against a relay that a faulty entry makes keep sums without bound.
TEST_CASE("ranks and services beyond the bounds are ignored") {
  demand_sum_settings settings;
  settings.max_services = 2;
  demand_sums sums(settings);
  sums.apply("a", {{"s", 8, 3}, {"s", 1, 1}, {"t", 1, 1}, {"u", 1, 1}}, start);
  CHECK(sums.take(start).size() == 2);
}

// Guards against a report of a build without demands that is rejected, or read as one.
TEST_CASE("a load report without demands is read as one with none") {
  load_report report;
  report.demands.push_back({"s", 1, 2});
  const auto read = peer::unpack<load_report>(peer::pack(report));
  REQUIRE(read);
  REQUIRE(read->demands.size() == 1);
  CHECK(read->demands[0].waiting == 2);
  const auto old = peer::unpack<load_report>("\x82\xa1"
                                             "a\xc3\xa1"
                                             "l\x90");
  REQUIRE(old);
  CHECK(old->is_full);
  CHECK(old->demands.empty());
}
