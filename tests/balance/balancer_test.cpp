#include <doctest/doctest.h>

#include <map>
#include <set>

#include "kingcupshunt/balance/balancer.h"

using namespace kingcupshunt;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};

std::vector<health::upstream> servers(int n, std::uint32_t slots) {
  std::vector<health::upstream> out;
  for (int i = 0; i < n; ++i) {
    health::upstream up;
    up.info = {
        "s", "127.0.0.1:" + std::to_string(9000 + i), "dc" + std::to_string(i % 3), slots, false, 1,
        1};
    up.first_seen = start;
    out.push_back(up);
  }
  return out;
}

membership::fleet_view fleet(int n) {
  membership::fleet_view view;
  for (int i = 0; i < n; ++i) {
    view.members.push_back(
        {"i" + std::to_string(100 + i), "dc" + std::to_string(i % 3), "", "", true});
  }
  return view;
}

balance::balancer make(const std::string& self = "i100", int instances = 15,
                       const std::vector<health::upstream>& ups = servers(20, 3)) {
  balance::balancer_settings settings;
  settings.self = self;
  settings.data_centre = "dc0";
  balance::balancer b(settings, {});
  b.set_view(fleet(instances), start);
  b.set_upstreams("s", ups, start);
  return b;
}

health::attempt ended(const std::string& id, health::attempt_end end) {
  health::attempt a;
  a.service = "s";
  a.upstream = id;
  a.end = end;
  return a;
}

} // namespace

// Guards against leaked or doubly counted slots.
TEST_CASE("each pick takes one slot until it is reported, and full servers are not picked") {
  auto b = make();
  std::map<std::string, int> taken;
  for (int i = 0; i < 60; ++i) {
    auto id = b.pick({"s", "r", {}}, start);
    REQUIRE(id);
    ++taken[id.value()];
  }
  CHECK(taken.size() == 20);
  CHECK(b.pick({"s", "r", {}}, start).error() == balance::pick_error::all_busy);
  b.report(ended("127.0.0.1:9004", health::attempt_end::ok), start);
  CHECK(b.pick({"s", "r", {}}, start).value() == "127.0.0.1:9004");
}

TEST_CASE("an unknown service and a request that tried all servers get no_upstream") {
  auto b = make("i100", 15, servers(2, 3));
  CHECK(b.pick({"other", "r", {}}, start).error() == balance::pick_error::no_upstream);
  const std::vector<std::string> tried{"127.0.0.1:9000", "127.0.0.1:9001"};
  CHECK(b.pick({"s", "r", tried}, start).error() == balance::pick_error::no_upstream);
}

// Guards against two instances that are dealt the same slot, and slots dealt to none.
TEST_CASE("the first picks of all instances fill every slot of the fleet once") {
  std::map<std::string, int> taken;
  for (int i = 0; i < 15; ++i) {
    auto b = make("i" + std::to_string(100 + i));
    for (int k = 0; k < 3; ++k) {
      ++taken[b.pick({"s", "r", {}}, start).value()];
    }
  }
  int max_taken = 0;
  for (const auto& [id, n] : taken) {
    max_taken = std::max(max_taken, n);
  }
  CHECK(max_taken <= 3);
}

// Guards against work for draining, ejected and full servers.
TEST_CASE("draining and ejected servers get nothing, a shedding one pauses") {
  auto ups = servers(4, 3);
  ups[0].info.is_draining = true;
  auto b = make("i100", 15, ups);
  const std::vector<health::server_status> states{
      {"127.0.0.1:9001", health::server_state::ejected, 0}};
  b.set_states("s", states, start);
  b.report(ended("127.0.0.1:9002", health::attempt_end::shed), start);
  for (int i = 0; i < 3; ++i) {
    CHECK(b.pick({"s", "r", {}}, start).value() == "127.0.0.1:9003");
  }
  CHECK_FALSE(b.pick({"s", "r", {}}, start));
  CHECK(b.pick({"s", "r", {}}, start + 30ms).value() == "127.0.0.1:9002");
}

