#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshunt/balance/server_board.h"

using namespace kingcupshunt;
using namespace kingcupshunt::balance;
using base::milliseconds;
using health::attempt_end;

// A server that answers 503 with Retry-After wants no request of this instance for so long.

namespace {

const base::time_point start{base::seconds(100)};
constexpr milliseconds step{20};
/// After a pause of up to 4 s: its random spread and the drift of the clocks are over.
constexpr milliseconds after_end{200};

board_settings settings(std::uint64_t seed = 3) {
  board_settings out;
  out.data_centre = "a";
  out.seed = seed;
  return out;
}

fleet::server_record record(const std::string& id, std::uint64_t started_ms = 1) {
  fleet::server_record r;
  r.id = id;
  r.service = "fitting";
  r.data_centre = "a";
  r.slots = 3;
  r.started_ms = started_ms;
  return r;
}

health::attempt answer_200() {
  health::attempt a;
  a.status = 200;
  a.total = milliseconds(100);
  return a;
}

health::attempt answer_503(base::duration pause) {
  health::attempt a;
  a.end = attempt_end::shed;
  a.status = 503;
  a.pause = pause;
  return a;
}

/// A board with the servers "s0" and so on.
struct board_fixture {
  explicit board_fixture(int servers, std::uint64_t seed = 3) : board(settings(seed)) {
    for (int i = 0; i < servers; ++i) {
      board.set_record(record("s" + std::to_string(i)), start);
    }
  }

  std::optional<std::string> begin(base::time_point now, const std::vector<std::string>& tried = {},
                                   bool is_repeatable = true) {
    const auto chosen = board.begin({"fitting", ++serial, is_repeatable}, tried, now);
    return chosen ? std::optional(chosen.value().id) : std::nullopt;
  }

  /// Sends one request, which its server answers with a pause. Returns that server.
  std::string pause_one(base::duration pause, base::time_point now) {
    const auto id = begin(now);
    REQUIRE(id);
    board.end(*id, serial, answer_503(pause), now);
    return *id;
  }

  server_board board;
  std::uint64_t serial = 0;
};

} // namespace

// Guards against first tries, retries and trial requests at a server that asked for a pause.
TEST_CASE("a server that asked for a pause gets no request until its end") {
  board_fixture f(2);
  const auto paused = f.pause_one(base::seconds(4), start);
  const std::string other = paused == "s0" ? "s1" : "s0";
  std::size_t to_paused = 0;
  for (auto now = start + step; now < start + base::seconds(4); now += step) {
    const auto first = f.begin(now, {}, f.serial % 4 == 0);
    to_paused += first == paused ? 1 : 0;
    if (first) {
      f.board.end(*first, f.serial, answer_200(), now);
    }
    const auto again = f.begin(now, {other});
    to_paused += again ? 1 : 0;
    if (again) {
      f.board.end(*again, f.serial, answer_200(), now);
    }
  }
  CHECK(to_paused == 0);
}

// Guards against a queue that counts on the slots of a server that wants no requests.
TEST_CASE("the slots of a paused server are not free and start nothing") {
  board_fixture f(2);
  const auto paused = f.pause_one(base::seconds(4), start);
  const auto other = f.begin(start);
  REQUIRE(other);
  REQUIRE(*other != paused);
  f.board.end(*other, f.serial, answer_200(), start);
  CHECK(f.board.free_slots("fitting", start) == 3);
  CHECK(f.board.starts_per_second("fitting", start) == doctest::Approx(30));
  const auto later = start + base::seconds(4) + after_end;
  CHECK(f.board.free_slots("fitting", later) == 4);
  CHECK(f.board.starts_per_second("fitting", later) == doctest::Approx(60));
}

// Guards against a herd at the end of a pause, when all its slots seem free.
TEST_CASE("the first request after a pause goes alone until it is answered") {
  board_fixture f(1);
  REQUIRE(f.begin(start));
  const auto old = f.serial;
  f.pause_one(base::seconds(1), start);
  const auto now = start + base::seconds(1) + after_end;
  REQUIRE(f.begin(now));
  const auto alone = f.serial;
  CHECK(!f.begin(now));
  f.board.end("s0", old, answer_200(), now); // sent before the pause
  CHECK(!f.begin(now));
  f.board.end("s0", alone, answer_200(), now);
  CHECK(f.begin(now));
  CHECK(f.begin(now));
}

// Guards against a lone request that gets no answer and lets all others through or none.
TEST_CASE("after a lone request without an answer the next one goes alone") {
  board_fixture f(1);
  f.pause_one(base::seconds(1), start);
  const auto now = start + base::seconds(1) + after_end;
  REQUIRE(f.begin(now));
  health::attempt cancelled;
  cancelled.end = attempt_end::cancelled;
  f.board.end("s0", f.serial, cancelled, now);
  CHECK(f.begin(now));
  CHECK(!f.begin(now));
}

