#include <doctest/doctest.h>

#include <vector>

#include "kingcupshunt/balance/server_board.h"

using namespace kingcupshunt;
using namespace kingcupshunt::balance;

// Load pattern: servers that start, or become cold again, while the others of their service serve
// the usual load. See docs/design/cold-servers.md.

namespace {

const base::time_point start{base::seconds(100)};

fleet::server_record record(const std::string& id, std::uint32_t cold_left_ms) {
  fleet::server_record r;
  r.id = id;
  r.service = "fitting";
  r.data_centre = "a";
  r.slots = 2;
  r.started_ms = 1;
  r.cold_left_ms = cold_left_ms;
  return r;
}

board_settings settings() {
  board_settings out;
  out.data_centre = "a";
  out.seed = 3;
  return out;
}

void set_terms(server_board& board, double per_second = 4.7) {
  board.set_cold_terms({{"fitting", {per_second, base::seconds(3)}}}, start);
}

/// What an entry's report carries at `now`, which also gives permits their reference.
fleet::load_report report_at(server_board& board, base::time_point now, bool is_full = true) {
  fleet::load_report out;
  out.is_full = is_full;
  board.add_cold_report(out, now);
  return out;
}

fleet::permit_grant permits(std::uint64_t stamp, std::uint32_t age_ms, std::uint32_t n) {
  fleet::permit_grant out;
  out.cold.push_back({"s0", n});
  out.stamp = stamp;
  out.age_ms = age_ms;
  return out;
}

health::attempt answer(std::optional<base::duration> cold_left) {
  health::attempt a;
  a.end = health::attempt_end::ok;
  a.status = 200;
  a.total = base::milliseconds(90);
  a.cold_left = cold_left;
  return a;
}

/// Servers chosen for 300 requests, 10 ms apart, whose answers carry `cold_left`.
std::vector<std::string> choices(server_board& board, std::optional<base::duration> cold_left) {
  std::vector<std::string> out;
  for (std::uint64_t i = 1; i <= 300; ++i) {
    const auto now = start + i * base::milliseconds(10);
    const auto chosen = board.begin({"fitting", i, i % 3 == 0}, {}, now);
    out.push_back(chosen ? chosen.value().id : "");
    if (i > 9 && !out[i - 10].empty()) {
      board.end(out[i - 10], i - 9, answer(cold_left), now);
    }
  }
  return out;
}

} // namespace

