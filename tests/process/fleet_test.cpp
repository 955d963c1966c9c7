#include <doctest/doctest.h>

#include <algorithm>

#include "support/backend.h"
#include "support/caller.h"
#include "support/fleet.h"

using namespace kingcupshunt;
using testing::wait_until;

namespace {

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
      REQUIRE(wait_until(
          [&] { return is_ready(i) && get(i, "/config")["document"]["routes"].size() == 3; }));
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
