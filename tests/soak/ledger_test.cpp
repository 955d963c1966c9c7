#include <doctest/doctest.h>

#include "ledger.h"

using namespace kingcupshunt;
using base::milliseconds;
using soak::ledger;
using soak::promise;

namespace {

const base::time_point start{base::seconds(1000)};

soak::sent_request request(const std::string& id, base::time_point at = start) {
  return {id, "key", "shop", "fit", "e1", false, at};
}

bool has(const ledger& l, promise p) {
  for (const auto& it : l.violations()) {
    if (it.what == p) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("a calm request breaks nothing") {
  ledger l;
  l.note_sent(request("r1"));
  l.note_run("r1", "s1", "fit", "shop", false, start);
  l.note_served("r1");
  l.note_answer("r1", {200, true, start + milliseconds(50)});
  l.finish();
  CHECK(l.violations().empty());
  CHECK(l.served() == 1);
}

TEST_CASE("each broken promise of a request is seen") {
  ledger l;
  l.note_run("stranger", "s1", "fit", "shop", false, start);
  CHECK(has(l, promise::only_what_was_asked));
  l.note_sent(request("r1"));
  l.note_run("r1", "s1", "fit", "shop", true, start);
  CHECK(has(l, promise::key_stays_hidden));
  l.note_run("r1", "s2", "fit", "shop", false, start);
  CHECK(has(l, promise::at_most_once));
  l.note_answer("r1", {503, false, start});
  CHECK(!has(l, promise::true_refusals));
  l.finish();
  CHECK(has(l, promise::true_refusals));
  l.note_sent(request("r2"));
  l.note_answer("r2", {200, false, start});
  CHECK(has(l, promise::right_answer));
}

TEST_CASE("bounds on time count from the acknowledgement and only for calm instances") {
  ledger l;
  l.note_withdrawn("key", start);
  l.note_leaving("s1", start);
  l.note_sent(request("r1", start + milliseconds(4900)));
  l.begin_trouble("e1", start + milliseconds(100));
  l.end_trouble("e1", start + milliseconds(4000));
  l.note_run("r1", "s1", "fit", "shop", false, start + milliseconds(4950));
  CHECK(l.violations().empty());
  l.note_sent(request("r2", start + milliseconds(5100)));
  l.note_run("r2", "s2", "fit", "shop", false, start + milliseconds(5101));
  CHECK(has(l, promise::withdrawn_keys));
  auto other = request("r3", start + milliseconds(2100));
  other.entry = "e2";
  l.note_sent(other);
  l.note_run("r3", "s1", "fit", "shop", false, start + milliseconds(2101));
  CHECK(has(l, promise::leaving_servers));
}

TEST_CASE("rates count over windows that slide") {
  ledger l;
  l.set_rate("shop", 2, 2);
  for (int i = 0; i < 34; ++i) { // (2 x 5 + 2) x 1.1 + 20 = 33.2
    const auto id = "r" + std::to_string(i);
    l.note_sent(request(id, start + milliseconds(i * 100)));
    l.note_run(id, "s1", "fit", "shop", false, start + milliseconds(i * 100));
  }
  l.finish();
  CHECK(has(l, promise::rates));
}

TEST_CASE("what a planned stop cuts counts, what a fault cuts does not") {
  ledger l;
  l.begin_stop("e1", start);
  l.note_sent(request("r1"));
  l.note_run("r1", "s1", "fit", "shop", false, start);
  l.note_served("r1");
  l.begin_trouble("control", start - milliseconds(1000));
  l.note_answer("r1", {0, false, start + milliseconds(100)});
  CHECK(l.violations().empty());
  l.end_trouble("control", start - milliseconds(500));
  const auto later = start + milliseconds(4000);
  l.begin_stop("e1", later);
  l.note_sent(request("r2", later));
  l.note_run("r2", "s1", "fit", "shop", false, later);
  l.note_served("r2");
  l.note_answer("r2", {0, false, later + milliseconds(100)});
  CHECK(has(l, promise::planned_stops));
}

TEST_CASE("an older configuration, late answers and a slow recovery are seen") {
  ledger l;
  l.note_accepted(7);
  l.note_read(7, l.accepted());
  CHECK(l.violations().empty());
  l.note_read(6, l.accepted());
  CHECK(has(l, promise::newest_configuration));
  for (int i = 0; i < 8; ++i) {
    const auto id = "r" + std::to_string(i);
    l.note_sent(request(id));
    l.note_answer(id, {504, false, start + milliseconds(2600)});
  }
  l.finish();
  CHECK(has(l, promise::time_limits));
  l.note_recovery(8, 10);
  CHECK(has(l, promise::recovery));
}

TEST_CASE("a key that is in force must be accepted, one that is being withdrawn need not be") {
  ledger l;
  l.note_issued("key", start - milliseconds(3000));
  for (int i = 0; i < 6; ++i) {
    const auto id = "r" + std::to_string(i);
    l.note_sent(request(id));
    l.note_answer(id, {401, false, start});
  }
  l.note_withdrawing("key");
  for (int i = 6; i < 30; ++i) {
    const auto id = "r" + std::to_string(i);
    l.note_sent(request(id));
    l.note_answer(id, {401, false, start});
  }
  l.finish();
  CHECK(has(l, promise::keys_in_force)); // six of thirty: more than 5 and one in 500
  CHECK(l.violations().size() == 1);
}
