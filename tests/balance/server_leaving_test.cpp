#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "kingcupshunt/balance/server_board.h"

using namespace kingcupshunt;
using namespace kingcupshunt::balance;
using health::attempt_end;

namespace {

const base::time_point start{base::seconds(100)};

fleet::server_record record(const std::string& id, std::uint64_t started_ms = 1) {
  fleet::server_record r;
  r.id = id;
  r.service = "fitting";
  r.address = "10.0.0.1:80";
  r.data_centre = "a";
  r.slots = 3;
  r.started_ms = started_ms;
  return r;
}

struct leaving_fixture {
  explicit leaving_fixture(int n) : board(settings(), hooks()) {
    for (int i = 0; i < n; ++i) {
      board.set_record(record("s" + std::to_string(i)), start);
    }
  }
  static board_settings settings() {
    board_settings out;
    out.data_centre = "a";
    out.seed = 11;
    return out;
  }
  board_hooks hooks() {
    board_hooks out;
    out.on_leaving = [this](const leaving_notice& n) {
      notices.push_back(std::string(n.server) + "/" + std::string(n.service) + "/" +
                        std::to_string(n.in_flight));
    };
    return out;
  }
  std::string begin(bool is_repeatable = true, const std::vector<std::string>& tried = {}) {
    const auto r = board.begin({"fitting", ++serial, is_repeatable}, tried, now);
    return r ? r.value().id : std::string();
  }
  void end(const std::string& id, std::uint64_t request, bool is_leaving,
           attempt_end how = attempt_end::ok) {
    health::attempt a;
    a.end = how;
    a.total = base::milliseconds(100);
    a.is_leaving = is_leaving;
    board.end(id, request, a, now);
  }
  /// The first server that is chosen leaves with an answer that ended as `how`.
  std::string leave(attempt_end how = attempt_end::ok) {
    const auto id = begin();
    end(id, serial, true, how);
    return id;
  }
  /// Requests that go to `id`, of some seconds of requests of both kinds and of their retries.
  int count_at(const std::string& id) {
    int n = 0;
    for (int i = 0; i < 400; ++i) {
      now += base::milliseconds(20);
      const auto chosen = begin(i % 2 == 0);
      n += chosen == id ? 1 : 0;
      const auto first = serial;
      const auto other = begin(i % 2 == 0, {chosen});
      n += other == id ? 1 : 0;
      end(other, serial, false);
      end(chosen, first, false);
    }
    return n;
  }

  std::vector<std::string> notices;
  server_board board;
  std::uint64_t serial = 0;
  base::time_point now = start;
};

} // namespace

// Guards against first tries, retries and trial requests at a server that leaves.
TEST_CASE("a server whose answer says that it leaves gets no further request") {
  leaving_fixture f(3);
  const auto id = f.leave();
  CHECK(f.board.free_slots("fitting", f.now) == 6);
  CHECK(f.count_at(id) == 0);
}

// Guards against reading the notice in successes only.
TEST_CASE("failures, refusals and cancelled tries tell that a server leaves as well") {
  for (const auto how : {attempt_end::error_status, attempt_end::shed, attempt_end::truncated,
                         attempt_end::cancelled}) {
    CAPTURE(health::to_string(how));
    leaving_fixture f(3);
    const auto id = f.leave(how);
    CHECK(f.count_at(id) == 0);
  }
}

// Guards against an announcement that was sent before the answer and arrives after it.
TEST_CASE("a ready announcement of the same incarnation does not bring a leaving server back") {
  leaving_fixture f(2);
  const auto id = f.leave();
  f.board.set_record(record(id), f.now);
  CHECK(f.count_at(id) == 0);
}

// Guards against avoiding a server that has restarted.
TEST_CASE("a new incarnation of a server that left gets requests") {
  leaving_fixture f(2);
  const auto id = f.leave();
  f.board.set_record(record(id, 2), f.now);
  CHECK(f.count_at(id) > 0);
}

// Guards against a late answer of the incarnation before.
TEST_CASE("an answer of an earlier incarnation does not make its successor leave") {
  leaving_fixture f(2);
  const auto id = f.begin();
  const auto request = f.serial;
  f.board.set_record(record(id, 2), f.now);
  f.end(id, request, true);
  CHECK(f.notices.empty());
  CHECK(f.count_at(id) > 0);
}

// Guards against counting the notice as a failure, and against a line for each answer.
TEST_CASE("the notice is no failure and is told once") {
  leaving_fixture f(1);
  f.begin();
  f.begin();
  f.end("s0", 1, true);
  f.end("s0", 2, true);
  CHECK(f.notices == std::vector<std::string>{"s0/fitting/1"});
  CHECK(f.board.take_report().failures.empty());
  leaving_fixture calm(1);
  calm.begin();
  calm.begin();
  calm.end("s0", 1, false);
  calm.end("s0", 2, false);
  CHECK(f.board.entries(f.now).front().failure_probability ==
        calm.board.entries(f.now).front().failure_probability);
}

// Guards against requests to a leaving server while the body of its answer is passed on.
TEST_CASE("the notice holds before the answer has ended, and what runs keeps its slot") {
  leaving_fixture f(1);
  REQUIRE(f.begin() == "s0");
  f.board.note_leaving("s0", f.serial);
  CHECK(f.begin().empty());
  CHECK(f.board.entries(f.now).front().own_in_flight == 1);
  f.end("s0", 1, true);
  CHECK(f.board.entries(f.now).front().own_in_flight == 0);
  CHECK(f.notices.size() == 1);
}

// Guards against requests that wait for a service all of whose servers leave.
TEST_CASE("a service whose last server leaves is left until a server comes") {
  leaving_fixture f(1);
  CHECK_FALSE(f.board.is_left("fitting", f.now));
  f.leave();
  CHECK(f.board.is_left("fitting", f.now));
  const auto r = f.board.begin({"fitting", ++f.serial, true}, {}, f.now);
  REQUIRE_FALSE(r);
  CHECK(r.error() == board_error::unknown_service);
  f.board.set_record(record("s1"), f.now);
  CHECK_FALSE(f.board.is_left("fitting", f.now));
  CHECK(f.begin() == "s1");
}

// Guards against new tunnels to a leaving server.
TEST_CASE("a leaving server has no address for tunnels") {
  leaving_fixture f(1);
  CHECK(f.board.address_of("s0") == "10.0.0.1:80");
  f.leave();
  CHECK(f.board.address_of("s0").empty());
}
