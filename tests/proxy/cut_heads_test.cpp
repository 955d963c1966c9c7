#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;
using health::attempt_end;

// Servers that end or reset their connection at any point of an answer. Answers without a length
// are allowed throughout, since the end of the connection completes them.

namespace {

constexpr base::milliseconds time_to_read{5}; // a reset may discard bytes that were not read yet

const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<std::string> cut_answers = {
    "H",
    "HTTP/1.1 200",
    "HTTP/1.1 200 OK\r",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nContent-Len",
    "HTTP/1.1 200 OK\r\nContent-Length",
    "HTTP/1.1 200 OK\r\nContent-Length:",
    "HTTP/1.1 200 OK\r\nContent-Length: 1",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
    "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\n",
    "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\n\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\n\r\nok\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n",
    "HTTP/1.1 304 Not Modified\r\nETag: 1\r\n\r",
    "HTTP/1.1 103 Early Hints\r\nLink: </a",
    interim,
    interim + "HTTP/1.1 200 OK\r\n",
    interim + interim + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
    chunked,
    chunked + "2",
    chunked + "2\r\n",
    chunked + "2\r\nok",
    chunked + "2\r\nok\r\n",
    chunked + "2\r\nok\r\n0",
    chunked + "2\r\nok\r\n0\r\n",
    chunked + "2\r\nok\r\n0\r\n\r",
    chunked + "2\r\nok\r\n0\r\nTrailer: 1\r\n",
};

struct cut_case {
  bool is_reset = false;
  bool is_kept = false;
  bool is_repeatable = false;
};

struct cut_fixture : fixture {
  explicit cut_fixture(const std::vector<std::string>& ups, bool is_repeatable)
      : fixture(ups, [](entry_settings& s) { s.names.may_answer_end_with_connection = true; }) {
    route.kind = is_repeatable ? config::request_kind::repeatable : config::request_kind::once;
    decisions.reserve = nullptr;
    start();
  }
};

/// Sends `cut` and ends the connection, after one whole answer when the connection is to be kept.
backend::script cut_off(std::string cut, cut_case how) {
  return [cut = std::move(cut), how](backend& b, test_connection& c, int n) {
    if (n > 0) {
      return;
    }
    if (how.is_kept) {
      b.read_request(c);
      c.send(ok_answer("first"));
    }
    if (!b.read_request(c)) {
      return;
    }
    c.send(cut);
    if (how.is_reset) {
      std::this_thread::sleep_for(time_to_read);
      c.reset();
    }
  };
}

/// Returns what is wrong with the result of one cut answer; empty when nothing is.
std::string fault_of(const std::string& cut, cut_case how) {
  backend cuts(cut_off(cut, how));
  backend good(always(ok_answer("whole")));
  cut_fixture f({cuts.id(), good.id()}, how.is_repeatable);
  if (how.is_kept && f.get().body != "first") {
    return "the first answer is not whole";
  }
  const int before = cuts.requests();
  const auto a = f.get();
  const int sent = cuts.requests() - before + good.requests();
  if (how.is_repeatable) {
    const bool is_good = a.status == 200 && a.is_whole && a.body == "whole";
    const bool is_broken_off = a.status == 200 && !a.is_whole && good.requests() == 0;
    return is_good || is_broken_off ? "" : "neither repeated nor broken off";
  }
  if (sent != 1) {
    return "sent " + std::to_string(sent) + " times";
  }
  const bool is_failure = a.status == 502 || (a.status == 200 && !a.is_whole);
  return is_failure ? "" : "status " + std::to_string(a.status) + " with \"" + a.body + "\"";
}

std::string printable(std::string text) {
  for (std::size_t at = 0; (at = text.find_first_of("\r\n", at)) != std::string::npos; at += 2) {
    text.replace(at, 1, text[at] == '\r' ? "\\r" : "\\n");
  }
  return text;
}

void check_all(const std::vector<std::string>& cuts, cut_case how) {
  for (const auto& cut : cuts) {
    CAPTURE(printable(cut));
    CHECK(fault_of(cut, how) == "");
  }
}

} // namespace

// Guards against a success that the server never completed.
TEST_CASE("an answer that stops anywhere with its connection is not a success") {
  for (const bool is_reset : {false, true}) {
    for (const bool is_kept : {false, true}) {
      for (const bool is_repeatable : {false, true}) {
        CAPTURE(is_reset);
        CAPTURE(is_kept);
        CAPTURE(is_repeatable);
        check_all(cut_answers, {is_reset, is_kept, is_repeatable});
      }
    }
  }
}

// Guards against taking a reset for the end of an answer without a length.
TEST_CASE("an answer without a length is complete after an orderly end and not after a reset") {
  const std::string open_ended = "HTTP/1.1 200 OK\r\n\r\npart";
  for (const bool is_kept : {false, true}) {
    CAPTURE(is_kept);
    CHECK(fault_of(open_ended, {false, is_kept, false}) == "status 200 with \"part\"");
    CHECK(fault_of(open_ended, {true, is_kept, false}) == "");
    CHECK(fault_of(open_ended, {true, is_kept, true}) == "");
    CHECK(fault_of("HTTP/1.1 200 OK\r\n\r\n", {true, is_kept, false}) == "");
  }
}

