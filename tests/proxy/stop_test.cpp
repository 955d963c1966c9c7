#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

const std::string get_a = "GET /a HTTP/1.1\r\nHost: shop\r\n\r\n";

/// Returns a script that answers after `gate` was set.
backend::script answer_after(std::atomic<bool>& gate) {
  return [&gate](backend& b, test_connection& c, int) {
    while (b.read_request(c)) {
      gate.wait(false);
      c.send(ok_answer());
    }
  };
}

void open(std::atomic<bool>& gate) {
  gate = true;
  gate.notify_all();
}

} // namespace

TEST_CASE("a stop closes idle connections, refuses new ones and lets requests in flight finish") {
  std::atomic<bool> gate{false};
  backend b(answer_after(gate));
  fixture f({b.id()});
  f.start();
  const auto port = f.port();
  test_connection busy(port);
  test_connection idle(port);
  busy.send(get_a);
  CHECK(eventually([&] { return b.requests() == 1; }));
  std::atomic<int> cut{-1};
  f.on_loop([&] {
    f.server->stop(base::clock::now() + base::seconds(30),
                   [&](std::size_t n) { cut = static_cast<int>(n); });
  });
  CHECK(idle.is_closed_by_peer());
  CHECK_THROWS(test_connection(port));
  CHECK(cut == -1);
  open(gate);
  const auto a = busy.read_answer();
  CHECK(a.status == 200);
  CHECK(a.field("connection") == "close");
  CHECK(busy.is_closed_by_peer());
  CHECK(eventually([&] { return cut == 0; }));
}

TEST_CASE(
    "a stop closes and counts the connections in flight at its deadline, also those of orders") {
  std::atomic<bool> gate{false};
  backend b(answer_after(gate));
  fixture f({b.id()});
  f.service.timeout = base::seconds(60);
  SUBCASE("lookup") {
    f.route.kind = config::request_kind::repeatable;
  }
  SUBCASE("order") {
    f.route.kind = config::request_kind::keyed_once;
  }
  f.start();
  test_connection busy(f.port());
  busy.send("GET /a HTTP/1.1\r\nHost: shop\r\nIdempotency-Key: k\r\n\r\n");
  CHECK(eventually([&] { return b.requests() == 1; }));
  std::atomic<int> cut{-1};
  f.on_loop([&] {
    f.server->stop(base::clock::now() + base::milliseconds(50),
                   [&](std::size_t n) { cut = static_cast<int>(n); });
  });
  CHECK(busy.is_closed_by_peer());
  CHECK(eventually([&] { return cut == 1; }));
  CHECK(f.counter("kingcupshunt_refusals_total{reason=\"cut_by_stop\"}") == 1);
  CHECK(f.log().finished == 1);
  CHECK(f.log().completed.size() == (f.route.is_repeatable() ? 0U : 1U));
  open(gate);
}

namespace {

/// A stop that began so long ago that half of its time has passed.
stop_window late_stop() {
  const auto now = base::clock::now();
  return {now - base::seconds(20), now + base::seconds(10)};
}

} // namespace

