#include "harness.h"

#include <doctest/doctest.h>

#include "kingcupshunt/proxy/tunnel_server.h"

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;
using health::attempt_end;

// A status is a number of three digits from 100 to 599 (RFC 9110, section 15).

namespace {

const std::vector<std::string> invalid_statuses = {"000", "001", "010", "099", "600",  "666",
                                                   "999", "0",   "1",   "20",  "2000", "65535",
                                                   "-20", "2x0", "0x2", "+20"};

std::string answer_with(const std::string& status) {
  return "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok";
}

/// Answers each request on a connection and counts the connections that the entry closes.
struct odd_server {
  explicit odd_server(std::string status)
      : server([this, text = answer_with(status)](backend& b, test_connection& c, int) {
          while (b.read_request(c)) {
            c.send(text);
          }
          ++closed;
        }) {}
  std::atomic<int> closed{0};
  backend server;
};

/// Runs `io` on its own thread, also when a check ends the test.
struct running {
  explicit running(boost::asio::io_context& i) : io(i), thread([&i] { i.run(); }) {}
  ~running() {
    io.stop();
    thread.join();
  }
  boost::asio::io_context& io;
  std::thread thread;
};

void check_refused(fixture& f, odd_server& odd, backend& other) {
  const auto answer = f.get();
  CHECK(answer.status == 502);
  CHECK(answer.field("x-kingcupshunt-reason") == "answer_malformed");
  CHECK(answer.field("x-kingcupshunt-ran") == "unknown");
  CHECK(odd.server.requests() == 1);
  CHECK(other.requests() == 0); // the first server may have run it
  const auto log = f.log();
  REQUIRE(log.reports.size() == 1);
  CHECK(log.reports[0].end == attempt_end::malformed);
  CHECK(eventually([&] { return odd.closed == 1; }));
}

} // namespace

// Guards against a request that waits for its whole timeout behind a status that is taken for an
// interim answer, and against passing on a status that callers cannot read.
TEST_CASE("an answer with an invalid status is refused with 502 at once and not tried again") {
  for (const auto& status : invalid_statuses) {
    CAPTURE(status);
    odd_server odd(status);
    backend other(always(ok_answer()));
    fixture f({odd.server.id(), other.id()});
    f.decisions.reserve = nullptr;
    f.route.kind = config::request_kind::once;
    f.start();
    check_refused(f, odd, other);
  }
}

TEST_CASE("an invalid status that follows an interim answer is refused with 502 at once") {
  for (const std::string status : {"000", "099", "600", "999"}) {
    CAPTURE(status);
    backend server(always("HTTP/1.1 103 Early Hints\r\n\r\n" + answer_with(status)));
    fixture f({server.id()});
    f.decisions.reserve = nullptr;
    f.route.kind = config::request_kind::once;
    f.start();
    CHECK(f.get().status == 502);
    CHECK(server.requests() == 1);
  }
}

// Guards against the loss of a request that another server can still serve.
TEST_CASE("a request that may be repeated is tried at another server after an invalid status") {
  for (const std::string status : {"000", "099", "600", "999"}) {
    CAPTURE(status);
    odd_server odd(status);
    backend other(always(ok_answer("other")));
    fixture f({odd.server.id(), other.id()});
    f.start();
    CHECK(f.get().body == "other");
    const auto log = f.log();
    REQUIRE(!log.reports.empty());
    CHECK(log.reports[0].end == attempt_end::malformed);
    CHECK(eventually([&] { return odd.closed == 1; }));
  }
}

TEST_CASE("an invalid status that arrives through a tunnel is refused with 502 at once") {
  for (const auto& status : invalid_statuses) {
    CAPTURE(status);
    odd_server odd(status);
    backend other(always(ok_answer()));
    boost::asio::io_context io;
    observe::metrics metrics;
    const auto handshake_of = [](const std::string& id) {
      peer::handshake_settings out;
      out.self_id = id;
      out.fleet = "test";
      out.secret = "secret";
      return out;
    };
    tunnel_server tunnels(
        io, {"127.0.0.1", 0, handshake_of("other")},
        [&](const std::string&) { return odd.server.id(); }, metrics);
    {
      const running thread(io);
      fixture f({"127.0.0.1:1", other.id()},
                [&](entry_settings& s) { s.tunnel_handshake = handshake_of("cut-off"); });
      f.decisions.reserve = nullptr;
      f.route.kind = config::request_kind::once;
      f.decisions.plan_connection = [&](const std::string&) {
        return connection_plan{false, "127.0.0.1:" + std::to_string(tunnels.port()), std::nullopt};
      };
      f.start();
      check_refused(f, odd, other);
    }
  }
}

TEST_CASE("every valid final status is passed on") {
  for (const std::string status : {"200", "226", "299", "300", "404", "499", "501", "599"}) {
    CAPTURE(status);
    backend server(always(answer_with(status)));
    fixture f({server.id()});
    f.route.kind = config::request_kind::once;
    f.decisions.reserve = nullptr;
    f.start();
    CHECK(f.get().status == std::stoi(status));
  }
}