// Guards against suspected servers that are excluded, or met by requests that may not be repeated.
TEST_CASE("a suspected server is last for non-repeatable requests but is not excluded") {
  auto b = make("i100", 15, servers(2, 3));
  const std::vector<health::server_status> states{
      {"127.0.0.1:9000", health::server_state::suspected, 2}};
  b.set_states("s", states, start);
  for (int i = 0; i < 3; ++i) {
    CHECK(b.pick({"s", "r", {}, false, false}, start).value() == "127.0.0.1:9001");
  }
  CHECK(b.pick({"s", "r", {}, false, false}, start).value() == "127.0.0.1:9000");
}

// Guards against a returning server that gets its whole share at once.
TEST_CASE("a server in probation gets about its share") {
  auto b = make("i100", 15, servers(10, 3));
  const std::vector<health::server_status> states{
      {"127.0.0.1:9000", health::server_state::probation, 0.25}};
  b.set_states("s", states, start);
  int n = 0;
  for (int i = 0; i < 10'000; ++i) {
    const auto id = b.pick({"s", "r", {}}, start).value();
    n += id == "127.0.0.1:9000" ? 1 : 0;
    b.release("s", id);
  }
  CHECK(n > 200);
  CHECK(n < 300);
}

// Guards against a new server that is flooded, and against slow start of a whole new service.
TEST_CASE("only a server that joins later starts slowly") {
  auto ups = servers(10, 3);
  auto b = make("i100", 15, ups);
  const auto later = start + 60s;
  auto joined = ups[0];
  joined.info.id = "127.0.0.1:8000";
  joined.first_seen = later;
  ups.push_back(joined);
  b.set_upstreams("s", ups, later);
  const auto count = [&](base::time_point now) {
    int n = 0;
    for (int i = 0; i < 2200; ++i) {
      const auto id = b.pick({"s", "r", {}}, now).value();
      n += id == "127.0.0.1:8000" ? 1 : 0;
      b.release("s", id);
    }
    return n;
  };
  CHECK(count(later) < 60);
  CHECK(count(later + 5s) > 60);
}

// Guards against other requests beside one that may crash the server.
TEST_CASE("an isolated request runs alone on its server") {
  auto b = make("i100", 15, servers(2, 3));
  const auto id = b.pick({"s", "r", {}, true}, start).value();
  for (int i = 0; i < 3; ++i) {
    CHECK(b.pick({"s", "r", {}}, start).value() != id);
  }
  CHECK_FALSE(b.pick({"s", "r", {}, true}, start));
  b.report(ended(id, health::attempt_end::ok), start);
  CHECK(b.pick({"s", "r", {}}, start).value() == id);
}

// Guards against connections from every instance to every server at the size designed for.
TEST_CASE("the subset is bounded for a large fleet and covers all servers together") {
  const auto ups = servers(16, 6);
  std::set<std::string> covered;
  for (int i = 0; i < 30; ++i) {
    auto b = make("i" + std::to_string(100 + i), 3000, ups);
    const auto used = b.subset("s");
    CHECK(used.size() <= 6);
    covered.insert(used.begin(), used.end());
  }
  CHECK(covered.size() == 16);
}

// Guards against a service whose suspected servers draw all requests while healthy ones idle.
TEST_CASE("suspected servers together get at most half of the traffic") {
  auto b = make("i100", 15, servers(10, 3));
  std::vector<health::server_status> states;
  for (int i = 0; i < 5; ++i) {
    states.push_back({"127.0.0.1:" + std::to_string(9000 + i), health::server_state::suspected, 3});
  }
  b.set_states("s", states, start);
  int n = 0;
  for (int i = 0; i < 4000; ++i) {
    const auto id = b.pick({"s", "r", {}}, start).value();
    n += id < "127.0.0.1:9005" ? 1 : 0;
    b.release("s", id);
  }
  CHECK(n < 2200);
  CHECK(n > 1800);
}
