#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <string>
#include <vector>

#include "kingcupshunt/balance/path_monitor.h"
#include "kingcupshunt/balance/probe_target.h"
#include "kingcupshunt/base/rng.h"

using namespace kingcupshunt;
using namespace kingcupshunt::balance;

// The load is that of one entry of the largest deployment: 126 entries share 1,090 requests a
// second, so that each starts about nine connections a second when none can be reused.

namespace {

constexpr base::milliseconds step{10};
constexpr base::milliseconds connect_time{100}; // until a failed connection is known to have failed
constexpr base::milliseconds request_interval{110};
constexpr int server_count = 40;
constexpr int small_service = 3; // servers

std::string address_of(int server) {
  return "10.0.0." + std::to_string(server);
}

/// One entry with its requests and probes. `is_reached` tells whether a server is reached directly,
/// `is_tunnelled` whether it is reached through another entry.
struct entry_model {
  path_monitor path;
  base::time_point now{base::seconds(100)};
  base::time_point request_at = now;
  base::rng random{7};
  std::function<bool(int server)> is_reached = [](int) { return true; };
  std::function<bool(int server)> is_tunnelled = [](int) { return true; };
  std::function<int(base::rng&)> choose = [](base::rng& r) {
    return static_cast<int>(r.below(server_count));
  };
  bool has_tunnels = true;
  int served = 0;
  int refused = 0;
  int failed = 0; ///< after all ways were tried
  int probes = 0;
  int changes = 0;
  int losses = 0; ///< changes to the state `none`
  struct outcome {
    base::time_point at;
    std::function<void()> apply;
  };
  std::vector<outcome> pending; ///< connections that have not ended yet

  void later(base::duration delay, std::function<void()> apply) {
    pending.push_back({now + delay, std::move(apply)});
  }

  void send_request() {
    if (path.state() == path_state::none) {
      ++refused;
      return;
    }
    const int server = choose(random);
    const auto id = "s" + std::to_string(server);
    if (path.is_direct_next() && is_reached(server)) {
      path.direct_connected(id, now);
      ++served;
      return;
    }
    const auto delay = path.is_direct_next() ? base::duration(connect_time) : base::duration{};
    later(delay, [this, server, id, is_direct = path.is_direct_next()] {
      if (is_direct) {
        path.direct_failed(address_of(server), now);
      }
      if (has_tunnels && is_tunnelled(server)) {
        path.only_tunnel_connected(id, now);
        ++served;
        return;
      }
      ++failed;
      if (has_tunnels) {
        later(connect_time, [this] { path.tunnel_failed(now); });
      }
    });
  }

  void probe(probe_way way) {
    ++probes;
    std::vector<probe_candidate> candidates;
    for (int i = 0; i < server_count; ++i) {
      candidates.push_back({i < small_service ? "small" : "large", address_of(i)});
    }
    const auto server = static_cast<int>(choose_probe_target(candidates, path, random));
    const auto id = "s" + std::to_string(server);
    if (way == probe_way::tunnel) {
      if (is_tunnelled(server)) {
        path.only_tunnel_connected(id, now);
      }
    } else if (is_reached(server)) {
      path.direct_connected(id, now);
    } else {
      later(connect_time, [this, server] { path.probe_failed(address_of(server), now); });
    }
  }

  void run(base::duration time) {
    path.set_has_tunnels(has_tunnels);
    for (const auto end = now + time; now < end;) {
      now += step;
      const auto before = path.state();
      const auto due = [&](const outcome& o) { return o.at <= now; };
      std::vector<outcome> ended;
      std::copy_if(pending.begin(), pending.end(), std::back_inserter(ended), due);
      std::erase_if(pending, due);
      for (const auto& o : ended) {
        o.apply();
      }
      if (now >= request_at) {
        request_at = now + request_interval;
        send_request();
      }
      if (const auto way = path.next_probe(now)) {
        probe(*way);
      }
      changes += path.state() != before ? 1 : 0;
      losses += path.state() == path_state::none && path.state() != before ? 1 : 0;
    }
  }
};

} // namespace

// Guards against refusals because of a crashed server.
TEST_CASE("one server that is down is no lost path") {
  entry_model e;
  e.is_reached = [](int s) { return s != 3; };
  e.is_tunnelled = e.is_reached;
  e.run(base::seconds(60));
  CHECK(e.changes == 0);
  CHECK(e.refused == 0);
}

// Guards against refusals for a service whose servers work, because those of another are down.
TEST_CASE("a service of three servers that is down is no lost path while another service answers") {
  for (const bool has_tunnels : {true, false}) {
    CAPTURE(has_tunnels);
    entry_model e;
    e.has_tunnels = has_tunnels;
    e.is_reached = [](int s) { return s >= small_service; };
    e.is_tunnelled = e.is_reached;
    SUBCASE("both services get requests") {
      e.choose = [](base::rng& r) { return static_cast<int>(r.below(2 * small_service)); };
    }
    SUBCASE("only the service that is down gets requests") {
      e.choose = [](base::rng& r) { return static_cast<int>(r.below(small_service)); };
    }
    e.run(base::seconds(60));
    CHECK(e.changes == 0);
    CHECK(e.refused == 0);
    CHECK(e.probes <= 60 * 10 / 3 + 1);
  }
}

