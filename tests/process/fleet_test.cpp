#include <doctest/doctest.h>

#include <algorithm>

#include "support/backend.h"
#include "support/caller.h"
#include "support/fleet.h"

using namespace kingcupshunt;
using testing::wait_until;

namespace {

bool is_ready_with_routes(const testing::fleet& f, int i) {
  return f.is_ready(i) && f.get(i, "/config")["document"]["routes"].size() == 3;
}

// Waits until an instance serves a request. Owners of rates wait before their first grant, so that
// a former owner's tokens have certainly expired.
bool serves(const testing::fleet& f, int i) {
  return wait_until(
      [&] { return testing::send(f.entry(i), "GET", "/fit", f.workspace_key.text).status == 200; });
}

// Starts a fleet with its configuration and one stand-in backend server.
struct running_fleet : testing::fleet {
  explicit running_fleet(int network, int instances = 3) : fleet(network, instances) {
    write_configuration("10-base.json", base_configuration().dump(2));
    for (int i = 1; i <= instances; ++i) {
      start(i);
    }
    for (int i = 1; i <= instances; ++i) {
      REQUIRE(wait_until([&] { return is_ready_with_routes(*this, i); }));
    }
  }
};

bool has_upstream(const testing::fleet& f, int i, const std::string& id) {
  const auto page = f.get(i, "/status");
  return page.is_object() && std::ranges::any_of(page["upstreams"], [&](const auto& u) {
           return u["id"] == id && u["is_draining"] == false;
         });
}

} // namespace

TEST_CASE("a request runs end to end, for its workspace only, and the key stays in the fleet") {
  running_fleet f(31);
  testing::backend server(f.address(101), 9000);
  REQUIRE(server.announce("fitting", f.announce(2), f.service_secret.text) == 200);
  CHECK(server.announce("fitting", f.announce(2), "wrong") == 401);
  REQUIRE(wait_until(
      [&] { return has_upstream(f, 1, server.id()) && has_upstream(f, 3, server.id()); }));

  REQUIRE(serves(f, 1));
  const auto answer = testing::send(f.entry(1), "GET", "/fit/lookup?x=1", f.workspace_key.text);
  CHECK(answer.status == 200);
  CHECK(server.last_header("x-kingcupshunt-workspace") == "optician-1");
  CHECK(server.all_bytes().find(f.workspace_key.text) == std::string::npos);

  CHECK(testing::send(f.entry(2), "GET", "/fit", "").reason == "key_missing");
  CHECK(testing::send(f.entry(2), "GET", "/fit", "kcs_unknown").reason == "key_unknown");
  CHECK(testing::send(f.entry(3), "GET", "/open", "").status == 200);
}

TEST_CASE("a withdrawn key is refused by every instance once the withdrawal is in force") {
  running_fleet f(32);
  testing::backend server(f.address(101), 9000);
  REQUIRE(server.announce("fitting", f.announce(1), f.service_secret.text) == 200);
  for (int i = 1; i <= 3; ++i) {
    REQUIRE(wait_until([&] { return has_upstream(f, i, server.id()); }));
    CHECK(serves(f, i));
  }
  const nlohmann::json change = {
      {"request_id", "withdraw-1"},
      {"base_revision", f.get(1, "/config")["files_revision"]},
      {"author", "test"},
      {"files", {{"90.json", {{"keys", {{"k1", {{"is_withdrawn", true}}}}}}}}}};
  const auto post = [&](int i) {
    return control::call(f.operators(i), "POST", "/config/changes", change.dump(),
                         base::milliseconds(8000));
  };
  const auto first = post(3);
  REQUIRE(first);
  CHECK(first.value().status == 200);
  CHECK(wait_until(
      [&] {
        int refused = 0;
        for (int i = 1; i <= 3; ++i) {
          refused += testing::send(f.entry(i), "GET", "/fit", f.workspace_key.text).status != 200;
        }
        return refused == 3;
      },
      std::chrono::seconds(3)));
  // A resend is answered as the first was, through any instance.
  const auto second = post(2);
  REQUIRE(second);
  CHECK(nlohmann::json::parse(second.value().body) == nlohmann::json::parse(first.value().body));
  // The loser of a race is told who won.
  auto late = change;
  late["request_id"] = "withdraw-2";
  const auto loser = control::call(f.operators(1), "POST", "/config/changes", late.dump(),
                                   base::milliseconds(8000));
  REQUIRE(loser);
  CHECK(loser.value().status == 409);
  CHECK(nlohmann::json::parse(loser.value().body)["author"] == "test");
}

