#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;
using health::attempt_end;

namespace {

const std::string get_a = "GET /a HTTP/1.1\r\nHost: shop\r\n\r\n";

backend::script close_unanswered() {
  return [](backend& b, test_connection& c, int) { b.read_request(c); };
}

} // namespace

TEST_CASE("a failed try is repeated on another server") {
  backend bad(close_unanswered());
  backend good(always(ok_answer("good")));
  fixture f({bad.id(), good.id()});
  f.start();
  CHECK(f.get().body == "good");
  REQUIRE(eventually([&] { return f.log().reports.size() == 2; }));
  CHECK(f.log().reports[0].end == attempt_end::closed_unanswered);
  CHECK(f.log().reports[1].end == attempt_end::ok);
  CHECK(f.counter("kingcupshunt_retries_total{reason=\"closed_unanswered\"}") == 1);
}

TEST_CASE("a small body is sent again whole, a streamed one is not") {
  backend bad(close_unanswered());
  backend good(always(ok_answer("good")));
  fixture f({bad.id(), good.id()});
  f.start();
  test_connection c(f.port());
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 5\r\n\r\nhello");
  CHECK(c.read_answer().body == "good");
  CHECK(good.received().ends_with("\r\n\r\nhello"));
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 70000\r\n\r\n" +
         std::string(70'000, 'x'));
  const auto a = c.read_answer();
  CHECK(a.status == 502);
  CHECK(a.field("x-kingcupshunt-ran") == "unknown");
  CHECK(good.requests() == 1);
}

TEST_CASE("no try follows when the budget refuses it") {
  backend bad(close_unanswered());
  backend good(always(ok_answer("good")));
  fixture f({bad.id(), good.id()});
  f.decisions.may_retry = [](const auto&, const auto&) { return false; };
  f.start();
  CHECK(f.get().status == 502);
  CHECK(good.requests() == 0);
}

TEST_CASE("an error answer is kept and given when no try does better") {
  const std::string error = "HTTP/1.1 500 Oops\r\nContent-Length: 5\r\n\r\nfirst";
  backend one(always(error));
  backend two(close_unanswered());
  fixture f({one.id(), two.id()});
  f.start();
  const auto a = f.get();
  CHECK(a.status == 500);
  CHECK(a.body == "first");
  REQUIRE(eventually([&] { return f.log().finished == 1; }));
  CHECK(f.log().reports.size() == 2); // each try is reported once
}

TEST_CASE("a shed request runs elsewhere and the refusal of the last one is passed on") {
  const std::string shed = "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy";
  backend one(always(shed));
  backend two(always(ok_answer("two")));
  fixture f({one.id(), two.id()});
  f.service.timeout = base::milliseconds(500);
  f.start();
  CHECK(f.get().body == "two");
  REQUIRE(eventually([&] { return f.log().reports.size() == 2; }));
  CHECK(f.log().reports[0].end == attempt_end::shed);
  f.on_loop([&] { f.upstreams = {one.id()}; });
  const auto a = f.get();
  CHECK(a.status == 503);
  CHECK(a.field("retry-after") == "1");
}

TEST_CASE("tries of one request are bounded") {
  std::vector<std::unique_ptr<backend>> all;
  std::vector<std::string> ids;
  for (int i = 0; i < 6; ++i) {
    all.push_back(std::make_unique<backend>(close_unanswered()));
    ids.push_back(all.back()->id());
  }
  fixture f(ids, [](entry_settings& s) { s.max_tries = 3; });
  f.start();
  CHECK(f.get().status == 502);
  CHECK(f.log().reports.size() == 3);
}

TEST_CASE("a late lookup is sent a second time and the loser is cancelled") {
  std::atomic<bool> is_cancelled{false};
  backend slow([&](backend& self, test_connection& c, int) {
    if (self.read_request(c)) {
      is_cancelled = c.is_closed_by_peer();
    }
  });
  backend fast(always(ok_answer("fast")));
  fixture f({slow.id(), fast.id()});
  f.decisions.hedge_delay = [](const auto&) { return base::milliseconds(20); };
  f.start();
  CHECK(f.get().body == "fast");
  CHECK(eventually([&] { return is_cancelled.load(); }));
  REQUIRE(eventually([&] { return f.log().reports.size() == 2; }));
  CHECK(f.counter("kingcupshunt_retries_total{reason=\"hedge\"}") == 1);
  int cancelled = 0;
  for (const auto& r : f.log().reports) {
    cancelled += r.end == attempt_end::cancelled ? 1 : 0;
  }
  CHECK(cancelled == 1);
}

TEST_CASE("a hedge that fails does not end the first try") {
  std::atomic<bool> may_answer{false};
  backend slow([&](backend& self, test_connection& c, int) {
    self.read_request(c);
    may_answer.wait(false);
    c.send(ok_answer("slow"));
  });
  backend failing([&](backend& self, test_connection& c, int) {
    self.read_request(c);
    may_answer = true;
    may_answer.notify_all();
  });
  fixture f({slow.id(), failing.id()});
  f.decisions.hedge_delay = [](const auto&) { return base::milliseconds(20); };
  f.start();
  CHECK(f.get().body == "slow");
}

TEST_CASE("a pooled connection that fails in use is no evidence against the server") {
  // Closes after reading the second request on a connection: it was alive when it was taken.
  backend b([](backend& self, test_connection& c, int) {
    if (self.read_request(c)) {
      c.send(ok_answer());
      self.read_request(c);
    }
  });
  fixture f({b.id()});
  f.start();
  test_connection c(f.port());
  for (int i = 0; i < 3; ++i) {
    c.send(get_a);
    CHECK(c.read_answer().status == 200);
  }
  REQUIRE(eventually([&] { return f.log().reports.size() == 3; }));
  for (const auto& r : f.log().reports) {
    CHECK(r.end == attempt_end::ok);
  }
  CHECK(f.log().retries_requested == 0);
  CHECK(f.counter("kingcupshunt_retries_total{reason=\"stale_connection\"}") >= 1);
}

TEST_CASE("a streamed body on a connection that fails is reported as stale and not resent") {
  backend b([](backend& self, test_connection& c, int) {
    if (self.read_request(c)) {
      c.send(ok_answer());
      c.read_head();
    }
  });
  fixture f({b.id()});
  f.start();
  test_connection c(f.port());
  c.send(get_a);
  CHECK(c.read_answer().status == 200);
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 70000\r\n\r\n" +
         std::string(70'000, 'x'));
  const auto a = c.read_answer();
  CHECK(a.field("x-kingcupshunt-reason") == "upstream_connection_stale");
  CHECK(a.field("x-kingcupshunt-ran") == "unknown");
  REQUIRE(eventually([&] { return f.log().reports.size() == 2; }));
  CHECK(f.log().reports[1].end == attempt_end::stale_connection);
}

TEST_CASE("a connection that went silent is told from a dead server") {
  std::atomic<bool> is_silent{false};
  backend b([&](backend& self, test_connection& c, int n) {
    while (self.read_request(c)) {
      if (n == 0 && is_silent) {
        c.is_closed_by_peer(); // reads on without ever answering
        return;
      }
      c.send(ok_answer(std::to_string(n)));
    }
  });
  fixture f({b.id()}, [](entry_settings& s) { s.silence_timeout = base::milliseconds(50); });
  f.start();
  test_connection c(f.port());
  c.send(get_a);
  CHECK(c.read_answer().body == "0");
  is_silent = true;
  c.send(get_a);
  CHECK(c.read_answer().body == "1");
  REQUIRE(eventually([&] { return f.log().reports.size() == 2; }));
  CHECK(f.log().reports[1].end == attempt_end::ok);
  CHECK(f.counter("kingcupshunt_upstream_stale_connections_total{kind=\"silent\"}") == 1);
}

TEST_CASE("a server that answers on no connection counts as timed out") {
  std::atomic<bool> is_silent{false};
  backend b([&](backend& self, test_connection& c, int) {
    while (self.read_request(c)) {
      if (is_silent) {
        c.is_closed_by_peer();
        return;
      }
      c.send(ok_answer());
    }
  });
  fixture f({b.id()}, [](entry_settings& s) { s.silence_timeout = base::milliseconds(30); });
  f.service.timeout = base::milliseconds(200);
  f.start();
  test_connection c(f.port());
  c.send(get_a);
  CHECK(c.read_answer().status == 200);
  is_silent = true;
  c.send(get_a);
  CHECK(c.read_answer().status == 504);
  REQUIRE(eventually([&] { return f.log().reports.size() == 2; }));
  CHECK(f.log().reports[1].end == attempt_end::timed_out);
}
