#include <doctest/doctest.h>

#include <stdexcept>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "kingcupshunt/control/http_client.h"
#include "kingcupshunt/control/http_server.h"

using namespace kingcupshunt;

namespace {

constexpr std::uint16_t port = 18741;
const std::string endpoint = "127.0.0.9:18741";

// A server on its own thread for the duration of a test.
struct running_server {
  explicit running_server(control::http_handler handler)
      : server(io, {"127.0.0.9", port, 1024, 8, base::milliseconds(5000)}, std::move(handler)),
        thread([this] { io.run(); }) {}
  ~running_server() {
    boost::asio::post(io, [this] { server.stop(); });
    io.stop();
    thread.join();
  }
  boost::asio::io_context io;
  control::http_server server;
  std::thread thread;
};

} // namespace

TEST_CASE("a target is split and decoded and a malformed one is refused") {
  control::http_request r;
  REQUIRE(control::parse_target("/a%2Fb?x=1%20&y", r));
  CHECK(r.path == "/a/b");
  CHECK(r.parameter("x") == "1 ");
  CHECK(r.query.contains("y"));
  CHECK(!control::parse_target("/a%2", r));
  CHECK(!control::parse_target("a", r));
}

TEST_CASE("a call reaches the handler and an oversized body is refused") {
  const running_server running([](const auto& request, auto done) {
    done({200, "text/plain", request.method + " " + request.path + " " + request.body});
  });
  auto answer = control::call(endpoint, "POST", "/x", "body", base::milliseconds(5000));
  REQUIRE(answer);
  CHECK(answer.value().body == "POST /x body");
  answer = control::call(endpoint, "POST", "/x", std::string(2000, 'a'), base::milliseconds(5000));
  REQUIRE(answer);
  CHECK(answer.value().status == 413);
}

TEST_CASE("a call to a closed port gives an error") {
  CHECK(!control::call("127.0.0.9:18742", "GET", "/", "", base::milliseconds(2000)));
  CHECK(!control::call("nowhere", "GET", "/", "", base::milliseconds(2000)));
}

// Guards against connections that are never given back, until the server accepts no more.
TEST_CASE("a handler that throws is answered with 500 and gives its connection back") {
  const running_server running([](const auto& request, auto done) {
    if (request.path == "/odd") {
      throw std::runtime_error("odd");
    }
    done({200, "text/plain", "fine"});
  });
  for (int i = 0; i < 12; ++i) { // more than the server's connections
    const auto odd = control::call(endpoint, "POST", "/odd", "", base::milliseconds(5000));
    REQUIRE(odd);
    CHECK(odd.value().status == 500);
  }
  const auto answer = control::call(endpoint, "POST", "/x", "", base::milliseconds(5000));
  REQUIRE(answer);
  CHECK(answer.value().status == 200);
}
