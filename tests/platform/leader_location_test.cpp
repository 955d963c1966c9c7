#include <doctest/doctest.h>

#include "leader_location.h"
#include "settings.h"

using namespace kingcupshunt;
using namespace kingcupshunt::platform;

TEST_CASE("a call that is sent on to the leader keeps its query") {
  // Guards against a redirected order that names no data centre, or another one.
  control::http_request request;
  REQUIRE(control::parse_target("/-/rpc?call=evacuate.start&of=west-1", request));
  CHECK(leader_location("10.0.0.2", 8100, request) ==
        "http://10.0.0.2:8100/-/rpc?call=evacuate.start&of=west-1");
  control::http_request odd;
  odd.query = {{"of", "a&call=b \xc3\xa9%/"}};
  control::http_request followed;
  const std::string host = "http://10.0.0.2:8100";
  const auto location = leader_location("10.0.0.2", 8100, odd);
  REQUIRE(control::parse_target(location.substr(host.size()), followed));
  CHECK(followed.query == odd.query);
}

TEST_CASE("the lease is short enough for the bound on evacuations") {
  const std::string all = R"({"ip":"10.0.0.1","zone":"a","region":"r","seeds":[],
    "internal_port_range":[7000,7010],"bounds":{"revoke_s":5,"evacuate_s":)";
  const auto usual = parse_settings(all + "5}}");
  const auto shorter = parse_settings(all + "2}}");
  REQUIRE(usual);
  REQUIRE(shorter);
  CHECK(usual.value().bounds.lease == base::seconds(3));
  CHECK(shorter.value().bounds.lease == base::milliseconds(1200));
}
