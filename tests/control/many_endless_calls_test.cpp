#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "kingcupshunt/control/http_client.h"
#include "kingcupshunt/control/http_server.h"
#include "support/heap_use.h"

using namespace kingcupshunt;
using namespace kingcupshunt::testing;

// Guards against a control instance that runs out of memory while many servers in trouble send it
// bytes without end: each call is within its own limit, and their sum is not bounded.

namespace {

using boost::asio::ip::tcp;

constexpr std::uint16_t port = 18743;
const std::string endpoint = "127.0.0.9:18743";
constexpr std::size_t body_limit = std::size_t{1} << 20U;
constexpr std::size_t body_memory = std::size_t{2} << 20U;
constexpr std::size_t least_per_call = std::size_t{64} << 10U;
constexpr std::size_t own_use = std::size_t{2} << 20U;
constexpr base::milliseconds timeout{8000};

/// A server on its own thread that keeps each body until its call is answered.
struct running_server {
  running_server()
      : server(io, settings(),
               [](const auto&, auto done) {
                 done({200, "text/plain", "fine", {}});
               }),
        thread([this] { io.run(); }) {}
  ~running_server() {
    boost::asio::post(io, [this] { server.stop(); });
    io.stop();
    thread.join();
  }
  /// Keeps the server from reading for `time`, so that what callers send meanwhile arrives at once.
  void hold_up(base::milliseconds time) {
    boost::asio::post(io, [time] { std::this_thread::sleep_for(time); });
  }
  static control::http_server_settings settings() {
    control::http_server_settings out;
    out.address = "127.0.0.9";
    out.port = port;
    out.body_limit = body_limit;
    out.timeout = timeout;
    out.body_memory = body_memory;
    return out;
  }
  boost::asio::io_context io;
  control::http_server server;
  std::thread thread;
};

struct endless_caller {
  endless_caller() : socket(io) {
    socket.connect({boost::asio::ip::make_address("127.0.0.9"), port});
  }
  endless_caller(const std::string& head, const std::string& piece, int pieces) : endless_caller() {
    start(head, piece, pieces);
  }
  /// Sends `head` and then `pieces` times `piece`, as far as the server takes them.
  void start(const std::string& head, const std::string& piece, int pieces) {
    thread = std::thread([this, head, piece, pieces] {
      bool is_open = send(head);
      for (int i = 0; is_open && i < pieces; ++i) {
        is_open = send(piece);
      }
    });
  }
  ~endless_caller() {
    ::shutdown(socket.native_handle(), SHUT_RDWR);
    if (thread.joinable()) {
      thread.join();
    }
  }
  bool send(std::string_view bytes) {
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    return !ec;
  }
  boost::asio::io_context io;
  tcp::socket socket;
  std::thread thread;
};

const std::string filler(std::size_t{4} * 1024, 'x');

void check_peak(std::size_t n, std::size_t before) {
  // Announcements are small and are still served.
  const auto answer = control::call(endpoint, "POST", "/x", "body", timeout);
  REQUIRE(answer);
  CHECK(answer.value().status == 200);
  CHECK(heap_peak_bytes() - before < body_memory + n * least_per_call + own_use);
}

void check_calls(std::size_t n, const std::string& start, const std::string& piece, int pieces) {
  const running_server running;
  reset_heap_peak();
  const auto before = heap_bytes();
  std::vector<std::unique_ptr<endless_caller>> callers;
  for (std::size_t i = 0; i < n; ++i) {
    callers.push_back(std::make_unique<endless_caller>(start, piece, pieces));
  }
  std::this_thread::sleep_for(base::milliseconds(1500)); // enough for what the server takes
  check_peak(n, before);
}

// As check_calls; the server finds the first bytes of all calls at once, as after a pause.
void check_calls_at_once(std::size_t n, const std::string& start, const std::string& piece,
                         int pieces) {
  running_server running;
  reset_heap_peak();
  const auto before = heap_bytes();
  std::vector<std::unique_ptr<endless_caller>> callers;
  for (std::size_t i = 0; i < n; ++i) {
    callers.push_back(std::make_unique<endless_caller>());
  }
  std::this_thread::sleep_for(base::milliseconds(300)); // until the server has accepted them
  running.hold_up(base::milliseconds(500));
  for (auto& caller : callers) {
    caller->start(start, piece, pieces);
  }
  std::this_thread::sleep_for(base::milliseconds(2000));
  check_peak(n, before);
}

} // namespace

TEST_CASE("bodies of calls that do not end share a bound, and small calls are served meanwhile") {
  const std::string chunked = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "1000\r\n" + filler + "\r\n";
  const std::string sized = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n";
  SUBCASE("in chunks") {
    check_calls(32, chunked, chunk, 250);
  }
  SUBCASE("with a length") {
    check_calls(32, sized, filler, 250);
  }
  SUBCASE("in chunks, all at once") {
    check_calls_at_once(32, chunked + chunk, chunk, 250);
  }
  SUBCASE("with a length, all at once") {
    check_calls_at_once(32, sized + filler, filler, 250);
  }
}

TEST_CASE("a call whose body finds no memory is refused, and one later is served") {
  const running_server running;
  std::vector<std::unique_ptr<endless_caller>> callers;
  const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n";
  for (int i = 0; i < 2; ++i) {
    callers.push_back(std::make_unique<endless_caller>(head, filler, 200));
  }
  std::this_thread::sleep_for(base::milliseconds(500));
  const std::string body(std::size_t{512} << 10U, 'a');
  auto answer = control::call(endpoint, "POST", "/x", body, timeout);
  REQUIRE(answer);
  CHECK(answer.value().status == 503);
  callers.clear();
  std::this_thread::sleep_for(base::milliseconds(200));
  answer = control::call(endpoint, "POST", "/x", body, timeout);
  REQUIRE(answer);
  CHECK(answer.value().status == 200);
}