TEST_CASE("an order runs once although it is resent to other instances and the leader is killed") {
  running_fleet f(33);
  testing::backend server(f.address(101), 9000);
  REQUIRE(server.announce("fitting", f.announce(1), f.service_secret.text) == 200);
  REQUIRE(wait_until(
      [&] { return has_upstream(f, 1, server.id()) && has_upstream(f, 2, server.id()); }));
  REQUIRE(serves(f, 1));
  const control::http_headers header = {{"Idempotency-Key", "order-1"}};
  CHECK(testing::send(f.entry(1), "POST", "/order", f.workspace_key.text, "lens").reason ==
        "idempotency_key_required");
  const auto first =
      testing::send(f.entry(1), "POST", "/order", f.workspace_key.text, "lens", header);
  CHECK(first.status == 200);
  int leader = 0;
  for (int i = 1; i <= 3; ++i) {
    leader = f.get(i, "/status")["log"]["is_leader"] == true ? i : leader;
  }
  REQUIRE(leader != 0);
  f.processes.erase(leader);
  const int other = leader == 1 ? 2 : 1;
  testing::caller_answer again;
  CHECK(wait_until([&] {
    server.announce("fitting", f.announce(other), f.service_secret.text);
    again = testing::send(f.entry(other), "POST", "/order", f.workspace_key.text, "lens", header);
    return again.status == 200;
  }));
  CHECK(again.is_replayed);
  CHECK(again.body == first.body);
  CHECK(server.runs_of("order-1") == 1);
  CHECK(testing::send(f.entry(other), "POST", "/order", f.workspace_key.text, "other", header)
            .reason == "idempotency_key_reused");
}

TEST_CASE("an instance that is killed and returns serves again, its owned rates included") {
  running_fleet f(34, 4);
  testing::backend server(f.address(101), 9000);
  const auto announce = [&] {
    return server.announce("fitting", f.announce(1), f.service_secret.text);
  };
  REQUIRE(announce() == 200);
  REQUIRE(serves(f, 4));
  for (const int i : {4, 2}) {
    f.processes.erase(i);
    f.start(i);
    REQUIRE(wait_until([&] { return is_ready_with_routes(f, i); }));
    // The fleet stays whole: every instance serves, whichever owns the workspace's rate.
    for (int j = 1; j <= 4; ++j) {
      announce();
      CHECK(serves(f, j));
    }
  }
}

TEST_CASE("an instance that was frozen refuses keyed requests until it is fresh again") {
  running_fleet f(35, 4);
  testing::backend server(f.address(101), 9000);
  REQUIRE(server.announce("fitting", f.announce(1), f.service_secret.text) == 200);
  REQUIRE(serves(f, 4));
  f.processes.at(4).send(SIGSTOP);
  const nlohmann::json change = {
      {"request_id", "withdraw-1"},
      {"base_revision", f.get(1, "/config")["files_revision"]},
      {"author", "test"},
      {"files", {{"90.json", {{"keys", {{"k1", {{"is_withdrawn", true}}}}}}}}}};
  const auto withdrawn = control::call(f.operators(2), "POST", "/config/changes", change.dump(),
                                       base::milliseconds(8000));
  REQUIRE(withdrawn);
  CHECK(withdrawn.value().status == 200);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  f.processes.at(4).send(SIGCONT);
  // The first answers after the freeze: whatever they are, the withdrawn key opens nothing.
  for (int i = 0; i < 200; ++i) {
    REQUIRE(testing::send(f.entry(4), "GET", "/fit", f.workspace_key.text).status != 200);
  }
  CHECK(wait_until([&] {
    return testing::send(f.entry(4), "GET", "/fit", f.workspace_key.text).reason == "key_withdrawn";
  }));
}

TEST_CASE("a planned stop ends with exit code 0 and leaves the address answers first") {
  running_fleet f(36, 4);
  const auto listed = [&](int asked, const std::string& entry) {
    const auto answer = testing::send(f.entry(asked), "GET", "/.kingcupshunt/addresses/dc1", "");
    return answer.body.find(entry) != std::string::npos;
  };
  REQUIRE(wait_until([&] { return listed(2, f.entry(4)); }));
  f.processes.at(4).send(SIGTERM);
  CHECK(wait_until([&] { return !listed(2, f.entry(4)); }));
  CHECK(f.processes.at(4).wait() == 0);
}

TEST_CASE("a draining backend server gets no new work") {
  running_fleet f(37);
  testing::backend leaving(f.address(101), 9000);
  testing::backend staying(f.address(102), 9000);
  leaving.announce("fitting", f.announce(1), f.service_secret.text);
  staying.announce("fitting", f.announce(2), f.service_secret.text);
  for (int i = 1; i <= 3; ++i) {
    REQUIRE(wait_until(
        [&] { return has_upstream(f, i, leaving.id()) && has_upstream(f, i, staying.id()); }));
  }
  REQUIRE(serves(f, 3));
  leaving.announce("fitting", f.announce(2), f.service_secret.text, true);
  REQUIRE(wait_until([&] { return !has_upstream(f, 3, leaving.id()); }, std::chrono::seconds(2)));
  const auto before = leaving.runs();
  for (int i = 0; i < 30; ++i) {
    staying.announce("fitting", f.announce(1), f.service_secret.text);
    CHECK(testing::send(f.entry(3), "GET", "/fit", f.workspace_key.text).status == 200);
  }
  CHECK(leaving.runs() == before);
}
