#include <doctest/doctest.h>

#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "kingcupshunt/control/http_client.h"

using namespace kingcupshunt;
using boost::asio::ip::tcp;

namespace {

/// Calls a server that sends `text` to one request and waits until the caller closes.
auto call_answered_with(const std::string& text) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  std::thread server([&] {
    tcp::socket socket(io);
    acceptor.accept(socket);
    std::string request;
    boost::system::error_code ec;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
    boost::asio::write(socket, boost::asio::buffer(text), ec);
    char byte = 0;
    socket.read_some(boost::asio::buffer(&byte, 1), ec);
  });
  const auto endpoint = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  auto out = control::call(endpoint, "GET", "/", "", base::seconds(10));
  server.join();
  return out;
}

} // namespace

// Guards against a command that takes a status that HTTP does not know for an answer.
TEST_CASE("a call that is answered with an invalid status gives an error") {
  for (const std::string status : {"000", "001", "099", "600", "999", "2000", "20", "2x0", "-20"}) {
    CAPTURE(status);
    CHECK(!call_answered_with("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok"));
  }
  const auto valid = call_answered_with("HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(valid);
  CHECK(valid.value().status == 599);
}
