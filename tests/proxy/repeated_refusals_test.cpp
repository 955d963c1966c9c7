#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

// A faulty server writes an earlier refusal once more on a kept connection, in place of the answer
// to the request that it runs.

namespace {

void use_echoed_ids(entry_settings& s) {
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

struct once_only_fixture : fixture {
  explicit once_only_fixture(std::vector<std::string> ups,
                             const std::function<void(entry_settings&)>& change = {})
      : fixture(std::move(ups), change) {
    route.kind = config::request_kind::once;
    decisions.reserve = nullptr;
  }
};

std::string order(const std::string& id) {
  return "POST /a HTTP/1.1\r\nHost: shop\r\nRequest-Id: " + id +
         "\r\nContent-Length: 5\r\n\r\nhello";
}

std::string id_line(const std::string& id) {
  return "Request-Id: " + id + "\r\n";
}

std::string signed_answer(const std::string& id) {
  return "HTTP/1.1 200 OK\r\n" + id_line(id) +
         "Upstream-Signature: s\r\nContent-Length: 2\r\n\r\nok";
}

std::string refused(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + " No\r\nNot-Executed: 1\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

/// Answers the first request with `first`, then takes each request and writes `repeated`, followed
/// by `own` if there is one.
backend::script repeats(std::string first, std::string repeated, std::string own = {}) {
  return [first = std::move(first), repeated = std::move(repeated),
          own = std::move(own)](backend& b, test_connection& c, int) {
    auto text = first;
    while (b.read_request(c)) {
      c.send(text);
      text = repeated + own;
    }
  };
}

/// The status of the second of two requests on one caller connection.
int status_of_second(fixture& f, const std::string& first_id, const std::string& second_id) {
  test_connection c(f.port());
  c.send(order(first_id));
  (void)c.read_answer();
  c.send(order(second_id));
  return c.read_answer().status;
}

} // namespace

// Guards against "not run" for a request that runs, and against a second server running it.
TEST_CASE("a refusal without id on a kept connection proves nothing") {
  for (const std::string status : {"503", "429", "421", "400", "408"}) {
    CAPTURE(status);
    backend faulty(repeats(signed_answer("r1"), refused(status, "")));
    backend other(always(signed_answer("r2")));
    once_only_fixture f({faulty.id(), other.id()}, use_echoed_ids);
    f.start();
    CHECK(status_of_second(f, "r1", "r2") == 502);
    CHECK(faulty.connections() == 1);
    CHECK(other.requests() == 0);
  }
}

// Guards against returning a promise of "not run" that belongs to an earlier request.
TEST_CASE("an error answer without id on a kept connection is not returned") {
  for (const std::string status : {"503", "429", "408", "500"}) {
    CAPTURE(status);
    backend faulty(
        repeats(signed_answer("r1"), "HTTP/1.1 " + status + " No\r\nContent-Length: 0\r\n\r\n"));
    once_only_fixture f({faulty.id()}, use_echoed_ids);
    f.start();
    CHECK(status_of_second(f, "r1", "r2") == 502);
  }
}

// Guards against taking the first of two ids for the owner of the answer.
TEST_CASE("a refusal that names two requests proves nothing") {
  for (const auto& ids : {id_line("r2") + id_line("r1"), id_line("r1") + id_line("r2")}) {
    CAPTURE(ids);
    backend faulty(repeats(signed_answer("r1"), refused("503", ids)));
    backend other(always(signed_answer("r2")));
    once_only_fixture f({faulty.id(), other.id()}, use_echoed_ids);
    f.service.timeout = base::milliseconds(500);
    f.start();
    CHECK(status_of_second(f, "r1", "r2") == 502);
    CHECK(other.requests() == 0);
  }
}

// Guards against a refusal without id after an answer to another request on a new connection.
TEST_CASE("a refusal without id after an answer to another request proves nothing") {
  backend faulty(repeats(signed_answer("r0") + refused("503", ""), ""));
  backend other(always(signed_answer("r1")));
  once_only_fixture f({faulty.id(), other.id()}, use_echoed_ids);
  f.start();
  test_connection c(f.port());
  c.send(order("r1"));
  CHECK(c.read_answer().status == 502);
  CHECK(other.requests() == 0);
}

// Guards against a refusal that proves nothing because the caller used its id before.
TEST_CASE("a request never follows another one with the same id on a connection") {
  backend faulty(repeats(refused("503", id_line("r1")), refused("503", id_line("r1"))));
  once_only_fixture f({faulty.id()}, use_echoed_ids);
  f.start();
  (void)status_of_second(f, "r1", "r1");
  CHECK(faulty.connections() == 2);
}

// Guards against taking the repeated refusal of an earlier request for the answer to the next one.
TEST_CASE("a repeated refusal with the id of the earlier request is skipped") {
  for (const std::string status : {"503", "429", "421", "400"}) {
    CAPTURE(status);
    const auto refusal = refused(status, id_line("r1"));
    backend faulty(repeats(refusal, refusal, signed_answer("r2")));
    once_only_fixture f({faulty.id()}, use_echoed_ids);
    f.start();
    CHECK(status_of_second(f, "r1", "r2") == 200);
    CHECK(faulty.connections() == 1);
  }
}

// Guards against treating every refusal as "may have run": its id proves that it is this request's.
TEST_CASE("a refusal with the request's id on a kept connection is a promise") {
  backend full(repeats(refused("503", id_line("r1")), refused("503", id_line("r2"))));
  once_only_fixture f({full.id()}, use_echoed_ids);
  f.start();
  CHECK(status_of_second(f, "r1", "r2") == 503);
  CHECK(full.connections() == 1);
}

// Guards against running a request twice where answers carry no ids.
TEST_CASE("without echoed ids, no request follows a refusal on its connection") {
  for (const std::string status : {"503", "429"}) {
    CAPTURE(status);
    const auto refusal =
        "HTTP/1.1 " + status + " Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
    std::atomic<int> ran{0};
    backend faulty([&](backend& b, test_connection& c, int connection) {
      bool is_first = connection == 0;
      while (b.read_request(c)) {
        ran += is_first ? 0 : 1;
        c.send(connection == 0 ? refusal : ok_answer());
        is_first = false;
      }
    });
    once_only_fixture f({faulty.id()});
    f.start();
    test_connection c(f.port());
    c.send(order("r1"));
    CHECK(c.read_answer().status == 200);
    CHECK(ran.load() == 1);
  }
}

// Guards against reading a refusal, repeated while the connection was idle, as the next answer.
TEST_CASE("without echoed ids, a refusal repeated on an idle connection is not read") {
  std::atomic<bool> is_repeated{false};
  backend faulty([&](backend& b, test_connection& c, int connection) {
    while (b.read_request(c)) {
      c.send(ok_answer());
      if (connection == 0) {
        c.send("HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
        is_repeated = true;
      }
    }
  });
  once_only_fixture f({faulty.id()});
  f.start();
  test_connection c(f.port());
  c.send(order("r1"));
  CHECK(c.read_answer().status == 200);
  REQUIRE(eventually([&] { return is_repeated.load(); }));
  c.send(order("r2"));
  CHECK(c.read_answer().status == 200);
  CHECK(faulty.requests() == 2);
}
