#include <doctest/doctest.h>

#include "kingcupshunt/balance/path_monitor.h"

using namespace kingcupshunt;
using namespace kingcupshunt::balance;

namespace {

const base::time_point start{base::seconds(100)};
constexpr base::milliseconds step{20};

path_monitor cut_off_monitor(base::time_point& now) {
  path_monitor out;
  for (const auto* server : {"s1", "s2"}) {
    now += step;
    out.direct_failed("10.0.0.1", now);
    out.only_tunnel_connected(server, now);
  }
  return out;
}

} // namespace

TEST_CASE("an instance is cut off when only others reach two servers that it cannot reach") {
  auto now = start;
  path_monitor path;
  path.only_tunnel_connected("s1", now);
  path.only_tunnel_connected("s1", now += step);
  CHECK(!path.is_cut_off()); // one server may be cut off from this instance alone
  path.direct_connected("s3", now += step);
  path.only_tunnel_connected("s2", now += step);
  CHECK(!path.is_cut_off()); // the path works
  path.only_tunnel_connected("s1", now += step);
  CHECK(path.is_cut_off());
}

// Guards against taking a crashed host for a fault of the own path.
TEST_CASE("servers of one address that nobody reaches are no evidence against the own path") {
  auto now = start;
  path_monitor path;
  path.set_has_tunnels(true);
  for (int i = 0; i < 100; ++i) {
    path.direct_failed("10.0.0.1", now += step);
    path.tunnel_failed(now);
    path.probe_failed("10.0.0.1", now);
  }
  CHECK(path.state() == path_state::direct);
  CHECK(path.is_direct_next());
  CHECK(!path.is_suspected(now));
}

TEST_CASE("old evidence does not count") {
  auto now = start;
  path_monitor path;
  path.only_tunnel_connected("s1", now);
  path.only_tunnel_connected("s2", now + base::seconds(4));
  CHECK(!path.is_cut_off());
}

TEST_CASE("while cut off, one probe in each test interval is direct, until two servers are reached "
          "directly in a row") {
  auto now = start;
  auto path = cut_off_monitor(now);
  REQUIRE(path.state() == path_state::tunnelled);
  int probes = 0;
  const auto run = [&](base::duration time) {
    for (const auto end = now + time; now < end;) {
      now += step;
      CHECK(!path.is_direct_next()); // callers don't bear the cost of the probes
      if (const auto way = path.next_probe(now)) {
        CHECK(*way == probe_way::direct);
        ++probes;
        path.probe_failed("10.0.0.1", now);
      }
    }
  };
  run(base::seconds(2));
  CHECK(probes >= 5);
  CHECK(probes <= 7);
  path.direct_connected("s1", now += step);
  CHECK(path.is_cut_off());
  path.direct_failed("10.0.0.1", now += step);
  path.direct_connected("s2", now += step);
  CHECK(path.is_cut_off());            // the success before the failure does not count
  CHECK(path.next_probe(now += step)); // tested at once after a success
  path.direct_connected("s1", now += step);
  CHECK(path.state() == path_state::direct);
}

namespace {

path_monitor lost_monitor(base::time_point& now) {
  path_monitor out;
  for (const auto* address : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
    out.direct_failed(address, now += step);
  }
  REQUIRE(out.next_probe(now += step));
  out.probe_failed("10.0.0.4", now += step);
  REQUIRE(out.state() == path_state::none);
  return out;
}

} // namespace

// Guards against refusals that go on though a server answers on a connection of before.
TEST_CASE("an answer ends the state without a path") {
  auto now = start;
  auto path = lost_monitor(now);
  path.answered(now += step);
  CHECK(path.state() == path_state::direct);
}

// Guards against probes that return to servers which are down while others are reachable.
TEST_CASE("without a path, addresses of failed probes stay known until they are old") {
  auto now = start;
  auto path = lost_monitor(now);
  CHECK(path.has_failed("10.0.0.1"));
  CHECK(path.has_failed("10.0.0.4"));
  path.probe_failed("10.0.0.5", now += step);
  CHECK(path.has_failed("10.0.0.5"));
  CHECK(path.next_probe(now += base::seconds(4)));
  CHECK(!path.has_failed("10.0.0.1"));
}