// Guards against a pause that ends with another answer of its server.
TEST_CASE("an answer to an earlier request or a shorter pause does not shorten a pause") {
  board_fixture f(1);
  REQUIRE(f.begin(start));
  const auto first = f.serial;
  REQUIRE(f.begin(start));
  const auto second = f.serial;
  f.pause_one(base::seconds(4), start);
  f.board.end("s0", first, answer_200(), start + step);
  CHECK(!f.begin(start + step));
  f.board.end("s0", second, answer_503(milliseconds(100)), start + step);
  CHECK(!f.begin(start + base::seconds(1)));
  CHECK(!f.begin(start + base::seconds(4) - step));
  CHECK(f.begin(start + base::seconds(4) + after_end));
}

// Guards against a pause that ends at its first end although a later answer extended it.
TEST_CASE("a later and longer pause extends the one before") {
  board_fixture f(1);
  REQUIRE(f.begin(start));
  const auto first = f.serial;
  f.pause_one(base::seconds(1), start);
  f.board.end("s0", first, answer_503(base::seconds(3)), start + step);
  CHECK(!f.begin(start + base::seconds(1) + after_end));
  CHECK(!f.begin(start + base::seconds(3)));
  CHECK(f.begin(start + base::seconds(3) + after_end));
}

// Guards against a server that starts anew and is left unused for its predecessor's pause.
TEST_CASE("a pause belongs to the incarnation that asked for it") {
  board_fixture f(1);
  REQUIRE(f.begin(start));
  const auto first = f.serial;
  f.pause_one(base::seconds(4), start);
  CHECK(!f.begin(start + step));
  f.board.set_record(record("s0", 2), start + step);
  CHECK(f.begin(start + step));
  // The former incarnation's answer arrives late.
  f.board.end("s0", first, answer_503(base::seconds(4)), start + step);
  CHECK(f.begin(start + step));
}

// Guards against a held back server that is ranked as a faulty one after its pause.
TEST_CASE("a pause is no failure") {
  board_fixture f(1);
  const auto before = f.board.entries(start).at(0).failure_probability;
  f.pause_one(base::seconds(4), start);
  CHECK(f.board.entries(start).at(0).failure_probability == before);
  CHECK(!f.board.has_news());
  CHECK(f.board.suspicions(start).at("fitting").suspected == 0);
}

// Guards against requests that wait in vain, or callers that return too early, when all servers are
// paused.
TEST_CASE("when all servers are paused, requests are refused with the earliest end") {
  board_fixture f(2);
  CHECK(!f.board.pause_end("fitting", start));
  const auto first = f.pause_one(base::seconds(4), start);
  CHECK(!f.board.pause_end("fitting", start)); // the other one takes requests
  const auto second = f.pause_one(base::seconds(2), start);
  REQUIRE(first != second);
  const auto end = f.board.pause_end("fitting", start);
  REQUIRE(end);
  CHECK(*end >= start + base::seconds(2));
  CHECK(*end <= start + base::seconds(2) + after_end);
  const auto refused = f.board.begin({"fitting", 99, true}, {}, start);
  REQUIRE(!refused);
  CHECK(refused.error() == board_error::all_paused);
  CHECK(f.board.free_slots("fitting", start) == 0);
  CHECK(!f.board.pause_end("fitting", *end));
}

// Guards against instances that all return to a server at once.
TEST_CASE("the ends of one pause differ between instances") {
  base::time_point least = base::time_point::max();
  base::time_point greatest{};
  for (std::uint64_t seed = 1; seed <= 14; ++seed) {
    board_fixture f(1, seed);
    f.pause_one(base::seconds(1), start);
    const auto end = f.board.pause_end("fitting", start);
    REQUIRE(end);
    least = std::min(least, *end);
    greatest = std::max(greatest, *end);
  }
  CHECK(greatest - least >= milliseconds(50));
  CHECK(greatest - least <= milliseconds(100));
}

// Guards against pauses that nobody sees.
TEST_CASE("a pause is told once when it begins and when it is extended") {
  std::vector<base::duration> told;
  board_hooks hooks;
  hooks.on_pause = [&](const pause_change& c) {
    CHECK(c.server == "s0");
    told.push_back(c.pause);
  };
  server_board board(settings(), hooks);
  board.set_record(record("s0"), start);
  for (std::uint64_t serial = 1; serial <= 3; ++serial) {
    REQUIRE(board.begin({"fitting", serial, true}, {}, start));
  }
  board.end("s0", 1, answer_503(base::seconds(2)), start);
  board.end("s0", 2, answer_503(base::seconds(1)), start);
  board.end("s0", 3, answer_503(base::seconds(3)), start);
  CHECK(told == std::vector<base::duration>{base::seconds(2), base::seconds(3)});
}
