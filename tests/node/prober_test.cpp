#include <doctest/doctest.h>

#include <optional>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "../../src/node/prober.h"

using namespace kingcupshunt;
using boost::asio::ip::tcp;

namespace {

struct listener {
  boost::asio::io_context io;
  tcp::acceptor acceptor{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  node::prober prober{io};
  std::optional<bool> is_alive;

  void check() {
    const auto port = std::to_string(acceptor.local_endpoint().port());
    prober.check_alive("127.0.0.1:" + port, [this](bool is) { is_alive = is; });
  }
};

/// Probes a server that sends `text` and ends its connection, or resets it.
health::probe_outcome probe_of(const std::string& text, bool is_reset) {
  listener l;
  std::thread server([&] {
    boost::asio::io_context io;
    tcp::socket socket(io);
    l.acceptor.accept(socket);
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    boost::asio::write(socket, boost::asio::buffer(text));
    if (is_reset) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5)); // until the text was read
      socket.set_option(boost::asio::socket_base::linger(true, 0));
    }
    socket.close();
  });
  auto out = health::probe_outcome::bad_status;
  l.prober.probe("127.0.0.1:" + std::to_string(l.acceptor.local_endpoint().port()), "/",
                 base::seconds(10), [&](health::probe_outcome outcome) { out = outcome; });
  l.io.run();
  server.join();
  return out;
}

} // namespace

// Guards against a server counted as well although it cannot complete an answer.
TEST_CASE("a probe whose answer stops with its connection has failed") {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const bool is_reset : {false, true}) {
    for (const std::string& cut :
         {std::string("HTTP/1.1 200 OK\r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Le"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 1"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"), chunked,
          chunked + "2\r\nok", chunked + "2\r\nok\r\n0\r\n"}) {
      CAPTURE(is_reset);
      CAPTURE(cut);
      CHECK(probe_of(cut, is_reset) == health::probe_outcome::failed);
    }
  }
  CHECK(probe_of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false) ==
        health::probe_outcome::ok);
}

// Guards against taking an interim answer for the server's answer.
TEST_CASE("a probe's outcome is that of the final answer") {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  const std::string busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (const bool is_reset : {false, true}) {
    CAPTURE(is_reset);
    CHECK(probe_of(interim, is_reset) == health::probe_outcome::failed);
    CHECK(probe_of(interim + "HTTP/1.1 200 OK\r\n", is_reset) == health::probe_outcome::failed);
  }
  CHECK(probe_of(interim + interim + busy, false) == health::probe_outcome::bad_status);
  CHECK(probe_of(interim + ok, false) == health::probe_outcome::ok);
}

TEST_CASE("a listener that closes with connections in its backlog is not alive") {
  listener l;
  l.check();
  // The kernel completes the connection before the terminating process closes its listener.
  l.io.run_one();
  REQUIRE(!l.is_alive);
  l.acceptor.close();
  l.io.run();
  REQUIRE(l.is_alive);
  CHECK(!*l.is_alive);
}

TEST_CASE("a server that keeps a connection open or continues to accept is alive") {
  listener l;
  l.check();
  l.io.run(); // not accepted; the connection stays in the backlog
  REQUIRE(l.is_alive);
  CHECK(*l.is_alive);

  listener full;
  int accepted = 0;
  std::function<void()> accept = [&] {
    full.acceptor.async_accept([&](auto ec, tcp::socket socket) {
      accepted += ec ? 0 : 1;
      socket.close();
      if (!ec && !full.is_alive && accepted < 3) {
        accept();
      }
    });
  };
  accept();
  full.check();
  full.io.run();
  REQUIRE(full.is_alive);
  CHECK(*full.is_alive);
  CHECK(accepted == 3);
}

// Guards against taking an answer that is not valid HTTP for an interim one, or for the status of a
// server that serves.
TEST_CASE("a probe that is answered with an invalid status has failed") {
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (const std::string status : {"000", "001", "099", "600", "999", "2000", "20", "2x0", "-20"}) {
    CAPTURE(status);
    CHECK(probe_of("HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n" + ok, false) ==
          health::probe_outcome::failed);
  }
}
