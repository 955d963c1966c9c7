#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

const std::string leaving = "X-Kingcupshunt-Server-Leaving: 1\r\n";

std::string answer_with(const std::string& fields, const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 2\r\n\r\nok";
}

/// Whether the report of one request to a server with this answer says that the server leaves.
bool is_reported(const std::string& answer, double unreadable = 0) {
  backend server(always(answer));
  fixture f({server.id()});
  f.start();
  f.get();
  CHECK(eventually([&] { return !f.log().reports.empty(); }));
  CHECK(f.counter("kingcupshunt_upstream_leaving_unreadable_total") == unreadable);
  return f.log().reports.front().is_leaving;
}

} // namespace

// Guards against reading the field in successes only.
TEST_CASE("any answer with the field reports that its server leaves") {
  CHECK(is_reported(answer_with(leaving)));
  CHECK(is_reported(answer_with(leaving, "404 Not Found")));
  CHECK(is_reported(answer_with(leaving, "500 Broken")));
  CHECK(is_reported(answer_with(leaving + "Retry-After: 1\r\n", "503 Full")));
  CHECK(is_reported("HTTP/1.1 103 Early Hints\r\n" + leaving + "\r\n" + ok_answer()));
  CHECK_FALSE(is_reported(ok_answer()));
}

// Guards against taking a healthy server out for a field that is garbled or of no sense.
TEST_CASE("a leaving field that is not exactly one 1 is counted and ignored") {
  CHECK_FALSE(is_reported(answer_with("X-Kingcupshunt-Server-Leaving: 0\r\n"), 1));
  CHECK_FALSE(is_reported(answer_with("X-Kingcupshunt-Server-Leaving: true\r\n"), 1));
  CHECK_FALSE(is_reported(answer_with("X-Kingcupshunt-Server-Leaving:\r\n"), 1));
  CHECK_FALSE(is_reported(answer_with(leaving + leaving), 1));
}

// Guards against a field that a server sends after the body.
TEST_CASE("a trailer does not say that a server leaves") {
  CHECK_FALSE(is_reported("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                          leaving + "\r\n"));
}

// Guards against kept connections to a server that leaves.
TEST_CASE("the connection of an answer that says that its server leaves is not kept") {
  backend server(always(answer_with(leaving)));
  fixture f({server.id()});
  f.start();
  CHECK(f.get().status == 200);
  CHECK(f.get().status == 200);
  CHECK(server.connections() == 2);
}

// Guards against requests to the server while a long answer is passed on.
TEST_CASE("the notice of a leaving server comes before its answer is passed on") {
  std::atomic<int> notices{0};
  backend server([&](backend& b, test_connection& c, int) {
    b.read_request(c);
    c.send("HTTP/1.1 200 OK\r\n" + leaving + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
    eventually([&] { return notices > 0; });
    c.send("0\r\n\r\n");
  });
  fixture f({server.id()});
  f.decisions.note_leaving = [&](const auto&, const std::string& id) {
    CHECK(id == server.id());
    ++notices;
  };
  f.start();
  test_connection c(f.port());
  c.send("GET /a HTTP/1.1\r\nHost: shop\r\n" + authorization() + "\r\n");
  CHECK(c.read_answer().is_whole);
  CHECK(notices == 1);
}

// Guards against the answer of another server that uses the address now.
TEST_CASE("a refusal of another instance does not say that the intended one leaves") {
  backend server(always(answer_with(leaving, "421 Misdirected Request")));
  fixture f({server.id()}, [](entry_settings& s) {
    s.names.expected_instance = "Expected-Instance";
    s.names.not_run = "Not-Executed";
  });
  f.start();
  f.get();
  CHECK(eventually([&] { return !f.log().reports.empty(); }));
  CHECK_FALSE(f.log().reports.front().is_leaving);
}
