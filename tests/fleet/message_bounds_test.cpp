#include <doctest/doctest.h>

#include <limits>
#include <string>

#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/rates/server_limit.h"

using namespace kingcupshunt;
using namespace kingcupshunt::fleet;

namespace {

constexpr double infinite = std::numeric_limits<double>::infinity();
constexpr double no_number = std::numeric_limits<double>::quiet_NaN();

} // namespace

// Guards against limits that another build or instance passes on as a server has named them.
TEST_CASE("the numbers of load messages are bounded where they are read") {
  load_report report;
  report.loads.push_back({"s", UINT32_MAX});
  report.demands.push_back({"fitting", 1, UINT32_MAX});
  report.limits = {{"s1", true, 10'000'000, "a"},
                   {"s2", true, infinite, "a"},
                   {"s3", true, no_number, "a"},
                   {"s4", true, 2.5, "a"}};
  report.cold = {{"s1", UINT32_MAX, 1e300, "a", true}, {"s2", 1, no_number, "a", true}};
  const auto read = peer::unpack<load_report>(peer::pack(report));
  REQUIRE(read);
  CHECK(read->loads[0].in_flight == max_in_flight);
  CHECK(read->demands[0].waiting == max_demand);
  CHECK(!read->limits[0].is_limited);
  CHECK(!read->limits[1].is_limited);
  CHECK(read->limits[2].is_limited);
  CHECK(read->limits[2].per_second == 0);
  CHECK(read->limits[3].is_limited);
  CHECK(read->limits[3].per_second == 2.5);
  REQUIRE(read->cold.size() == 1);
  CHECK(read->cold[0].per_second == 1e6);
  CHECK(read->cold[0].left_ms == 600'000);

  const auto reported = peer::unpack<limit_report>(peer::pack(limit_report{report.limits}));
  REQUIRE(reported);
  CHECK(!reported->limits[0].is_limited);

  permit_grant grant;
  grant.permits.push_back({"s", UINT32_MAX});
  grant.cold.push_back({"s", UINT32_MAX});
  const auto granted = peer::unpack<permit_grant>(peer::pack(grant));
  REQUIRE(granted);
  CHECK(granted->permits[0].permits == rates::max_permits);
  CHECK(granted->cold[0].permits == rates::max_permits);
}

// Guards against loads of so many servers that the message which lists them is dropped.
TEST_CASE("load messages and permits fit into frames, whatever the number of servers") {
  const std::string longest(max_record_text_bytes - 6, 's');
  const auto name = [&](int i) { return longest + std::to_string(100'000 + i); };
  load_report report;
  report.is_full = true;
  report.stamp = 7;
  permit_grant grant;
  grant.stamp = 7;
  for (int i = 0; i < 5000; ++i) {
    report.loads.push_back({name(i), max_in_flight});
    report.failures.push_back({name(i), failure_kind::late, UINT64_MAX, name(i), true});
    report.limits.push_back({name(i), true, 1e6, name(i)});
    report.cold.push_back({name(i), UINT32_MAX, 1e6, name(i), true});
    report.demands.push_back({name(i), UINT32_MAX, UINT32_MAX});
    grant.permits.push_back({name(i), UINT32_MAX});
    grant.cold.push_back({name(i), UINT32_MAX});
  }
  report.limits.push_back({name(0), false, 0, name(0)}); // it has ended since
  load_report all;
  int full = 0;
  for (const auto& part : in_messages(report)) {
    CHECK(peer::pack(part).size() <= peer::max_body_bytes);
    CHECK(part.stamp == 7);
    full += part.is_full ? 1 : 0;
    all.loads.insert(all.loads.end(), part.loads.begin(), part.loads.end());
    all.failures.insert(all.failures.end(), part.failures.begin(), part.failures.end());
    all.limits.insert(all.limits.end(), part.limits.begin(), part.limits.end());
    all.cold.insert(all.cold.end(), part.cold.begin(), part.cold.end());
    all.demands.insert(all.demands.end(), part.demands.begin(), part.demands.end());
  }
  CHECK(full == 1);
  all.is_full = true;
  all.stamp = 7;
  CHECK(peer::pack(all) == peer::pack(report));
  permit_grant permits;
  permits.stamp = 7;
  for (const auto& part : in_messages(grant)) {
    CHECK(peer::pack(part).size() <= peer::max_body_bytes);
    permits.permits.insert(permits.permits.end(), part.permits.begin(), part.permits.end());
    permits.cold.insert(permits.cold.end(), part.cold.begin(), part.cold.end());
  }
  CHECK(peer::pack(permits) == peer::pack(grant));
  CHECK(in_messages(load_report{}).size() == 1);
}

// Guards against a message of 1 MB that takes hundreds of times its size once read.
TEST_CASE("a list of odd elements takes no memory for each of them") {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> p(buf);
  constexpr std::uint32_t n = 1'000'000;
  p.pack_map(1);
  p.pack("r");
  p.pack_array(n);
  for (std::uint32_t i = 0; i < n; ++i) {
    p.pack_nil();
  }
  const auto share = peer::unpack<record_share>({buf.data(), buf.size()});
  REQUIRE(share);
  CHECK(!share->records.empty()); // counted by the receiver
  CHECK(share->records.size() <= max_nameless_records);
}
