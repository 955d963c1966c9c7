#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/rates/cold_bound.h"
#include "kingcupshunt/rates/permit_issuer.h"
#include "kingcupshunt/rates/request_permits.h"

using namespace kingcupshunt;
using namespace kingcupshunt::rates;

namespace {

const base::time_point start{base::seconds(100)};

} // namespace

// Guards against a rate for which late permits, and entries without a relay, exceed the bound.
TEST_CASE("permits and the shares of entries without a relay stay under the bound") {
  CHECK(rc::check([] {
    const double rate = *rc::gen::inRange(1, 5000) / 10.0;
    const auto entries = *rc::gen::inRange<std::uint32_t>(1, 130);
    const cold_bound bound{*rc::gen::inRange(0, 30) / 10.0, *rc::gen::inRange(1, 100) / 10.0};
    const double issued = cold_issue_rate(bound, rate);
    RC_ASSERT(issued <= rate);
    RC_ASSERT(most_permitted_per_second(bound, rate, issued) +
                  entries * cold_share_without_relay(bound, rate, entries) <=
              bound.requests_per_second(rate) + 1e-9);
  }));
}

TEST_CASE("the usual bound leaves the whole rate to the relays of four data centres") {
  CHECK(cold_issue_rate({}, 4.7) == 4.7);
  CHECK(cold_share_without_relay({}, 4.7, 36) == 0);
}

// Guards against an issue rate or lifetime whose permits, used at the worst times, add up.
TEST_CASE("permits that are used at the end of their life stay under the bound in any second") {
  CHECK(rc::check([] {
    const double rate = *rc::gen::inRange(2, 400) / 10.0;
    base::rng rng(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    permit_issuer issuer({.min_rate = 0, .max_accrual = cold_permit_accrual});
    issuer.set_limit("s", cold_issue_rate({}, rate), start);
    auto now = start;
    std::deque<base::time_point> used;
    std::vector<base::time_point> all;
    for (int i = 0; i < 400; ++i) {
      now += base::milliseconds(rng.below(20) == 0 ? 3000 : 50); // a relay may stand still
      const auto issued = issuer.issue([](auto) { return permit_recipients{{"e"}, 1}; }, now);
      for (std::size_t n = 0; n < issued.size(); ++n) {
        const auto latest = base::to_ms(cold_permit_lifetime + cold_send_delay);
        all.push_back(now + base::milliseconds(rng.below(2) == 0 ? 0 : latest));
      }
    }
    std::ranges::sort(all);
    for (const auto at : all) {
      used.push_back(at);
      while (at - used.front() >= base::seconds(1)) {
        used.pop_front();
      }
      RC_ASSERT(static_cast<double>(used.size()) <= cold_bound{}.requests_per_second(rate));
    }
  }));
}

TEST_CASE("permits with different ends are used in the order of these") {
  request_permits permits;
  permits.set_limit(2);
  permits.add_until(1, start + base::milliseconds(700), start);
  permits.add_until(1, start + base::milliseconds(300), start);
  permits.take(start);
  CHECK(permits.available(start + base::milliseconds(500)) == 1);
}