// Guards against a request that is taken late in a planned stop and cut off at its end.
TEST_CASE("late in a stop, a request that may outlast it is refused as not run") {
  backend b(always(ok_answer()));
  fixture f({b.id()}, [](entry_settings& s) { s.names.has_fractional_retry_after = true; });
  f.service.timeout = base::seconds(60);
  f.start();
  f.on_loop([&] { f.server->begin_stop(late_stop()); });
  const auto a = f.get();
  CHECK(a.status == 503);
  CHECK(a.field("retry-after") == "0.001"); // the shortest that is sent
  CHECK(a.field("connection") == "close");
  CHECK(a.body.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(b.requests() == 0);
  CHECK(f.log().admitted == 0);
}

// Guards against a request whose body ends, or that is waiting for its turn or for a server, when
// it is too late to start it: it would be cut off, or closed without an answer.
TEST_CASE("a request that has not started when it may outlast the stop is refused as not run") {
  backend b(always(ok_answer()));
  fixture f({b.id()});
  f.service.timeout = base::seconds(60);
  std::atomic<bool> is_waiting{false};
  std::function<void(decided<void>)> admitted;
  SUBCASE("it waits for its turn") {
    f.decisions.admit = [&](const auto&, const auto&, const auto& done) {
      admitted = done;
      is_waiting = true;
    };
  }
  SUBCASE("it waits for a free server") {
    f.decisions.pick = [&](const auto&, auto, const auto&) -> decided<upstream_target> {
      is_waiting = true;
      return refusal{503, "no_slot", "all servers are busy", ran_state::no, std::nullopt, true};
    };
  }
  f.start();
  test_connection waiting(f.port());
  waiting.send(get_a);
  CHECK(eventually([&] { return is_waiting.load(); }));
  f.on_loop([&] { f.server->begin_stop(late_stop()); });
  const auto a = waiting.read_answer();
  CHECK(a.status == 503);
  CHECK(a.body.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(waiting.is_closed_by_peer());
  CHECK(b.requests() == 0);
}

// Guards against refusing what can be served: the rest of a stop is enough for a short request.
TEST_CASE("during a stop, requests that end before it are served") {
  backend b(always(ok_answer()));
  fixture f({b.id()});
  stop_window window = late_stop();
  SUBCASE("late, with a deadline before the end") {
    f.service.timeout = base::seconds(5);
  }
  SUBCASE("early, with any deadline") {
    f.service.timeout = base::seconds(60);
    window.begun = base::clock::now();
  }
  f.start();
  f.on_loop([&] { f.server->begin_stop(window); });
  const auto a = f.get();
  CHECK(a.status == 200);
  CHECK(a.field("connection") == "close");
}

// Guards against a second try that starts late in a stop and is cut off at its end.
TEST_CASE("late in a stop, a request that may outlast it is not sent again") {
  std::atomic<bool> gate{false};
  backend failing([&](backend& b, test_connection& c, int) {
    b.read_request(c);
    gate.wait(false);
    c.close();
  });
  backend b(always(ok_answer()));
  fixture f({failing.id(), b.id()});
  f.service.timeout = base::seconds(60);
  f.route.kind = config::request_kind::repeatable;
  f.start();
  test_connection caller(f.port());
  caller.send(get_a);
  CHECK(eventually([&] { return failing.requests() == 1; }));
  f.on_loop([&] { f.server->begin_stop(late_stop()); });
  open(gate);
  const auto a = caller.read_answer();
  CHECK(a.status == 502);
  CHECK(b.requests() == 0);
}

// Guards against a stop that was not announced (kingcupshunt run) and that closes a waiting request
// without an answer, and against counting it as a caller that has left.
TEST_CASE("a request that waits for its turn when a stop without a window ends is answered") {
  backend b(always(ok_answer()));
  fixture f({b.id()});
  f.service.timeout = base::seconds(60);
  std::atomic<bool> is_waiting{false};
  std::function<void(decided<void>)> admitted;
  f.decisions.admit = [&](const auto&, const auto&, const auto& done) {
    admitted = done;
    is_waiting = true;
  };
  f.start();
  test_connection waiting(f.port());
  waiting.send(get_a);
  CHECK(eventually([&] { return is_waiting.load(); }));
  std::atomic<int> cut{-1};
  f.on_loop([&] {
    f.server->stop(base::clock::now() + base::seconds(4),
                   [&](std::size_t n) { cut = static_cast<int>(n); });
  });
  const auto a = waiting.read_answer();
  CHECK(a.status == 503);
  CHECK(eventually([&] { return cut >= 0; }));
  CHECK(cut == 0);
  CHECK(f.counter("kingcupshunt_refusals_total{reason=\"caller_gone\"}") == 0);
}
