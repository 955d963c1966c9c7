#include <doctest/doctest.h>

#include <set>
#include <vector>

#include "kingcupshunt/balance/server_board.h"

using namespace kingcupshunt;
using namespace kingcupshunt::balance;

// Load: many callers begin a long body and stop. Their requests wait at the servers, which run
// nothing meanwhile.

namespace {

const base::time_point start{base::seconds(100)};

struct streaming_fixture {
  explicit streaming_fixture(int servers, std::uint32_t slots) : board(settings()) {
    for (int i = 0; i < servers; ++i) {
      fleet::server_record r;
      r.id = "s" + std::to_string(i);
      r.service = "files";
      r.address = "10.0.0.1:80";
      r.data_centre = "a";
      r.slots = slots;
      r.started_ms = 1;
      board.set_record(r, start);
    }
  }
  static board_settings settings() {
    board_settings out;
    out.data_centre = "a";
    return out;
  }
  base::result<fleet::server_record, board_error> begin(bool is_streamed,
                                                        base::time_point now = start) {
    board_request request;
    request.service = "files";
    request.serial = ++serial;
    request.is_streamed = is_streamed;
    return board.begin(request, {}, now);
  }
  void end(const std::string& server, std::uint64_t request, base::time_point now) {
    health::attempt a;
    a.end = health::attempt_end::ok;
    a.total = now - start;
    a.first_byte = base::milliseconds(100);
    board.end(server, request, a, now);
  }
  std::uint32_t streams_until_refused() {
    std::uint32_t n = 0;
    while (begin(true)) {
      ++n;
    }
    return n;
  }
  server_board board;
  std::uint64_t serial = 0;
};

} // namespace

TEST_CASE("bodies that are arriving take half of the slots, and others find the rest") {
  streaming_fixture f(4, 6);
  CHECK(f.streams_until_refused() == 12);
  CHECK(f.begin(true).error() == board_error::all_streaming);
  CHECK(f.board.free_slots("files", start) == 12);
  for (int i = 0; i < 12; ++i) {
    CHECK(f.begin(false));
  }
}

TEST_CASE("one body may always arrive, and servers with one slot are not all taken") {
  CHECK(streaming_fixture(1, 1).streams_until_refused() == 1);
  CHECK(streaming_fixture(8, 1).streams_until_refused() == 4);
}

TEST_CASE("a server with many slots keeps connections for requests without a streamed body") {
  CHECK(streaming_fixture(1, 100).streams_until_refused() ==
        board_settings{}.max_streamed_per_server);
}

TEST_CASE("a body that has arrived counts as any other request") {
  streaming_fixture f(1, 2);
  const auto first = f.begin(true);
  REQUIRE(first);
  CHECK(!f.begin(true));
  f.board.note_body_sent(first.value().id, f.serial - 1, start);
  CHECK(f.begin(true));
}

// Guards against servers that are taken for slow or faulty because of their callers.
TEST_CASE("the time of a slow caller is not the server's") {
  streaming_fixture f(1, 4);
  auto r = f.begin(false);
  f.end(r.value().id, f.serial, start + base::milliseconds(100));
  const auto usual = f.board.mean_response_time("files");
  REQUIRE(usual);

  r = f.begin(true);
  const auto streamed = f.serial;
  f.board.tick(start + base::seconds(9));
  CHECK(f.board.entries(start + base::seconds(9)).front().failure_probability < 0.1);
  f.board.note_body_sent(r.value().id, streamed, start + base::seconds(9));
  f.end(r.value().id, streamed, start + base::milliseconds(9100));
  CHECK(base::to_ms(*f.board.mean_response_time("files")) == base::to_ms(*usual));

  r = f.begin(false, start + base::seconds(10));
  f.board.note_answer_relayed(r.value().id, f.serial);
  f.board.tick(start + base::seconds(19));
  CHECK(f.board.entries(start + base::seconds(19)).front().failure_probability < 0.1);
  f.end(r.value().id, f.serial, start + base::seconds(19));
  CHECK(base::to_ms(*f.board.mean_response_time("files")) == base::to_ms(*usual));

  // A server that does not answer a body that it has is late as ever.
  r = f.begin(true, start + base::seconds(20));
  f.board.note_body_sent(r.value().id, f.serial, start + base::seconds(20));
  f.board.tick(start + base::seconds(22));
  CHECK(f.board.entries(start + base::seconds(22)).front().failure_probability > 0.1);
}
