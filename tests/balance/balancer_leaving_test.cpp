#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "kingcupshunt/balance/balancer.h"

using namespace kingcupshunt;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};

struct leaving_balancer {
  explicit leaving_balancer(int n) : b({"i1", "dc0"}, {}) {
    membership::fleet_view view;
    view.members.push_back({"i1", "dc0", "", "", true});
    b.set_view(view, start);
    for (int i = 0; i < n; ++i) {
      health::upstream up;
      up.info = {"s", "127.0.0.1:" + std::to_string(9000 + i), "dc0", 3, false, 1, 1};
      up.first_seen = start;
      servers.push_back(up);
    }
    b.set_upstreams("s", servers, start);
  }
  balance::result<std::string> pick(bool is_repeatable = true) {
    balance::pick_request query;
    query.service = "s";
    query.route = "r";
    query.is_repeatable = is_repeatable;
    return b.pick(query, now);
  }
  void report(const std::string& id, bool is_leaving, base::duration total = 10ms) {
    health::attempt a;
    a.service = "s";
    a.upstream = id;
    a.total = total;
    a.is_leaving = is_leaving;
    b.report(a, now);
  }
  /// Requests that go to `id` of some seconds of requests.
  int count_at(const std::string& id) {
    int n = 0;
    for (int i = 0; i < 300; ++i) {
      now += 20ms;
      const auto chosen = pick(i % 2 == 0);
      if (chosen) {
        n += chosen.value() == id ? 1 : 0;
        report(chosen.value(), false);
      }
    }
    return n;
  }
  /// Announces the server again, also as a new incarnation.
  void announce(const std::string& id, std::uint64_t incarnation) {
    for (auto& up : servers) {
      if (up.info.id == id) {
        up.first_seen = up.info.incarnation == incarnation ? up.first_seen : now;
        up.info.incarnation = incarnation;
        ++up.info.sequence;
      }
    }
    b.set_upstreams("s", servers, now);
  }

  std::vector<health::upstream> servers;
  balance::balancer b;
  base::time_point now = start + 60s;
};

} // namespace

// Guards against requests to a server that leaves, in spite of an older announcement.
TEST_CASE("the fleet of equal instances sends nothing new to a server that says it leaves") {
  leaving_balancer f(3);
  const auto id = f.pick().value();
  f.report(id, true);
  CHECK(f.count_at(id) == 0);
  f.announce(id, 1);
  CHECK(f.count_at(id) == 0);
}

// Guards against waiting for a server that does not come back.
TEST_CASE("a service whose only server leaves has no server") {
  leaving_balancer f(1);
  f.report(f.pick().value(), true);
  const auto chosen = f.pick();
  REQUIRE_FALSE(chosen);
  CHECK(chosen.error() == balance::pick_error::no_upstream);
}

// Guards against avoiding a server that has restarted, or for an answer of the time before.
TEST_CASE("a new incarnation gets requests in spite of what the one before said") {
  leaving_balancer f(2);
  const auto id = f.pick().value();
  f.report(id, true);
  f.announce(id, 2);
  CHECK(f.count_at(id) > 0);
  leaving_balancer late(1);
  const auto only = late.pick().value();
  late.now += 1s;
  late.announce(only, 2);
  late.now += 1s;
  late.report(only, true, 2s);
  CHECK(late.count_at(only) > 0);
}
