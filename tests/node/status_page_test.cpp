#include <string>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "../../src/node/role_runtime.h"

using namespace kingcupshunt;
using boost::asio::ip::tcp;

namespace {

std::uint16_t free_port() {
  boost::asio::io_context io;
  const tcp::acceptor a(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return a.local_endpoint().port();
}

std::string get(std::uint16_t port, const std::string& path) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  const auto request = "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request));
  std::string answer;
  boost::system::error_code ec;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
  return answer;
}

} // namespace

TEST_CASE("the status page shows names that are not UTF-8") {
  // Guards against an exception of the JSON library on the event loop, which ends the process.
  settings::role_settings s;
  s.id = "127.0.0.1";
  s.data_centre = "s\xc3";
  s.fleet_secret = "secret";
  s.peer.address = s.metrics.address = "127.0.0.1";
  s.metrics.port = free_port();
  node::role_hooks hooks;
  hooks.on_message = [](std::string_view, peer::message_kind, const std::string&) {};
  hooks.on_tick = [](base::time_point) {};
  hooks.status = [] {
    return nlohmann::json{{"evacuations", node::status_of({7, {"north\x80"}})}};
  };
  hooks.on_stop = hooks.on_reload = [] {};
  node::role_runtime runtime(s, std::move(hooks));
  REQUIRE(runtime.start());
  std::thread loop([&] { runtime.io.run_for(std::chrono::seconds(10)); });
  const auto answer = get(s.metrics.port, "/status");
  runtime.end();
  loop.join();
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.find("north\xef\xbf\xbd") != std::string::npos);
}
