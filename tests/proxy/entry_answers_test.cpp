#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;
using health::attempt_end;

namespace {

/// A backend that sends `text` once for each request and then closes.
backend::script once(std::string text) {
  return [text = std::move(text)](backend& b, test_connection& c, int) {
    if (b.read_request(c)) {
      c.send(text);
    }
  };
}

void no_retries(fixture& f) {
  f.decisions.may_retry = [](const auto&, const auto&) { return false; };
}

const std::string get_a = "GET /a HTTP/1.1\r\nHost: shop\r\n\r\n";

} // namespace

TEST_CASE("answers that are not whole become refusals before their first byte went out") {
  struct example {
    const char* text;
    const char* reason;
    attempt_end end;
  };
  for (const auto& e : {
           example{"", "upstream_closed", attempt_end::closed_unanswered},
           example{"HTTP/1.1 200 OK\r\nContent-", "answer_truncated", attempt_end::truncated},
           example{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", "answer_truncated",
                   attempt_end::truncated},
           example{"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                   "answer_truncated", attempt_end::truncated},
           example{"HTTP/1.1 2xx OK\r\n\r\n", "answer_malformed", attempt_end::malformed},
           example{"SSH-2.0-OpenSSH\r\n\r\n", "answer_malformed", attempt_end::malformed},
           example{"HTTP/1.1 200 OK\r\n\r\nuntil the end", "answer_malformed",
                   attempt_end::malformed},
           example{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na",
                   "answer_malformed", attempt_end::malformed},
           example{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                   "answer_malformed", attempt_end::malformed},
           example{"HTTP/1.1 101 Switching\r\n\r\n", "answer_malformed", attempt_end::malformed},
           example{"HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n", "answer_malformed",
                   attempt_end::malformed},
       }) {
    CAPTURE(e.text);
    backend b(once(e.text));
    fixture f({b.id()});
    no_retries(f);
    f.start();
    const auto a = f.get();
    CHECK(a.status == 502);
    CHECK(a.field("x-kingcupshunt-reason") == e.reason);
    CHECK(a.field("x-kingcupshunt-ran") == "unknown");
    REQUIRE(eventually([&] { return f.log().reports.size() == 1; }));
    CHECK(f.log().reports[0].end == e.end);
  }
}

TEST_CASE("an answer cut within its body cuts the caller's connection") {
  for (const std::string framing : {"Content-Length: 300000", "Transfer-Encoding: chunked"}) {
    CAPTURE(framing);
    backend b(once("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n5\r\nabcde\r\n"));
    fixture f({b.id()});
    f.start();
    test_connection c(f.port());
    c.send(get_a);
    const auto a = c.read_answer();
    CHECK(a.status == 200);
    CHECK(!a.is_whole);
    CHECK(c.is_closed_by_peer());
    REQUIRE(eventually([&] { return f.log().reports.size() == 1; }));
    CHECK(f.log().reports[0].end == attempt_end::truncated);
  }
}

TEST_CASE("an answer that stalls within its body is cut at the deadline") {
  backend b([](backend& self, test_connection& c, int) {
    self.read_request(c);
    c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    c.read_head();
  });
  fixture f({b.id()});
  f.service.timeout = base::milliseconds(100);
  f.start();
  test_connection c(f.port());
  c.send(get_a);
  CHECK(!c.read_answer().is_whole);
  CHECK(c.is_closed_by_peer());
  REQUIRE(eventually([&] { return f.log().reports.size() == 1; }));
  CHECK(f.log().reports[0].end == attempt_end::timed_out);
}

TEST_CASE("a late answer never reaches another request") {
  // The first request times out; its answer comes later on the same connection.
  std::atomic<bool> may_answer{false};
  backend b([&](backend& self, test_connection& c, int n) {
    if (!self.read_request(c)) {
      return;
    }
    if (n == 0) {
      may_answer.wait(false);
      c.send(ok_answer("late"));
      return;
    }
    c.send(ok_answer("own"));
  });
  fixture f({b.id()});
  f.service.timeout = base::milliseconds(100);
  no_retries(f);
  f.start();
  test_connection c(f.port());
  c.send(get_a);
  const auto first = c.read_answer();
  CHECK(first.status == 504);
  CHECK(first.field("x-kingcupshunt-reason") == "upstream_timeout");
  CHECK(first.field("x-kingcupshunt-ran") == "unknown");
  may_answer = true;
  may_answer.notify_all();
  c.send(get_a);
  CHECK(c.read_answer().body == "own");
  CHECK(b.connections() == 2);
}

TEST_CASE("a connection with bytes behind the answer is not used again") {
  backend b([](backend& self, test_connection& c, int n) {
    while (self.read_request(c)) {
      c.send(n == 0 ? ok_answer("own") + ok_answer("smuggled") : ok_answer("second"));
    }
  });
  fixture f({b.id()});
  f.start();
  test_connection c(f.port());
  c.send(get_a);
  CHECK(c.read_answer().body == "own");
  c.send(get_a);
  CHECK(c.read_answer().body == "second");
  CHECK(b.connections() == 2);
}

TEST_CASE("Connection: close of an upstream is obeyed and not passed on") {
  // The connection stays open: a second request on it would wait forever.
  backend b([](backend& self, test_connection& c, int) {
    self.read_request(c);
    c.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na");
    c.read_exactly(1'000'000);
  });
  fixture f({b.id()});
  f.settings.silence_timeout = base::seconds(60);
  f.start();
  test_connection c(f.port());
  for (int i = 0; i < 2; ++i) {
    c.send(get_a);
    const auto a = c.read_answer();
    CHECK(a.body == "a");
    CHECK(!a.fields.contains("connection"));
  }
  CHECK(b.connections() == 2);
}

TEST_CASE("the upstream's work is cancelled when the caller goes away") {
  std::atomic<bool> is_cancelled{false};
  backend b([&](backend& self, test_connection& c, int) {
    if (self.read_request(c)) {
      is_cancelled = c.is_closed_by_peer();
    }
  });
  fixture f({b.id()});
  f.start();
  {
    test_connection c(f.port());
    c.send(get_a);
    CHECK(eventually([&] { return b.requests() == 1; }));
    c.close();
  }
  CHECK(eventually([&] { return is_cancelled.load(); }));
  REQUIRE(eventually([&] { return f.log().finished == 1; }));
  CHECK(f.log().reports[0].end == attempt_end::cancelled);
  CHECK(f.counter("kingcupshunt_refusals_total{reason=\"caller_gone\"}") == 1);
}

TEST_CASE("the upstream's work is cancelled when the caller goes away within the answer") {
  std::atomic<bool> is_cancelled{false};
  backend b([&](backend& self, test_connection& c, int) {
    if (self.read_request(c)) {
      c.send("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\nabc");
      is_cancelled = c.is_closed_by_peer();
    }
  });
  fixture f({b.id()});
  f.start();
  test_connection c(f.port());
  c.send(get_a);
  c.read_head();
  c.close();
  CHECK(eventually([&] { return is_cancelled.load(); }));
  REQUIRE(eventually([&] { return f.log().reports.size() == 1; }));
  CHECK(f.log().reports[0].end == attempt_end::cancelled);
}

TEST_CASE("a turn granted after the caller left is given back") {
  fixture f;
  std::function<void(decided<void>)> grant;
  std::atomic<bool> is_requested{false};
  f.decisions.admit = [&](const auto&, const auto&, auto done) {
    grant = done;
    is_requested = true;
  };
  f.start();
  test_connection c(f.port());
  c.send(get_a);
  CHECK(eventually([&] { return is_requested.load(); }));
  c.close();
  CHECK(eventually(
      [&] { return f.counter("kingcupshunt_refusals_total{reason=\"caller_gone\"}") == 1; }));
  CHECK(f.log().finished == 0);
  f.on_loop([&] { grant(base::success()); });
  CHECK(f.log().finished == 1);
}

TEST_CASE("an answer that comes before the body's end is passed on, the connections are closed") {
  backend b([](backend& self, test_connection& c, int n) {
    if (n > 0) {
      always(ok_answer())(self, c, n);
      return;
    }
    self.note(c.read_head());
    c.send("HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno");
    c.read_exactly(10'000'000);
  });
  fixture f({b.id()}, [](entry_settings& s) { s.silence_timeout = base::seconds(60); });
  f.start();
  test_connection c(f.port());
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 10000000\r\n\r\n" +
         std::string(100'000, 'x'));
  const auto a = c.read_answer();
  CHECK(a.status == 403);
  CHECK(a.body == "no");
  CHECK(a.field("connection") == "close");
  CHECK(c.is_closed_by_peer());
  CHECK(f.get().status == 200); // a new request is not taken for the rest of the body
}

TEST_CASE("a server that dies within a streamed body is a refusal with its true reason") {
  backend b([](backend& self, test_connection& c, int) {
    self.note(c.read_head());
    c.reset();
  });
  fixture f({b.id()});
  f.start();
  test_connection c(f.port());
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 10000000\r\n\r\nabc");
  const auto a = c.read_answer(); // the caller has not sent its whole body yet
  CHECK(a.field("x-kingcupshunt-reason") == "upstream_closed");
  CHECK(a.field("x-kingcupshunt-ran") == "unknown");
}

TEST_CASE("a server that stops reading a streamed body has timed out") {
  std::atomic<bool> may_end{false};
  backend b([&](backend& self, test_connection& c, int) {
    self.note(c.read_head());
    may_end.wait(false);
  });
  fixture f({b.id()});
  f.service.timeout = base::milliseconds(300);
  f.start();
  test_connection c(f.port());
  std::thread sender([&] {
    c.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 50000000\r\n\r\n");
    c.send(std::string(50'000'000, 'x'));
  });
  REQUIRE(eventually([&] { return f.log().reports.size() == 1; }));
  CHECK(f.log().reports[0].end == attempt_end::timed_out);
  c.close();
  sender.join();
  may_end = true;
  may_end.notify_all();
}

TEST_CASE("a connection refused by the upstream is a refusal that did not run") {
  std::string dead;
  {
    backend b(always(""));
    dead = b.id();
  }
  fixture f({dead});
  f.start();
  const auto a = f.get();
  CHECK(a.status == 502);
  CHECK(a.field("x-kingcupshunt-reason") == "upstream_connect_failed");
  CHECK(a.field("x-kingcupshunt-ran") == "no");
  REQUIRE(eventually([&] { return f.log().reports.size() == 1; }));
  CHECK(f.log().reports[0].end == attempt_end::connect_failed);
}

TEST_CASE("a request that arrives while the instance starts waits, unless its caller leaves") {
  backend b(always(ok_answer()));
  fixture f({b.id()});
  std::vector<std::function<void(decided<void>)>> waiting;
  f.decisions.wait_until_ready = [&](std::function<void(decided<void>)> done) {
    const std::lock_guard lock(f.mutex);
    waiting.push_back(std::move(done));
  };
  f.start();
  const auto count = [&] {
    const std::lock_guard lock(f.mutex);
    return waiting.size();
  };
  test_connection stays(f.port());
  stays.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 2\r\n\r\nhi");
  REQUIRE(eventually([&] { return count() == 1; }));
  test_connection leaves(f.port());
  leaves.send(get_a);
  REQUIRE(eventually([&] { return count() == 2; }));
  leaves.close();
  CHECK(eventually(
      [&] { return f.counter("kingcupshunt_refusals_total{reason=\"caller_gone\"}") == 1; }));
  CHECK(b.requests() == 0);
  f.on_loop([&] {
    for (const auto& done : waiting) {
      done(base::success());
    }
  });
  CHECK(stays.read_answer().status == 200);
  CHECK(b.requests() == 1);
}
