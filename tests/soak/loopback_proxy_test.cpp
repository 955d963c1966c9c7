#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "loopback_proxy.h"

using namespace kingcupshunt;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// A connection through a proxy, with both ends in hand.
struct test_link {
  boost::asio::io_context io;
  tcp::acceptor listener{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  std::uint16_t port = free_port();
  std::shared_ptr<soak::loopback_proxy> proxy = std::make_shared<soak::loopback_proxy>(
      io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port),
      listener.local_endpoint());
  tcp::socket near{io};
  tcp::socket far{io};

  test_link() {
    proxy->start();
    connect();
  }

  std::uint16_t free_port() {
    return tcp::acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        .local_endpoint()
        .port();
  }

  void connect() {
    near = tcp::socket(io);
    far = tcp::socket(io);
    near.async_connect({boost::asio::ip::make_address("127.0.0.1"), port}, [](error_code) {});
    listener.async_accept(far, [](error_code) {});
    play();
  }

  void play() {
    io.restart();
    io.run_for(base::milliseconds(50));
  }

  // Bytes that arrive at `to` after some were written to `from`.
  std::size_t send(tcp::socket& from, tcp::socket& to) {
    error_code ec;
    boost::asio::write(from, boost::asio::buffer("hello", 5), ec);
    play();
    return to.available(ec);
  }
};

} // namespace

TEST_CASE("a link forwards both ways") {
  test_link l;
  CHECK(l.send(l.near, l.far) == 5);
  CHECK(l.send(l.far, l.near) == 5);
}

TEST_CASE("a cut in one direction silences the connection for good, a new one works after it") {
  test_link l;
  l.proxy->set_state({base::milliseconds(0), false, true});
  CHECK(l.send(l.near, l.far) == 5);
  CHECK(l.send(l.far, l.near) == 0);
  l.proxy->set_state({});
  CHECK(l.send(l.far, l.near) == 0);
  l.connect();
  CHECK(l.send(l.far, l.near) == 5);
}

TEST_CASE("open connections can go silent while new ones work") {
  test_link l;
  l.proxy->silence_all();
  CHECK(l.send(l.near, l.far) == 0);
  l.connect();
  CHECK(l.send(l.near, l.far) == 5);
}

TEST_CASE("a reset reaches both ends") {
  test_link l;
  l.proxy->reset_all();
  l.play();
  char byte = 0;
  error_code near_error;
  error_code far_error;
  l.near.read_some(boost::asio::buffer(&byte, 1), near_error);
  l.far.read_some(boost::asio::buffer(&byte, 1), far_error);
  CHECK(near_error);
  CHECK(far_error);
}