// Guards against requests that each try four servers while none can be reached.
TEST_CASE("without any way to the servers, requests are refused until a probe succeeds") {
  for (const bool has_tunnels : {true, false}) {
    CAPTURE(has_tunnels);
    entry_model e;
    e.has_tunnels = has_tunnels;
    e.run(base::seconds(5));
    CHECK(e.probes == 0); // nothing to find out
    e.is_reached = [](int) { return false; };
    e.is_tunnelled = e.is_reached;
    e.run(base::seconds(14));
    CHECK(e.path.state() == path_state::none);
    CHECK(e.failed <= 8); // before it was known
    CHECK(e.refused >= 110);
    CHECK(e.probes <= 14 * 10 / 3 + 1);
    e.is_reached = [](int) { return true; };
    e.is_tunnelled = e.is_reached;
    const int refused = e.refused;
    e.run(base::milliseconds(300) + connect_time);
    CHECK(e.path.state() != path_state::none);
    CHECK(e.refused - refused <= 4);
    e.run(base::seconds(2));
    CHECK(e.path.state() == path_state::direct);
    CHECK(e.changes <= 3);
  }
}

// Guards against refusals while another entry leads to the servers.
TEST_CASE("with tunnels only, requests are served through them") {
  entry_model e;
  e.run(base::seconds(1));
  e.is_reached = [](int) { return false; };
  e.run(base::seconds(10));
  CHECK(e.path.state() == path_state::tunnelled);
  CHECK(e.refused == 0);
  CHECK(e.failed == 0);
  CHECK(e.probes <= 10 * 10 / 3 + 1);
}

// Guards against an entry that stays without a path when others regain theirs before it does.
TEST_CASE("an entry without a path uses tunnels as soon as a probe through one succeeds") {
  entry_model e;
  e.is_reached = [](int) { return false; };
  e.is_tunnelled = e.is_reached;
  e.run(base::seconds(3));
  REQUIRE(e.path.state() == path_state::none);
  e.is_tunnelled = [](int) { return true; };
  e.run(base::milliseconds(700)); // probes take turns
  CHECK(e.path.state() == path_state::tunnelled);
}

// Guards against refusals where another try would succeed.
TEST_CASE("a path on which half of the connections succeed is hardly ever taken for lost") {
  entry_model e;
  base::rng chance(11);
  e.is_reached = [&](int) { return chance.unit() < 0.5; };
  e.is_tunnelled = e.is_reached;
  e.run(base::seconds(60));
  CHECK(e.losses <= 2);
  CHECK(e.refused <= 5);
}

// Guards against a state that lags behind a path that is lost and found each second.
TEST_CASE("a path that flaps changes the state at most twice in each period") {
  entry_model e;
  e.has_tunnels = false;
  for (int i = 0; i < 10; ++i) {
    e.is_reached = [](int) { return false; };
    e.run(base::seconds(1));
    CHECK(e.path.state() == path_state::none);
    e.is_reached = [](int) { return true; };
    e.run(base::seconds(1));
    CHECK(e.path.state() == path_state::direct);
  }
  CHECK(e.changes == 20);
}

// Nine tenths of the entries are cut off for 14 s. A tunnel then leads to another entry that is cut
// off as well, until the control instances name the others.
TEST_CASE("a cut of nine tenths of the entries costs few requests at each and ends in a second") {
  entry_model e;
  e.run(base::seconds(2));
  e.is_reached = [](int) { return false; };
  base::rng chance(5);
  e.is_tunnelled = [&](int) { return chance.unit() < 0.1; };
  e.run(base::seconds(1));
  e.is_tunnelled = [](int) { return true; };
  e.run(base::seconds(13));
  CHECK(e.path.state() == path_state::tunnelled);
  CHECK(e.failed <= 10);
  CHECK(e.refused <= 15);
  e.is_reached = [](int) { return true; };
  e.run(base::seconds(1));
  CHECK(e.path.state() == path_state::direct);
  CHECK(e.changes <= 4);
}

TEST_CASE("failures at two addresses put the path in doubt, and an answer ends the doubt") {
  path_monitor path;
  base::time_point now{base::seconds(100)};
  path.direct_failed("10.0.0.1", now);
  CHECK(!path.is_suspected(now));
  path.direct_failed("10.0.0.2", now);
  CHECK(path.is_suspected(now));
  CHECK(!path.is_suspected(now + base::seconds(4)));
  path.answered(now);
  CHECK(!path.is_suspected(now));
}
