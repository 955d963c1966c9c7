#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "kingcupshunt/balance/balancer.h"

using namespace kingcupshunt;
using namespace kingcupshunt::balance;
using base::milliseconds;

// The pauses of servers in the fleet of equal instances.

namespace {

const base::time_point start{base::seconds(1000)};

health::upstream upstream(int i, std::uint64_t incarnation = 1) {
  health::upstream up;
  up.info = {"s", "127.0.0.1:" + std::to_string(9000 + i), "dc0", 3, false, incarnation, 1};
  up.first_seen = start;
  return up;
}

health::attempt attempt_at(const std::string& id, base::duration pause) {
  health::attempt a;
  a.service = "s";
  a.upstream = id;
  a.pause = pause;
  a.status = pause > base::duration{} ? 503 : 200;
  a.end = pause > base::duration{} ? health::attempt_end::shed : health::attempt_end::ok;
  return a;
}

balancer make(const std::vector<health::upstream>& servers) {
  balancer_settings settings;
  settings.self = "i100";
  settings.data_centre = "dc0";
  balancer out(settings, {});
  membership::fleet_view view;
  view.members.push_back({"i100", "dc0", "", "", true});
  out.set_view(view, start);
  out.set_upstreams("s", servers, start);
  return out;
}

} // namespace

// Guards against first tries and retries at a server that asked for a pause.
TEST_CASE("an instance sends nothing to a paused server, then one request alone") {
  auto b = make({upstream(0)});
  const auto first = b.pick({"s", "r", {}}, start);
  REQUIRE(first);
  const auto id = first.value();
  b.report(attempt_at(id, base::seconds(2)), start);
  CHECK(!b.pick({"s", "r", {}}, start + milliseconds(100)));
  CHECK(!b.pick({"s", "r", {}}, start + milliseconds(1999)));
  const auto now = start + milliseconds(2200);
  REQUIRE(b.pick({"s", "r", {}}, now));
  CHECK(!b.pick({"s", "r", {}}, now));
  b.report(attempt_at(id, {}), now);
  CHECK(b.pick({"s", "r", {}}, now));
  CHECK(b.pick({"s", "r", {}}, now));
}

// Guards against a server that starts anew and is left unused for its predecessor's pause.
TEST_CASE("an instance uses the next incarnation of a paused server at once") {
  auto b = make({upstream(0)});
  const auto first = b.pick({"s", "r", {}}, start);
  REQUIRE(first);
  b.report(attempt_at(first.value(), base::seconds(2)), start);
  const std::vector<health::upstream> next{upstream(0, 2)};
  const auto now = start + milliseconds(100);
  CHECK(!b.pick({"s", "r", {}}, now));
  b.set_upstreams("s", next, now);
  CHECK(b.pick({"s", "r", {}}, now));
}

// Guards against requests that wait in vain, or callers that return too early, when all servers are
// paused.
TEST_CASE("an instance knows the earliest end when all its servers are paused") {
  auto b = make({upstream(0), upstream(1)});
  for (const int pause : {4, 2}) {
    CHECK(!b.pause_end("s", start));
    const auto chosen = b.pick({"s", "r", {}}, start);
    REQUIRE(chosen);
    b.report(attempt_at(chosen.value(), base::seconds(pause)), start);
    CHECK(b.is_paused("s", chosen.value(), start));
  }
  const auto end = b.pause_end("s", start);
  REQUIRE(end);
  CHECK(*end >= start + base::seconds(2));
  CHECK(*end <= start + milliseconds(2200));
  CHECK(!b.pause_end("s", *end));
}
