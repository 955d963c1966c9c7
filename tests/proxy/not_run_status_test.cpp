#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;
using health::attempt_end;

// Deployments where the statuses 408, 421, 429 and 503 state that the request has not run, and
// where servers sign their answers and echo the request id.

namespace {

void use_not_run_statuses(entry_settings& s) {
  s.max_replay_bytes = 1U << 20U;
  s.names.request_id = "Request-Id";
  s.names.caller_timeout = "Timeout-Ms";
  s.names.upstream_timeout = "Timeout-Ms";
  s.names.expected_instance = "Expected-Instance";
  s.names.not_run = "Not-Executed";
  s.names.signature = "Upstream-Signature";
  s.names.is_request_id_echoed = true;
  s.names.has_not_run_statuses = true;
  s.names.has_fractional_retry_after = true;
  s.names.may_answer_end_with_connection = true;
  s.names.is_shed_budgeted = true;
}

std::string signed_answer(const std::string& id, const std::string& body = "ok") {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nUpstream-Signature: s\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

const std::string not_run_503 = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string other_instance = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
const std::string order =
    "POST /a HTTP/1.1\r\nHost: shop\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nhello";

backend::script close_after_request() {
  return [](backend& b, test_connection& c, int) { b.read_request(c); };
}

struct strict_fixture : fixture {
  explicit strict_fixture(std::vector<std::string> ups)
      : fixture(std::move(ups), use_not_run_statuses) {
    route.kind = config::request_kind::once;
    decisions.reserve = nullptr;
  }
};

} // namespace

TEST_CASE("one server's refusal is not returned when another server may have run the request") {
  backend misdirected(always(other_instance));
  backend cuts(close_after_request());
  strict_fixture f({misdirected.id(), cuts.id()});
  f.start();
  test_connection c(f.port());
  c.send(order);
  CHECK(c.read_answer().status == 502);
  CHECK(cuts.requests() == 1);
}

TEST_CASE("a request that no server ran is refused with a \"not run\" status and a Retry-After") {
  backend full(always(not_run_503));
  strict_fixture f({full.id()});
  f.start();
  test_connection c(f.port());
  c.send(order);
  const auto a = c.read_answer();
  CHECK(a.status == 503);
  CHECK(a.field("retry-after") == "0.250");
}

TEST_CASE("servers that refused a request do not count against the route's maximum of tries") {
  backend first(always(not_run_503));
  backend second(always(other_instance));
  backend third(always(signed_answer("r1")));
  strict_fixture f({first.id(), second.id(), third.id()});
  f.route.max_tries = 1;
  f.start();
  test_connection c(f.port());
  c.send(order);
  CHECK(c.read_answer().status == 200);
}

TEST_CASE("a non-repeatable request is sent only once when its connection is closed") {
  backend cuts(close_after_request());
  backend good(always(signed_answer("r1")));
  strict_fixture f({cuts.id(), good.id()});
  f.start();
  test_connection c(f.port());
  c.send(order);
  CHECK(c.read_answer().status == 502);
  CHECK(good.requests() == 0);
}

TEST_CASE("a late answer to an earlier request is skipped") {
  backend server(always(signed_answer("r0", "late") + signed_answer("r1", "own")));
  strict_fixture f({server.id()});
  f.start();
  test_connection c(f.port());
  c.send(order);
  const auto a = c.read_answer();
  CHECK(a.status == 200);
  CHECK(a.body == "own");
}

TEST_CASE("a success without signature, without request id or with an encoded body is a failure") {
  const std::string end = "Content-Length: 2\r\n\r\nok";
  for (const std::string head : {"Request-Id: r1\r\n", "Upstream-Signature: s\r\n",
                                 "Request-Id: r1\r\nUpstream-Signature: s\r\n"
                                 "Content-Encoding: gzip\r\n"}) {
    CAPTURE(head);
    backend server(always("HTTP/1.1 200 OK\r\n" + head + end));
    strict_fixture f({server.id()});
    f.start();
    test_connection c(f.port());
    c.send(order);
    CHECK(c.read_answer().status == 502);
  }
}

TEST_CASE("an answer without length is complete when its connection is closed in order") {
  const std::string text =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\n\r\nall of it";
  backend server([text](backend& b, test_connection& c, int) {
    if (b.read_request(c)) {
      c.send(text);
    }
  });
  strict_fixture f({server.id()});
  f.start();
  test_connection c(f.port());
  c.send(order);
  const auto a = c.read_answer();
  CHECK(a.status == 200);
  CHECK(a.body == "all of it");
}

TEST_CASE("an answer without length is incomplete when its connection is reset") {
  backend server([](backend& b, test_connection& c, int) {
    if (b.read_request(c)) {
      c.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\n\r\npart");
      c.reset();
    }
  });
  strict_fixture f({server.id()});
  f.start();
  test_connection c(f.port());
  c.send(order);
  CHECK(c.read_answer().status == 502);
}

TEST_CASE("each try carries the expected instance and the time left") {
  backend server(always(signed_answer("r1")));
  strict_fixture f({server.id()});
  const auto pick = f.decisions.pick;
  f.decisions.pick = [pick](const auto& request, auto fingerprint, const auto& tried) {
    auto target = pick(request, fingerprint, tried);
    if (target) {
      target.value().instance = "i-7";
    }
    return target;
  };
  f.start();
  test_connection c(f.port());
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nRequest-Id: r1\r\nTimeout-Ms: 300\r\n"
         "Content-Length: 0\r\n\r\n");
  CHECK(c.read_answer().status == 200);
  const auto received = server.received();
  CHECK(received.find("Expected-Instance: i-7\r\n") != std::string::npos);
  const auto at = received.find("Timeout-Ms: ");
  REQUIRE(at != std::string::npos);
  CHECK(std::stoi(received.substr(at + 12)) <= 300);
  CHECK(received.find("Timeout-Ms: ", at + 1) == std::string::npos);
}

TEST_CASE("an answer sent before a long body is read is returned and its connection is closed") {
  backend server([](backend& b, test_connection& c, int) {
    const auto head = c.read_head();
    b.note(head);
    c.send("HTTP/1.1 400 Bad Request\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
           "Content-Length: 0\r\n\r\n");
    (void)c.is_closed_by_peer(); // the body is not read
  });
  strict_fixture f({server.id()});
  f.start();
  test_connection c(f.port());
  const std::string body(900'000, 'x');
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nRequest-Id: r1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body);
  CHECK(c.read_answer().status == 503);
}

// Guards against passing on a status that states "not run" for a request that the server has run.
TEST_CASE("a server's \"not run\" status without its statement is not returned") {
  std::string status;
  SUBCASE("408") {
    status = "408 Request Timeout";
  }
  SUBCASE("429") {
    status = "429 Too Many Requests";
  }
  SUBCASE("503") {
    status = "503 Service Unavailable";
  }
  backend busy(always("HTTP/1.1 " + status +
                      "\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\nContent-Length: 0\r\n\r\n"));
  backend other(always(signed_answer("r1")));
  strict_fixture f({busy.id(), other.id()});
  f.start();
  test_connection c(f.port());
  c.send(order);
  const auto a = c.read_answer();
  CHECK(a.status == 502);
  CHECK(a.field("upstream-signature").empty());
  CHECK(other.requests() == 0);
}
