#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "kingcupshunt/balance/server_board.h"

using namespace kingcupshunt;
using namespace kingcupshunt::balance;

namespace {

const base::time_point start{base::seconds(100)};

fleet::server_record record(const std::string& id, const std::string& data_centre) {
  fleet::server_record r;
  r.id = id;
  r.service = "fitting";
  r.address = "10.0.0.1:80";
  r.data_centre = data_centre;
  r.slots = 2;
  r.started_ms = 1;
  return r;
}

board_settings settings() {
  board_settings out;
  out.data_centre = "west";
  out.seed = 11;
  return out;
}

struct two_data_centres {
  two_data_centres() : board(settings()) {
    for (int i = 0; i < 3; ++i) {
      board.set_record(record("w" + std::to_string(i), "west"), start);
      board.set_record(record("e" + std::to_string(i), "east"), start);
    }
  }

  /// Servers of `n` requests, each of which ends at once.
  std::set<std::string> servers_of(int n) {
    std::set<std::string> out;
    for (int i = 0; i < n; ++i) {
      now += base::milliseconds(100);
      const auto chosen = board.begin({"fitting", ++serial, i % 2 == 0, false}, {}, now);
      if (chosen) {
        out.insert(chosen.value().id);
        health::attempt a;
        a.total = base::milliseconds(20);
        board.end(chosen.value().id, serial, a, now);
      }
    }
    return out;
  }

  server_board board;
  std::uint64_t serial = 0;
  base::time_point now = start;
};

} // namespace

TEST_CASE("no request goes to a server of an evacuated data centre, also not as a trial") {
  // Guards against find_due and against servers that appear after the order. 200 requests in 20 s
  // make every idle server due.
  two_data_centres f;
  f.board.set_evacuations({1, {"west"}}, f.now);
  f.board.set_record(record("w9", "west"), f.now);
  CHECK(f.servers_of(200) == std::set<std::string>{"e0", "e1", "e2"});
  CHECK(f.board.is_server_evacuated("w9"));
  CHECK_FALSE(f.board.is_server_evacuated("e1"));
  CHECK_FALSE(f.board.is_server_evacuated("unknown"));
}

TEST_CASE("the slots of evacuated servers are not counted") {
  // Guards against requests that wait for, or are let in for, slots that they can't use.
  two_data_centres f;
  (void)f.servers_of(10);
  const auto all = f.board.starts_per_second("fitting", f.now);
  REQUIRE(f.board.free_slots("fitting", f.now) == 12);
  f.board.set_evacuations({1, {"west"}}, f.now);
  CHECK(f.board.free_slots("fitting", f.now) == 6);
  CHECK(f.board.starts_per_second("fitting", f.now) == doctest::Approx(all / 2));
  CHECK(f.board.load_of("fitting", f.now).usable == 3);
  CHECK(f.board.load_of("fitting", f.now).slots == 6);
}

TEST_CASE("a tunnel is not opened to an evacuated server") {
  two_data_centres f;
  CHECK_FALSE(f.board.address_of("w1").empty());
  f.board.set_evacuations({1, {"west"}}, f.now);
  CHECK(f.board.address_of("w1").empty());
  CHECK_FALSE(f.board.address_of("e1").empty());
}

TEST_CASE("with all data centres of a service evacuated the reason is told, not a lack of slots") {
  // Guards against callers that wait until their deadline for a slot.
  two_data_centres f;
  f.board.set_evacuations({1, {"east", "west"}}, f.now);
  CHECK(f.board.is_evacuated("fitting", f.now));
  CHECK_FALSE(f.board.is_evacuated("unknown", f.now));
  const auto refused = f.board.begin({"fitting", 1, true, false}, {}, f.now);
  REQUIRE_FALSE(refused);
  CHECK(refused.error() == board_error::all_evacuated);
}

TEST_CASE("a service whose other servers have gone is evacuated too") {
  two_data_centres f;
  f.board.set_evacuations({1, {"west"}}, f.now);
  CHECK_FALSE(f.board.is_evacuated("fitting", f.now));
  for (int i = 0; i < 3; ++i) {
    auto gone = record("e" + std::to_string(i), "east");
    gone.state = fleet::server_state::gone;
    f.board.set_record(gone, f.now);
  }
  CHECK(f.board.is_evacuated("fitting", f.now));
  f.board.set_evacuations({2, {}}, f.now);
  CHECK_FALSE(f.board.is_evacuated("fitting", f.now));
}

TEST_CASE("a farewell without a data centre does not end the evacuation of its server") {
  // Guards against a request that was chosen before and is sent after the farewell.
  two_data_centres f;
  const auto chosen = f.board.begin({"fitting", 1, true, false}, {}, f.now);
  REQUIRE(chosen);
  f.board.set_evacuations({1, {"east", "west"}}, f.now);
  auto gone = record(chosen.value().id, "");
  gone.state = fleet::server_state::gone;
  f.board.set_record(gone, f.now);
  CHECK(f.board.is_server_evacuated(chosen.value().id));
  f.board.set_evacuations({2, {"east", "north", "west"}}, f.now);
  CHECK(f.board.is_server_evacuated(chosen.value().id));
}

TEST_CASE("a request that runs when the order comes ends undisturbed") {
  two_data_centres f;
  const auto chosen = f.board.begin({"fitting", 1, true, false}, {}, f.now);
  REQUIRE(chosen);
  f.board.set_evacuations({1, {"east", "west"}}, f.now);
  health::attempt a;
  a.total = base::milliseconds(20);
  f.board.end(chosen.value().id, 1, a, f.now + base::milliseconds(20));
  f.board.set_evacuations({2, {}}, f.now);
  CHECK(f.board.free_slots("fitting", f.now) == 12);
}

TEST_CASE("after the withdrawal the servers are used again") {
  // Guards against servers that stay unused because of what was measured before the evacuation.
  two_data_centres f;
  (void)f.servers_of(50);
  f.board.set_evacuations({1, {"west"}}, f.now);
  (void)f.servers_of(50);
  f.board.set_evacuations({2, {}}, f.now);
  const auto used = f.servers_of(100);
  CHECK(used.contains("w0"));
  CHECK(used.contains("w1"));
  CHECK(used.contains("w2"));
}
