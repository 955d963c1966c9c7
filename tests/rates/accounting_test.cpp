#include <doctest/doctest.h>

#include "kingcupshunt/rates/bucket.h"
#include "kingcupshunt/rates/client.h"

using namespace kingcupshunt;
using base::milliseconds;

namespace {

const base::time_point start = base::time_point{} + base::seconds(100);
const rates::account_key key("i1", 7);

rates::token_request_item item_of(std::uint32_t held, std::uint64_t spent,
                                  std::vector<std::uint32_t> ages = {}) {
  return {"w", 0, 0, held, spent, std::move(ages)};
}

// Grants `n` tokens of a full bucket at `start`.
rates::bucket granted(double rate, double burst, std::uint32_t n) {
  rates::bucket b({rate, burst}, burst, start);
  b.apply(key, 1, true, item_of(0, 0), start);
  b.grant_to(b.accounts().at(key), n, start);
  return b;
}

struct client_run {
  std::vector<rates::token_request> requests;
  rates::client client{{},
                       {[this](auto, auto, const std::string& body) {
                          requests.push_back(*peer::unpack<rates::token_request>(body));
                        },
                        {},
                        {}}};
  int granted = 0;
  int refused = 0;
  std::optional<milliseconds> retry_after;

  client_run() { client.set_view({1, {{"o", "", "", "", true}}}, start); }
  void acquire(base::time_point now) {
    client.acquire("w", now, now + base::seconds(1), [this](const rates::acquired& a) {
      a ? ++granted : ++refused;
      if (!a) {
        retry_after = a.error().retry_after;
      }
    });
  }
  void answer(std::uint64_t seq, std::uint32_t tokens, rates::grant_status status,
              base::time_point now, std::uint32_t retry_ms = 0) {
    const rates::grant frame{
        1, 9, {{"w", seq, tokens, static_cast<std::uint8_t>(status), retry_ms, false, false}}};
    client.receive("o", peer::message_kind::rate_grant, peer::pack(frame), now);
  }
};

} // namespace

// Guards against tokens that come back although they were spent, or the other way round.
TEST_CASE("spent tokens accrue again and unspent ones return to the bucket") {
  auto b = granted(10, 10, 6);
  CHECK(b.level() == 4);
  CHECK(b.apply(key, 2, true, item_of(1, 3), start));
  CHECK(b.outstanding() == 1);
  CHECK(b.level() == 6); // 2 of 6 were neither spent nor held
  b.accrue(start + milliseconds(100));
  CHECK(b.level() == doctest::Approx(6.99));
}

// Guards against a repeated or late frame that frees tokens which are held again.
TEST_CASE("a frame that is not newer changes nothing") {
  auto b = granted(10, 10, 6);
  CHECK(b.apply(key, 3, true, item_of(4, 2), start));
  CHECK(!b.apply(key, 3, true, item_of(0, 2), start));
  CHECK(!b.apply(key, 2, true, item_of(0, 6), start));
  CHECK(b.outstanding() == 4);
}

// Guards against returning tokens that a silent instance may have spent.
TEST_CASE("tokens of a silent instance expire without returning") {
  auto b = granted(0, 10, 6);
  b.expire(start + milliseconds(1020));
  CHECK(b.outstanding() == 6);
  b.expire(start + milliseconds(1031));
  CHECK(b.outstanding() == 0);
  CHECK(b.level() == 4);
}

// Guards against credit for time in which the burst did not stop the accrual.
TEST_CASE("a late report of a spend is credited only for accrual that the burst stopped") {
  rates::bucket b({10, 10}, 9, start);
  b.apply(key, 1, true, item_of(0, 0), start);
  b.grant_to(b.accounts().at(key), 2, start);
  // Full from 101 ms on; spent at 0 ms, reported at 150 ms.
  const auto now = start + milliseconds(150);
  CHECK(b.apply(key, 2, true, item_of(1, 1, {150'000}), now));
  const double total = b.level() + static_cast<double>(b.outstanding());
  CHECK(total == doctest::Approx(9 + 10 * 0.99 * 0.15 - 1).epsilon(0.001));
}

// Guards against a burst that grows at once into tokens, or a fall that is not applied.
TEST_CASE("a change of rate or burst takes the lesser rate before it and bounds the level") {
  rates::bucket b({100, 100}, 50, start);
  b.set_limit({1, 20}, start + milliseconds(100));
  CHECK(b.level() == 20);
  b.set_limit({1000, 500}, start + milliseconds(200));
  CHECK(b.level() <= 20.2);
}

// Guards against a token that outlives what its owner assumes because its grant was delayed.
TEST_CASE("the lifetime of a token counts from the ask") {
  client_run run;
  run.acquire(start);
  run.acquire(start);
  REQUIRE(run.requests.size() == 1);
  run.answer(run.requests[0].seq, 9, rates::grant_status::granted, start + milliseconds(20));
  CHECK(run.granted == 2);
  run.acquire(start + milliseconds(990));
  CHECK(run.granted == 3);
  run.acquire(start + milliseconds(1001));
  CHECK(run.granted == 3);
}

// Guards against spending a grant twice.
TEST_CASE("a grant is taken once and only for the ask in force") {
  client_run run;
  run.acquire(start);
  const auto first = run.requests[0].seq;
  run.client.tick(start + milliseconds(50)); // times out and asks again
  REQUIRE(run.requests.size() == 2);
  run.answer(first, 5, rates::grant_status::granted, start + milliseconds(51));
  CHECK(run.granted == 0);
  run.answer(run.requests[1].seq, 1, rates::grant_status::granted, start + milliseconds(52));
  run.answer(run.requests[1].seq, 1, rates::grant_status::granted, start + milliseconds(53));
  run.acquire(start + milliseconds(54));
  CHECK(run.granted == 1);
}

// Guards against requests that hang on a new owner, and against an invented time.
TEST_CASE("a starting owner refuses at once with the time it told") {
  client_run run;
  run.acquire(start);
  run.answer(run.requests[0].seq, 0, rates::grant_status::starting, start + milliseconds(3), 2500);
  CHECK(run.refused == 1);
  REQUIRE(run.retry_after);
  CHECK(run.retry_after->count() == 2500);
  run.acquire(start + milliseconds(503));
  CHECK(run.refused == 2);
  CHECK(run.retry_after->count() == 2000);
}

// Guards against tokens that stay at an idle instance, and against entries that never go.
TEST_CASE("idle tokens go back within a second and the entry is dropped") {
  client_run run;
  run.acquire(start);
  run.answer(run.requests[0].seq, 4, rates::grant_status::granted, start + milliseconds(3));
  for (int ms = 50; ms <= 8000; ms += 50) {
    run.client.tick(start + milliseconds(ms));
    if (ms == 900) {
      REQUIRE(!run.requests.empty());
      CHECK(run.requests.back().items[0].held == 0);
      CHECK(run.requests.back().items[0].spent == 1);
    }
  }
  CHECK(run.client.entry_count() == 0);
}

// Guards against frames from other versions or senders that change anything.
TEST_CASE("malformed and foreign frames change nothing") {
  client_run run;
  run.acquire(start);
  run.client.receive("o", peer::message_kind::rate_grant, "\x93junk", start);
  const rates::grant foreign{2, 9, {{"w", run.requests[0].seq, 1, 0, 0, false, false}}};
  run.client.receive("o", peer::message_kind::rate_grant, peer::pack(foreign), start);
  run.client.receive(
      "x", peer::message_kind::rate_grant,
      peer::pack(rates::grant{1, 9, {{"w", run.requests[0].seq, 1, 0, 0, false, false}}}), start);
  CHECK(run.granted == 0);
}