// Guards against a reset that the write of the request learns of first, after which the read sees
// an orderly end.
TEST_CASE("an answer without a length that is reset while the request is written is not complete") {
  constexpr std::size_t body_bytes = 48U << 20U; // more than the sockets' buffers hold
  std::atomic<std::size_t> sent{0};
  backend b([&](backend& self, test_connection& c, int) {
    self.note(c.read_head());
    c.send("HTTP/1.1 200 OK\r\n\r\npart");
    for (std::size_t before = 1; before != sent;) { // until the entry waits to write
      before = sent;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    c.reset();
  });
  cut_fixture f({b.id()}, true);
  test_connection caller(f.port());
  std::thread writer([&] {
    caller.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: " + std::to_string(body_bytes) +
                "\r\n\r\n");
    const std::string piece(std::size_t{64} * 1024, 'x');
    while (sent < body_bytes && caller.send(piece)) {
      sent += piece.size();
    }
  });
  const auto a = caller.read_answer();
  caller.close();
  writer.join();
  CHECK(a.status == 502);
  CHECK(a.field("x-kingcupshunt-reason") == "answer_truncated");
}

// Guards against ending a forwarded body as complete when the server's part of it was reset.
TEST_CASE("a long answer without a length is broken off after a reset") {
  const std::string body(std::size_t{300} * 1024, 'x');
  for (const bool is_reset : {false, true}) {
    CAPTURE(is_reset);
    std::atomic<bool> may_end{false};
    backend b([&](backend& self, test_connection& c, int) {
      self.read_request(c);
      c.send("HTTP/1.1 200 OK\r\n\r\n" + body);
      eventually([&] { return may_end.load(); });
      if (is_reset) {
        c.reset();
      }
    });
    fixture f({b.id()}, [](entry_settings& s) {
      s.names.may_answer_end_with_connection = true;
      s.max_stored_answer_bytes = std::size_t{64} * 1024;
    });
    f.start();
    test_connection caller(f.port());
    caller.send("GET /a HTTP/1.1\r\nHost: shop\r\n\r\n");
    CHECK(caller.read_head().find("chunked") != std::string::npos);
    caller.read_exactly(body.size()); // the sizes of the chunks are left to read
    may_end = true;
    std::string rest;
    for (auto c = caller.read_exactly(1); !c.empty(); c = caller.read_exactly(1)) {
      rest += c;
      if (rest.ends_with("\r\n0\r\n\r\n")) {
        break;
      }
    }
    CHECK(rest.ends_with("\r\n0\r\n\r\n") == !is_reset);
  }
}

// Guards against a success from a part of the head of an answer without a body.
TEST_CASE("an answer to HEAD is complete with its blank line only") {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n";
  for (const bool is_reset : {false, true}) {
    for (const std::size_t missing : {0, 1, 2, 3, 5, 20}) {
      CAPTURE(is_reset);
      CAPTURE(missing);
      backend b(cut_off(head.substr(0, head.size() - missing), {is_reset, false, false}));
      cut_fixture f({b.id()}, false);
      test_connection caller(f.port());
      caller.send("HEAD /a HTTP/1.1\r\nHost: shop\r\n\r\n");
      const auto a = caller.read_answer(true);
      // A reset may discard a head that was not read yet.
      const bool is_whole = missing == 0 && !is_reset;
      CHECK((a.status == (is_whole ? 200 : 502) || (missing == 0 && a.status == 200)));
      CHECK(b.requests() == 1);
    }
  }
}

// Guards against a head without an end that holds the caller beyond the deadline.
TEST_CASE("a head that stops without an end of the connection is refused at the deadline") {
  for (const std::string cut : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
                                "HTTP/1.1 100 Continue\r\n\r\n"}) {
    CAPTURE(printable(cut));
    backend b([&](backend& self, test_connection& c, int) {
      self.read_request(c);
      c.send(cut);
      c.read_exactly(1);
    });
    cut_fixture f({b.id()}, false);
    f.on_loop([&] { f.service.timeout = base::milliseconds(100); });
    CHECK(f.get().status == 504);
    CHECK(b.requests() == 1);
  }
}

// Guards against treating a server that crashed after an interim answer as a stale connection,
// which would send the request to it again without a budget.
TEST_CASE("a kept connection that ends after an interim answer is not stale") {
  backend b(cut_off(interim, {false, true, true}));
  cut_fixture f({b.id()}, true);
  f.get();
  CHECK(f.get().status == 502);
  REQUIRE(eventually([&] { return f.log().reports.size() == 2; }));
  CHECK(f.log().reports[1].end == attempt_end::closed_unanswered);
  CHECK(b.connections() == 1);
}

// Guards against a failure that hides how an answer to another request ended.
TEST_CASE("an answer to another request that stops is truncated, or late when it stays silent") {
  const std::string foreign = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nok";
  for (const bool is_silent : {false, true}) {
    CAPTURE(is_silent);
    backend b([&](backend& self, test_connection& c, int) {
      self.read_request(c);
      c.send(foreign);
      if (is_silent) {
        c.read_exactly(1);
      }
    });
    fixture f({b.id()}, [](entry_settings& s) {
      s.names.request_id = "Request-Id";
      s.names.is_request_id_echoed = true;
    });
    f.service.timeout = base::milliseconds(is_silent ? 100 : 10'000);
    f.start();
    CHECK(f.get("/a", "Request-Id: own\r\n").status == (is_silent ? 504 : 502));
    REQUIRE(eventually([&] { return f.log().reports.size() == 1; }));
    CHECK(f.log().reports[0].end == (is_silent ? attempt_end::timed_out : attempt_end::truncated));
  }
}
