#include "harness.h"

#include <doctest/doctest.h>

#include "kingcupshunt/proxy/tunnel_server.h"

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;
using health::attempt_end;

// An instance that has lost its network path to the backend servers reaches them through another
// one. The direct address of the server is a port on which nobody listens; the other instance
// resolves the server to its real address.

namespace {

peer::handshake_settings handshake_of(const std::string& id, const std::string& secret) {
  peer::handshake_settings out;
  out.self_id = id;
  out.fleet = "test";
  out.secret = secret;
  return out;
}

std::string unused_address() {
  boost::asio::io_context io;
  const tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// Another instance that reaches one backend server.
struct other_instance {
  explicit other_instance(const std::string& server)
      : tunnels(
            io, {"127.0.0.1", 0, handshake_of("other", "secret")},
            [server](const std::string&) { return server; }, metrics),
        thread([this] { io.run(); }) {}
  ~other_instance() {
    io.stop();
    thread.join();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(tunnels.port()); }

  boost::asio::io_context io;
  observe::metrics metrics;
  tunnel_server tunnels;
  std::thread thread;
};

struct cut_off_fixture : fixture {
  explicit cut_off_fixture(const std::string& tunnel, const std::string& secret = "secret",
                           const std::function<void(entry_settings&)>& change = {})
      : fixture({unused_address()}, [&](entry_settings& s) {
          s.tunnel_handshake = handshake_of("cut-off", secret);
          if (change) {
            change(s);
          }
        }) {
    decisions.reserve = nullptr;
    decisions.plan_connection = [tunnel](const std::string&) {
      return connection_plan{true, tunnel, std::nullopt};
    };
    decisions.note_connection = [this](const connection_outcome& o) {
      const std::lock_guard lock(mutex);
      outcomes.push_back(o);
    };
    start();
  }
  std::vector<connection_outcome> outcomes;
};

} // namespace

// Guards against refusing requests because only this instance has lost its path to the servers.
TEST_CASE("a request reaches a server through another instance when this one cannot connect") {
  backend server(always(ok_answer("through")));
  other_instance other(server.id());
  cut_off_fixture f(other.address());
  const auto answer = f.get();
  CHECK(answer.status == 200);
  CHECK(answer.body == "through");
  CHECK(f.get().status == 200);
  CHECK(server.connections() == 1); // the tunnel is reused
  const std::lock_guard lock(f.mutex);
  REQUIRE(f.outcomes.size() == 1);
  CHECK(f.outcomes[0].is_tunnelled);
  CHECK(f.outcomes[0].has_direct_failed);
}

TEST_CASE("a request that neither this nor the other instance can send has not run") {
  other_instance other(unused_address());
  cut_off_fixture f(other.address());
  CHECK(f.get().status >= 500);
  const auto log = f.log();
  REQUIRE(log.reports.size() == 1);
  CHECK(log.reports[0].end == attempt_end::connect_failed);
  const std::lock_guard lock(f.mutex);
  REQUIRE(f.outcomes.size() == 1);
  CHECK(!f.outcomes[0].is_connected);
  CHECK(f.outcomes[0].failed_tunnel == other.address());
}

TEST_CASE("an instance without the fleet's secret gets no tunnel") {
  backend server(always(ok_answer()));
  other_instance other(server.id());
  cut_off_fixture f(other.address(), "guessed");
  CHECK(f.get().status >= 500);
  CHECK(server.connections() == 0);
}

TEST_CASE("an answer through a tunnel that ends with the connection is not complete") {
  backend server([](backend& b, test_connection& c, int) {
    if (b.read_request(c)) {
      c.send("HTTP/1.1 200 OK\r\n\r\npart");
      c.close();
    }
  });
  other_instance other(server.id());
  cut_off_fixture f(other.address(), "secret",
                    [](entry_settings& s) { s.names.may_answer_end_with_connection = true; });
  CHECK(f.get().status == 502);
}

// Guards against a success from a part of an answer, when the server ends or resets its connection
// behind the tunnel.
TEST_CASE("an answer through a tunnel that stops anywhere is not a success") {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const bool is_reset : {false, true}) {
    for (const std::string& cut :
         {std::string("HTTP/1.1 200 OK\r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Length: 1"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r"),
          std::string("HTTP/1.1 100 Continue\r\n\r\n"), std::string("HTTP/1.1 200 OK\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"), chunked,
          chunked + "2\r\nok\r\n0\r\n"}) {
      CAPTURE(is_reset);
      CAPTURE(cut);
      backend server([&](backend& b, test_connection& c, int) {
        if (b.read_request(c)) {
          c.send(cut);
          std::this_thread::sleep_for(std::chrono::milliseconds(is_reset ? 5 : 0));
          is_reset ? c.reset() : c.close();
        }
      });
      other_instance other(server.id());
      cut_off_fixture f(other.address(), "secret",
                        [](entry_settings& s) { s.names.may_answer_end_with_connection = true; });
      f.on_loop([&] { f.route.kind = config::request_kind::once; });
      const auto answer = f.get();
      CHECK((answer.status == 502 || (answer.status == 200 && !answer.is_whole)));
      CHECK(server.requests() == 1);
    }
  }
}

TEST_CASE("the server's connection ends when the caller leaves") {
  std::atomic<bool> is_ended{false};
  backend server([&](backend& b, test_connection& c, int) {
    b.read_request(c);
    is_ended = c.is_closed_by_peer();
  });
  other_instance other(server.id());
  cut_off_fixture f(other.address());
  {
    test_connection caller(f.port());
    caller.send("GET /a HTTP/1.1\r\nHost: shop\r\n" + authorization() + "\r\n");
    REQUIRE(eventually([&] { return server.requests() == 1; }));
    caller.close();
  }
  CHECK(eventually([&] { return is_ended.load(); }));
}

TEST_CASE("a stopping instance closes tunnels that wait, and lets the others finish") {
  std::atomic<bool> may_answer{false};
  backend server([&](backend& b, test_connection& c, int) {
    while (b.read_request(c)) {
      eventually([&] { return may_answer.load() || b.requests() == 1; });
      c.send(ok_answer("late"));
    }
  });
  other_instance other(server.id());
  cut_off_fixture f(other.address());
  CHECK(f.get().status == 200); // leaves a tunnel that waits
  std::atomic<bool> is_stopped{false};
  std::thread caller([&] { CHECK(f.get().body == "late"); });
  REQUIRE(eventually([&] { return server.requests() == 2; }));
  boost::asio::post(other.io, [&] {
    other.tunnels.stop(base::clock::now() + base::seconds(8), [&] { is_stopped = true; });
  });
  may_answer = true;
  caller.join();
  CHECK(eventually([&] { return is_stopped.load(); }));
}
