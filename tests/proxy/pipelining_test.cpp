#include "harness.h"

#include <condition_variable>

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

std::string get(const std::string& path, const std::string& fields = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: shop\r\n" + authorization() + fields + "\r\n";
}

std::string post(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: shop\r\n" + authorization() +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string path_of_head(const std::string& head) {
  const auto from = head.find(' ') + 1;
  return head.substr(from, head.find(' ', from) - from);
}

/// Answers each request with its path, those whose path holds "held" only after release().
class held_backend {
public:
  held_backend()
      : server_([this](backend& self, test_connection& c, int) {
          for (std::string head; (head = c.read_head()).ends_with("\r\n\r\n");) {
            self.note(head);
            const auto path = path_of_head(head);
            if (const auto at = head.find("Content-Length: "); at != std::string::npos) {
              self.note(c.read_exactly(std::stoul(head.substr(at + 16))));
            }
            seen(path);
            c.send(ok_answer(path));
          }
        }) {}
  ~held_backend() { release(); }

  std::string id() const { return server_.id(); }
  std::string received() const { return server_.received(); }
  /// Paths in the order in which they arrived.
  std::vector<std::string> paths() const {
    const std::lock_guard lock(mutex_);
    return paths_;
  }
  bool has_seen(std::size_t n) const {
    return eventually([&] { return paths().size() >= n; });
  }
  void release() {
    const std::lock_guard lock(mutex_);
    is_released_ = true;
    released_.notify_all();
  }

private:
  void seen(const std::string& path) {
    std::unique_lock lock(mutex_);
    paths_.push_back(path);
    released_.wait(lock, [&] { return is_released_ || path.find("held") == std::string::npos; });
  }

  mutable std::mutex mutex_;
  std::condition_variable released_;
  bool is_released_ = false;
  std::vector<std::string> paths_;
  backend server_;
};

/// Paths that begin with /order belong to a route whose requests may run once.
void add_order_route(fixture& f) {
  f.decisions.authorize = [&f](const request_head& head) -> decided<authorized_request> {
    auto route = f.route;
    if (head.path.starts_with("/order")) {
      route.kind = config::request_kind::once;
    }
    return authorized_request{
        std::make_shared<config::service>(f.service), std::make_shared<config::route>(route),
        std::make_shared<config::workspace>(f.workspace), head.arrival_time + f.service.timeout};
  };
}

void expect_answers(test_connection& c, const std::vector<std::string>& bodies) {
  for (const auto& body : bodies) {
    const auto a = c.read_answer();
    CHECK(a.status == 200);
    CHECK(a.body == body);
  }
}

} // namespace

TEST_CASE("requests sent before an answer run at once and are answered in their order") {
  held_backend b;
  fixture f({b.id()});
  f.start();
  test_connection c(f.port());
  c.send(get("/held/1") + get("/2") + get("/3") + get("/4"));
  CHECK(b.has_seen(4)); // 2 to 4 do not wait for the answer to 1
  CHECK(b.paths().size() == 4);
  b.release();
  expect_answers(c, {"/held/1", "/2", "/3", "/4"});
  c.send(get("/5"));
  expect_answers(c, {"/5"});
}

