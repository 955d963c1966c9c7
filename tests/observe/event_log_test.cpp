#include <doctest/doctest.h>

#include "kingcupshunt/observe/decision_ring.h"
#include "kingcupshunt/observe/event_log.h"
#include "kingcupshunt/observe/metrics.h"

using namespace kingcupshunt;

TEST_CASE("a value can't forge a second event or a second pair") {
  const auto line = observe::format_event("x", {{"a", "1\nevent=y"}, {"b", 2}, {"c", "p q=\"r\""}});
  CHECK(line == "event=x a=\"1?event=y\" b=2 c=\"p q=\\\"r\\\"\"");
}

TEST_CASE("the decision ring drops the oldest and answers newest first") {
  observe::decision_ring ring(2);
  for (const auto* outcome : {"a", "b", "c"}) {
    ring.add({"rule", "upstream", "u1", outcome, "", 1});
  }
  const auto found = ring.find("u1", 10);
  REQUIRE(found.size() == 2);
  CHECK(found[0].outcome == "c");
  CHECK(ring.find("u2", 10).empty());
}

TEST_CASE("refusals and retries are counted by reason") {
  observe::metrics m;
  m.count_refusal("stale_view");
  m.count_refusal("stale_view");
  m.count_retry("shed");
  const auto text = m.serialize();
  CHECK(text.find("kingcupshunt_refusals_total{reason=\"stale_view\"} 2") != std::string::npos);
  CHECK(text.find("kingcupshunt_retries_total{reason=\"shed\"} 1") != std::string::npos);
}