// Guards against a change for deployments that state no rate for cold servers.
TEST_CASE("without a rate for cold servers, statements about them change no choice") {
  server_board usual(settings());
  server_board told(settings());
  told.set_cold_terms({{"orders", {4.7, base::seconds(3)}}}, start);
  for (int i = 0; i < 4; ++i) {
    usual.set_record(record("s" + std::to_string(i), 0), start);
    told.set_record(record("s" + std::to_string(i), 0), start);
  }
  for (int i = 0; i < 4; ++i) { // a further announcement, from a server that became cold again
    told.set_record(record("s" + std::to_string(i), 3000), start);
  }
  told.apply_cold(std::vector<fleet::cold_note>{{"s0", 60'000, 4.7, "a", true}}, start);
  CHECK(told.free_slots("fitting", start) == 8);
  CHECK(choices(told, base::seconds(60)) == choices(usual, std::nullopt));
  CHECK(report_at(told, start).cold.empty());
  CHECK(told.cold_servers(start) == 0);
  CHECK(!told.has_news());
  CHECK(report_at(usual, start).stamp == 0);
}

// Guards against a cold server that is chosen for being idle.
TEST_CASE("a cold server gets one request for each permit, and the next request uses it") {
  server_board board(settings());
  set_terms(board);
  board.set_record(record("s0", 3000), start);
  board.set_record(record("s1", 0), start);
  const auto report = report_at(board, start);
  REQUIRE(report.cold.size() == 1);
  CHECK(report.cold[0].server == "s0");
  CHECK(report.cold[0].left_ms == 3000);
  CHECK(report.cold[0].per_second == 4.7);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    const auto chosen = board.begin({"fitting", i, true}, {}, start);
    CHECK((!chosen || chosen.value().id == "s1"));
  }
  CHECK(board.free_slots("fitting", start) == 0);
  CHECK(board.add_cold_permits(permits(report.stamp, 0, 1), start) == 0);
  CHECK(board.free_slots("fitting", start) == 1);
  CHECK(board.begin({"fitting", 8, false}, {}, start).value().id == "s0");
  CHECK(board.begin({"fitting", 9, false}, {}, start).error() == board_error::all_busy);
  const auto warm = start + base::milliseconds(3000);
  CHECK(board.begin({"fitting", 10, false}, {}, warm).value().id == "s0");
}

// Guards against permits that live on after a late arrival, an earlier process or a future stamp.
TEST_CASE("a permit lives for a fixed time from its issue, however late it arrives") {
  server_board board(settings());
  set_terms(board);
  board.set_record(record("s0", 60'000), start);
  CHECK(board.add_cold_permits(permits(1, 0, 1), start) == 1); // before any report
  const auto stamp = report_at(board, start).stamp;
  const auto now = start + base::milliseconds(1000);
  CHECK(board.add_cold_permits(permits(stamp, 299, 2), now) == 2); // issued 701 ms ago
  CHECK(board.add_cold_permits(permits(stamp - 1, 999, 2), now) == 2);
  CHECK(board.add_cold_permits(permits(stamp + 5000, 0, 2), now) == 2);
  CHECK(board.free_slots("fitting", now) == 0);
  CHECK(board.add_cold_permits(permits(stamp, 500, 1), now) == 0);
  CHECK(board.free_slots("fitting", now + base::milliseconds(199)) == 1);
  CHECK(board.free_slots("fitting", now + base::milliseconds(200)) == 0);
}

// Guards against grants that wait in a socket while the machine is suspended and look new
// afterwards, as the steady clock stands still meanwhile.
TEST_CASE("a permit that was issued before the machine was suspended is not used afterwards") {
  server_board board(settings());
  set_terms(board);
  board.set_record(record("s0", 60'000), start);
  fleet::load_report report;
  board.add_cold_report(report, start, base::seconds(30));
  const auto now = start + base::milliseconds(50);
  CHECK(board.add_cold_permits(permits(report.stamp, 20, 1), now, base::seconds(31)) == 1);
  CHECK(board.free_slots("fitting", now) == 0);
  board.add_cold_report(report, now, base::seconds(31));
  CHECK(board.add_cold_permits(permits(report.stamp, 20, 1), now, base::seconds(31)) == 0);
  CHECK(board.free_slots("fitting", now + base::milliseconds(699)) == 1);
  CHECK(board.free_slots("fitting", now + base::milliseconds(720)) == 0);
}

// Guards against a change back to cold that stays with the entry that saw it, and against a late
// answer that ends it.
TEST_CASE("an answer that calls its server cold is reported at once, and earlier answers don't end "
          "it") {
  server_board board(settings());
  set_terms(board);
  board.set_record(record("s0", 0), start);
  CHECK(board.begin({"fitting", 1, true}, {}, start));
  CHECK(board.begin({"fitting", 2, true}, {}, start));
  auto now = start + base::milliseconds(100);
  board.end("s0", 1, answer(base::seconds(2)), now);
  CHECK(board.has_news());
  const auto report = report_at(board, now, false);
  REQUIRE(report.cold.size() == 1);
  CHECK(report.cold[0].left_ms == 2000);
  CHECK(!board.has_news());
  CHECK(report_at(board, now, false).cold.empty());
  board.end("s0", 2, answer(base::seconds(0)), now); // sent before the server became cold
  CHECK(board.is_cold("s0", now));
  now += base::milliseconds(100);
  board.add_cold_permits(permits(report.stamp, 50, 1), now);
  CHECK(board.begin({"fitting", 3, true}, {}, now));
  now += base::milliseconds(100);
  board.end("s0", 3, answer(base::seconds(0)), now); // sent afterwards
  CHECK(!board.is_cold("s0", now));
}

// Guards against answers of another instance, or of an earlier incarnation, that make a server
// cold.
TEST_CASE("only answers of the server itself make it cold") {
  server_board board(settings());
  set_terms(board);
  board.set_record(record("s0", 0), start);
  CHECK(board.begin({"fitting", 1, true}, {}, start));
  auto next = record("s0", 0);
  next.started_ms = 2;
  board.set_record(next, start);
  board.end("s0", 1, answer(base::seconds(2)), start);
  CHECK(!board.is_cold("s0", start));
  CHECK(board.begin({"fitting", 2, true}, {}, start));
  auto other = answer(base::seconds(2));
  other.end = health::attempt_end::shed;
  other.status = 421;
  board.end("s0", 2, other, start);
  CHECK(!board.is_cold("s0", start));
}

// Guards against statements that go round between relay and entries, and against a late one.
TEST_CASE("what the relay says of a cold server is not sent back, and counts for one warm-up") {
  server_board board(settings());
  set_terms(board);
  board.set_record(record("s0", 0), start);
  board.apply_cold(std::vector<fleet::cold_note>{{"s0", 60'000, 4.7, "a", false}}, start);
  board.note_request("fitting", start);
  const auto report = report_at(board, start);
  REQUIRE(report.cold.size() == 1);
  CHECK(report.cold[0].left_ms == 0);
  CHECK(report.cold[0].is_wanted);
  CHECK(!report_at(board, start + base::milliseconds(2000)).cold[0].is_wanted);
  CHECK(board.is_cold("s0", start + base::milliseconds(2999)));
  CHECK(!board.is_cold("s0", start + base::milliseconds(3000)));
}

// Guards against reports and notes of the relay that extend each other by the time of their way,
// and against a short warm-up time that ends a note before it is repeated.
TEST_CASE("notes of the relay don't extend what an answer stated, and last until the next one") {
  server_board board(settings());
  board.set_cold_terms({{"fitting", {4.7, base::milliseconds(500)}}}, start);
  board.set_record(record("s0", 0), start);
  board.set_record(record("s1", 0), start);
  const auto chosen = board.begin({"fitting", 1, true}, {}, start);
  REQUIRE(chosen);
  const std::string id = chosen.value().id;
  const std::string other = id == "s0" ? "s1" : "s0";
  board.end(id, 1, answer(base::seconds(4)), start);
  for (int i = 1; i < 4; ++i) {
    const auto now = start + base::milliseconds(1000 * i);
    const auto left = static_cast<std::uint32_t>(4100 - 1000 * i);
    board.apply_cold(
        std::vector<fleet::cold_note>{{id, left, 4.7, "a", false}, {other, left, 4.7, "a", false}},
        now);
    CHECK(board.is_cold(other, now + base::milliseconds(1050)));
    for (const auto& note : report_at(board, now).cold) {
      CHECK(note.left_ms == (note.server == id ? 4000 - 1000 * i : 0));
    }
  }
  CHECK(!board.is_cold(id, start + base::milliseconds(4000)));
}

// Guards against an announcement that was sent before the server became cold.
TEST_CASE("a record without cold time does not end the one that an answer stated") {
  server_board board(settings());
  set_terms(board);
  board.set_record(record("s0", 0), start);
  CHECK(board.begin({"fitting", 1, true}, {}, start));
  board.end("s0", 1, answer(base::seconds(2)), start);
  board.set_record(record("s0", 0), start + base::milliseconds(10));
  CHECK(board.is_cold("s0", start + base::milliseconds(1999)));
}

// Guards against entries without a relay whose shares add up to more than the bound.
TEST_CASE("without a relay, a cold server gets at most the fixed share of this instance") {
  server_board board(settings());
  set_terms(board, 1);
  board.set_record(record("s0", 60'000), start);
  board.set_relay(false, 3, start); // it never had one
  CHECK(board.free_slots("fitting", start + base::seconds(5)) == 0);
  board.set_relay(true, 3, start);
  board.set_relay(false, 1, start); // what it knows now may be less than there are
  const auto share = rates::cold_share_without_relay({}, 1, 3);
  REQUIRE(share == 1);
  CHECK(board.free_slots("fitting", start + base::seconds(1)) == 0); // permits may still be in use
  auto now = start + base::seconds(5);
  CHECK(board.begin({"fitting", 1, true}, {}, now));
  CHECK(!board.begin({"fitting", 2, true}, {}, now));
  now += base::milliseconds(1400);
  CHECK(!board.begin({"fitting", 3, true}, {}, now));
  now += base::milliseconds(200);
  CHECK(board.begin({"fitting", 4, true}, {}, now));
}

// Guards against waiting requests that are counted on starts which the cold servers don't allow.
TEST_CASE("the rate for cold servers bounds the starts that a service's queue counts on") {
  server_board board(settings());
  set_terms(board);
  board.set_record(record("s0", 0), start);
  CHECK(board.begin({"fitting", 1, true}, {}, start));
  board.end("s0", 1, answer(std::nullopt), start);
  CHECK(board.starts_per_second("fitting", start) > 20);
  board.apply_cold(std::vector<fleet::cold_note>{{"s0", 2000, 4.7, "a", false}}, start);
  CHECK(board.starts_per_second("fitting", start) == doctest::Approx(4.7));
}
