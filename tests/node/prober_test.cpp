#include <doctest/doctest.h>

#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

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

} // namespace

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