TEST_CASE("with a limit of one, a request waits for the answer to the one before") {
  held_backend b;
  fixture f({b.id()}, [](entry_settings& s) { s.max_pipelined_requests = 1; });
  f.start();
  test_connection c(f.port());
  c.send(get("/held/1") + get("/2"));
  CHECK(b.has_seen(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  CHECK(b.paths().size() == 1);
  b.release();
  expect_answers(c, {"/held/1", "/2"});
}

TEST_CASE("a request that may run once waits for the answers before it, those behind for its own") {
  held_backend b;
  fixture f({b.id()});
  add_order_route(f);
  f.start();
  test_connection c(f.port());
  c.send(get("/held/1") + post("/order/2", "two") + get("/3"));
  CHECK(b.has_seen(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  CHECK(b.paths().size() == 1);
  b.release();
  expect_answers(c, {"/held/1", "/order/2", "/3"});
  CHECK(b.paths() == std::vector<std::string>{"/held/1", "/order/2", "/3"});
  CHECK(b.received().find("\r\n\r\ntwo") != std::string::npos);
}

TEST_CASE("bytes behind a request that may run once are kept while it runs") {
  held_backend b;
  fixture f({b.id()});
  add_order_route(f);
  f.start();
  test_connection c(f.port());
  c.send(post("/order/held", "one"));
  CHECK(b.has_seen(1));
  const auto next = get("/2");
  c.send(next.substr(0, 10));
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  c.send(next.substr(10));
  b.release();
  expect_answers(c, {"/order/held", "/2"});
}

TEST_CASE("more requests than are read ahead are all answered in order") {
  constexpr int count = 200;
  held_backend b;
  fixture f({b.id()}, [](entry_settings& s) { s.connections_per_upstream = 64; });
  f.start();
  test_connection c(f.port());
  std::string all = get("/held/0");
  std::vector<std::string> bodies{"/held/0"};
  for (int i = 1; i < count; ++i) {
    bodies.push_back("/" + std::to_string(i));
    all += get(bodies.back(), "X-Fill: " + std::string(1000, 'x') + "\r\n");
  }
  std::thread sender([&] { c.send(all); });
  CHECK(b.has_seen(8));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  CHECK(b.paths().size() == f.settings.max_pipelined_requests);
  b.release();
  expect_answers(c, bodies);
  sender.join();
}

TEST_CASE("an invalid head behind requests is answered after them and ends the connection") {
  held_backend b;
  fixture f({b.id()});
  f.start();
  for (const std::string& bad :
       {std::string("GET /x HTTP/1.1\r\nHost: shop\r\nX: a\x01\r\n\r\n"),
        std::string("GET /x HTTP/1.1\r\n\r\n"),
        std::string("GET /../x HTTP/1.1\r\nHost: a\r\n\r\n"),
        std::string("POST /x HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\nTransfer-Encoding: "
                    "chunked\r\n\r\n0\r\n\r\n")}) {
    CAPTURE(bad);
    test_connection c(f.port());
    c.send(get("/1") + get("/2") + bad + get("/smuggled"));
    expect_answers(c, {"/1", "/2"});
    const auto a = c.read_answer();
    CHECK(a.status == 400);
    CHECK(a.field("connection") == "close");
    CHECK(c.is_closed_by_peer());
  }
  CHECK(b.received().find("smuggled") == std::string::npos);
}

TEST_CASE("nothing behind a request with Connection: close is read") {
  held_backend b;
  fixture f({b.id()});
  f.start();
  test_connection c(f.port());
  c.send(get("/1") + get("/2", "Connection: close\r\n") + get("/3"));
  CHECK(c.read_answer().field("connection").empty());
  const auto last = c.read_answer();
  CHECK(last.body == "/2");
  CHECK(last.field("connection") == "close");
  CHECK(c.is_closed_by_peer());
  CHECK(b.paths().size() == 2);
}

TEST_CASE("refusals behind a request keep the order and the connection") {
  held_backend b;
  fixture f({b.id()});
  const auto allow = f.decisions.authorize;
  f.decisions.authorize = [allow](const request_head& head) -> decided<authorized_request> {
    if (head.path == "/unknown") {
      return refusal{404, "no_route", "", ran_state::no, std::nullopt};
    }
    return allow(head);
  };
  f.start();
  test_connection c(f.port());
  c.send(get("/held/1") + get("/unknown") + get("/3"));
  CHECK(b.has_seen(1));
  b.release();
  expect_answers(c, {"/held/1"});
  CHECK(c.read_answer().status == 404);
  expect_answers(c, {"/3"});
}

TEST_CASE("a stop answers what is at work, says close on the last answer and serves no more") {
  held_backend b;
  fixture f({b.id()});
  f.service.timeout = base::seconds(5);
  f.start();
  test_connection c(f.port());
  c.send(get("/held/1") + get("/held/2"));
  CHECK(b.has_seen(2));
  std::atomic<bool> is_stopped{false};
  f.on_loop([&] {
    f.server->stop(base::clock::now() + base::seconds(8),
                   [&](std::size_t cut) { is_stopped = cut == 0; });
  });
  c.send(get("/3")); // crosses the close
  b.release();
  const auto first = c.read_answer();
  CHECK(first.body == "/held/1");
  CHECK(first.field("connection").empty());
  const auto last = c.read_answer();
  CHECK(last.body == "/held/2");
  CHECK(last.field("connection") == "close");
  CHECK(c.is_closed_by_peer());
  c.close();
  CHECK(eventually([&] { return is_stopped.load(); }));
  CHECK(b.paths().size() == 2);
}

TEST_CASE("a caller that leaves, or half-closes, cancels all its requests") {
  std::atomic<int> ended{0};
  backend b([&](backend& self, test_connection& c, int) {
    if (self.read_request(c)) {
      c.read_exactly(1); // until the entry closes
      ++ended;
    }
  });
  fixture f({b.id()});
  f.start();
  SUBCASE("half-close") {
    test_connection c(f.port());
    c.send(get("/1") + get("/2") + get("/3"));
    CHECK(eventually([&] { return b.requests() == 3; }));
    c.finish_sending();
    CHECK(eventually([&] { return ended == 3; }));
  }
  SUBCASE("reset") {
    test_connection c(f.port());
    c.send(get("/1") + get("/2") + get("/3"));
    CHECK(eventually([&] { return b.requests() == 3; }));
    c.reset();
    CHECK(eventually([&] { return ended == 3; }));
  }
  CHECK(eventually([&] { return f.log().finished == 3; }));
}

TEST_CASE("the time limit of a request behind another counts from its arrival") {
  held_backend b;
  fixture f({b.id()}, [](entry_settings& s) { s.max_pipelined_requests = 1; });
  add_order_route(f);
  const auto allow = f.decisions.authorize;
  f.decisions.authorize = [allow](const request_head& head) {
    auto out = allow(head);
    const bool is_short = head.path == "/2";
    out.value().deadline =
        head.arrival_time + (is_short ? base::milliseconds(50) : base::milliseconds(9000));
    return out;
  };
  f.start();
  test_connection c(f.port());
  c.send(get("/held/1") + get("/2") + get("/3"));
  CHECK(b.has_seen(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(80));
  b.release();
  expect_answers(c, {"/held/1"});
  const auto late = c.read_answer();
  CHECK(late.field("x-kingcupshunt-reason") == "deadline_exceeded");
  CHECK(late.field("x-kingcupshunt-ran") == "no");
  expect_answers(c, {"/3"});
  CHECK(b.paths() == std::vector<std::string>{"/held/1", "/3"});
}

TEST_CASE("an answer that is cut ends the connection; no answer behind it follows") {
  backend b([](backend& self, test_connection& c, int) {
    for (std::string head; (head = c.read_head()).ends_with("\r\n\r\n");) {
      self.note(head);
      if (path_of_head(head) == "/large") {
        c.send("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + std::string(150000, 'x'));
        return;
      }
      c.send(ok_answer());
    }
  });
  fixture f({b.id()});
  f.route.kind = config::request_kind::download;
  f.start();
  test_connection c(f.port());
  c.send(get("/large"));
  CHECK(eventually([&] { return b.received().find("/large") != std::string::npos; }));
  c.send(get("/2"));
  const auto a = c.read_answer();
  CHECK(a.status == 200);
  CHECK(!a.is_whole);
  CHECK(c.is_closed_by_peer());
  // Part of the body was passed on, so that no other server is asked for the rest.
  CHECK(b.received().find("/large") == b.received().rfind("/large"));
}

TEST_CASE("large answers behind a slow one are held by their servers, not in memory") {
  held_backend slow;
  const std::string large(8'000'000, 'd');
  std::atomic<std::size_t> sent{0};
  backend b([&](backend& self, test_connection& c, int) {
    while (self.read_request(c)) {
      c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(large.size()) + "\r\n\r\n");
      for (std::size_t at = 0; at < large.size(); at += 100'000) {
        c.send(std::string_view(large).substr(at, 100'000));
        sent += 100'000;
      }
    }
  });
  fixture f({slow.id()});
  f.service.timeout = base::seconds(30);
  f.decisions.pick = [&](const auto& request, auto, const auto&) -> decided<upstream_target> {
    const auto id = request.serial == 0 ? slow.id() : b.id();
    return upstream_target{id, "", "127.0.0.1",
                           static_cast<std::uint16_t>(std::stoi(id.substr(id.rfind(':') + 1)))};
  };
  const auto allow = f.decisions.authorize;
  f.decisions.authorize = [allow](const request_head& head) {
    auto out = allow(head);
    out.value().serial = head.path == "/held" ? 0 : 1;
    return out;
  };
  f.start();
  test_connection c(f.port());
  c.send(get("/held") + get("/large"));
  CHECK(slow.has_seen(1));
  CHECK(eventually([&] { return b.requests() == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(sent < large.size()); // what the sockets hold
  slow.release();
  expect_answers(c, {"/held", large});
}
