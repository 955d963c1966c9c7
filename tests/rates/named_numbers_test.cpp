#include <doctest/doctest.h>

#include <limits>
#include <numeric>

#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/rates/bucket.h"
#include "kingcupshunt/rates/owner.h"
#include "kingcupshunt/rates/permit_issuer.h"
#include "kingcupshunt/rates/request_permits.h"
#include "kingcupshunt/rates/server_limit.h"

using namespace kingcupshunt;
using namespace kingcupshunt::rates;

namespace {

const base::time_point start{base::seconds(100)};
constexpr double infinite = std::numeric_limits<double>::infinity();
constexpr double no_number = std::numeric_limits<double>::quiet_NaN();

permit_recipients recipients(std::size_t n) {
  permit_recipients out;
  for (std::size_t i = 0; i < n; ++i) {
    out.ids.push_back("e" + std::to_string(i));
  }
  return out;
}

std::uint64_t sum_of(const std::vector<issued_permit>& all) {
  return std::accumulate(all.begin(), all.end(), std::uint64_t{0},
                         [](auto n, const issued_permit& p) { return n + p.permits; });
}

} // namespace

// Guards against a control instance that keeps a record for each permit of a limit that one server
// names: 10,000,000 a second took it beyond its memory.
TEST_CASE("permits take one record for each recipient, whatever limit a server names") {
  for (const double limit : {1.0, 500.0, max_server_limit, 1e6, 1e7, 1e9, 1e300, infinite}) {
    permit_issuer issuer;
    issuer.set_limit("s", limit, start);
    for (int i = 1; i <= 40; ++i) {
      const auto issued =
          issuer.issue([](auto) { return recipients(7); }, start + i * base::milliseconds(50));
      CHECK(issued.size() <= 7);
      CHECK(sum_of(issued) <= max_permits);
    }
    CHECK(issuer.is_empty() == (limit > max_server_limit));
  }
}

TEST_CASE("permits that are issued together go to the recipients in turn") {
  permit_issuer issuer;
  issuer.set_limit("s", 130, start);
  std::map<std::string, std::uint64_t> got;
  std::uint64_t all = 0;
  for (int i = 1; i <= 100; ++i) {
    for (const auto& p :
         issuer.issue([](auto) { return recipients(4); }, start + i * base::milliseconds(50))) {
      got[p.recipient] += p.permits;
      all += p.permits;
    }
    std::uint64_t least = UINT64_MAX;
    std::uint64_t most = 0;
    for (const auto& id : recipients(4).ids) {
      least = std::min(least, got[id]);
      most = std::max(most, got[id]);
    }
    CHECK(most - least <= 1);
  }
  CHECK(all >= 649);
  CHECK(all <= 651);
}

TEST_CASE("a limit above what counts as one, and what is no number, limit nothing") {
  CHECK(limit_in_force(2.5) == 2.5);
  CHECK(limit_in_force(max_server_limit) == max_server_limit);
  CHECK(!limit_in_force(max_server_limit + 1));
  CHECK(!limit_in_force(infinite));
  CHECK(limit_in_force(-1) == 0.0);
  CHECK(limit_in_force(no_number) == 0.0);
}

TEST_CASE("permits that a message names add up to no more than their bound") {
  request_permits permits;
  permits.set_limit(5);
  for (int i = 0; i < 100; ++i) {
    permits.add(UINT32_MAX, start);
  }
  CHECK(permits.available(start) == max_permits);
}

TEST_CASE("the numbers of rate messages are bounded where they are read") {
  token_request request;
  request.items.push_back({"w", UINT32_MAX, UINT32_MAX, UINT32_MAX, UINT64_MAX, {}});
  const auto read = peer::unpack<token_request>(peer::pack(request));
  REQUIRE(read);
  CHECK(read->items[0].urgent == max_urgent);
  CHECK(read->items[0].wanted_tokens == max_tokens);
  CHECK(read->items[0].held == max_tokens);
  grant g;
  g.items.push_back({"w", 1, UINT32_MAX, 0, UINT32_MAX, false, false});
  const auto granted = peer::unpack<grant>(peer::pack(g));
  REQUIRE(granted);
  CHECK(granted->items[0].tokens == max_tokens);
  CHECK(granted->items[0].retry_ms == max_retry_ms);
  handover_frame frame;
  frame.handovers.push_back({"w", 1, no_number, UINT32_MAX});
  frame.handovers.push_back({"v", 1, infinite, 0});
  const auto handed = peer::unpack<handover_frame>(peer::pack(frame));
  REQUIRE(handed);
  CHECK(handed->handovers[0].level == 0);
  CHECK(handed->handovers[0].outstanding == max_tokens);
  CHECK(handed->handovers[1].level == max_tokens);
}

// Guards against a loop over each token that one instance asks for.
TEST_CASE("an instance that names any number of waiting requests leaves the others their turns") {
  std::map<std::string, std::uint32_t> tokens;
  owner_settings settings;
  settings.self = "c1";
  owner_hooks hooks;
  hooks.send = [&](std::string_view to, peer::message_kind, const std::string& body) {
    const auto g = peer::unpack<grant>(body);
    REQUIRE(g);
    for (const auto& item : g->items) {
      tokens[std::string(to)] += item.tokens;
    }
  };
  hooks.limit_of = [](std::string_view) { return limit{100, 100}; };
  owner o(settings, std::move(hooks));
  membership::fleet_view view;
  view.version = 1;
  view.members.push_back({"c1", "", "", "", true});
  o.set_view(view, start);
  const auto now = start + base::seconds(10);
  const auto ask = [&](const std::string& from, std::uint32_t urgent, std::uint64_t seq) {
    token_request request;
    request.incarnation = 1;
    request.seq = seq;
    request.items.push_back({"w", urgent, 0, 0, 0, {}});
    o.receive(from, peer::message_kind::rate_ask, peer::pack(request), now);
  };
  ask("e0", UINT32_MAX, 1);
  CHECK(tokens["e0"] == 100);
  ask("e1", 3, 1);
  ask("e2", UINT32_MAX, 1);
  ask("e0", UINT32_MAX, 2);
  o.tick(now + base::milliseconds(110)); // accrues ten or eleven tokens
  CHECK(tokens["e1"] == 3);
  CHECK(tokens["e2"] >= 3);
  CHECK(tokens["e0"] - 100 >= 3);
}
