#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

std::string post(const std::string& body, const std::string& fields = "",
                 const std::string& path = "/a") {
  return "POST " + path + " HTTP/1.1\r\nHost: shop\r\n" + authorization() + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string get_a = "GET /a HTTP/1.1\r\nHost: shop\r\n" + authorization();

} // namespace

TEST_CASE("a backend server never receives the key") {
  backend b(always(ok_answer()));
  fixture f({b.id()});
  f.start();
  const std::string key = test_key;
  for (const std::string& request :
       {get_a + "X-Copy: " + key + "\r\nCookie: a=" + key + "\r\n\r\n", get_a + key + ": 1\r\n\r\n",
        get_a + "Connection: " + key + "\r\n\r\n", get_a + "X-Request-Id: " + key + "\r\n\r\n",
        get_a + "Idempotency-Key: " + key + "\r\n\r\n",
        get_a + "Referer: http://h/?k=%6bc_0123456789abcdef\r\n\r\n",
        "GET /" + key + " HTTP/1.1\r\nHost: shop\r\n" + authorization() + "\r\n",
        "GET /a?key=" + key + " HTTP/1.1\r\nHost: shop\r\n" + authorization() + "\r\n",
        "GET /a?k=%6Bc_0123456789abcdef HTTP/1.1\r\nHost: shop\r\n" + authorization() + "\r\n",
        "GET /a HTTP/1.1\r\nHost: " + key + "\r\n" + authorization() + "\r\n",
        "POST /a HTTP/1.1\r\nHost: shop\r\n" + authorization() +
            "Trailer: X-Key\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Key: " + key +
            "\r\n\r\n"}) {
    test_connection c(f.port());
    c.send(request);
    const auto a = c.read_answer();
    CAPTURE(request);
    CHECK((a.status == 200 || a.status == 400));
  }
  const auto bytes = b.received();
  CHECK(b.requests() >= 5);
  CHECK(bytes.find("0123456789abcdef") == std::string::npos);
  CHECK(f.counter("kingcupshunt_refusals_total{reason=\"key_outside_authorization\"}") >= 4);
}

TEST_CASE("bodies with a length and in chunks are forwarded unchanged in both directions") {
  const std::string big(700'000, 'z');
  backend b([&](backend& self, test_connection& c, int) {
    while (self.read_request(c)) {
      c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (std::size_t at = 0; at < big.size(); at += 100'000) {
        c.send("186a0\r\n" + big.substr(at, 100'000) + "\r\n");
      }
      c.send("0\r\nX-Trailer: 1\r\n\r\n");
    }
  });
  fixture f({b.id()});
  f.start();
  test_connection c(f.port());
  c.send(post(big));
  auto a = c.read_answer();
  CHECK(a.is_whole);
  CHECK(a.body == big);
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 3; ++i) {
    c.send("5;ext=1\r\nhello\r\n");
  }
  c.send("0\r\n\r\n");
  a = c.read_answer();
  CHECK(a.body == big);
  const auto bytes = b.received();
  CHECK(bytes.find(big) != std::string::npos);
  std::size_t hellos = 0;
  for (auto at = bytes.find("hello"); at != std::string::npos; at = bytes.find("hello", at + 1)) {
    ++hellos;
  }
  CHECK(hellos == 3);
}

TEST_CASE("a slow upstream slows the caller down instead of letting buffers grow") {
  std::atomic<bool> may_read{false};
  backend b([&](backend& self, test_connection& c, int) {
    self.note(c.read_head());
    may_read.wait(false);
    c.read_exactly(60'000'000);
    c.send(ok_answer());
  });
  fixture f({b.id()}, [](entry_settings& s) { s.idle_timeout = base::seconds(60); });
  f.service.timeout = base::seconds(60);
  f.start();
  test_connection c(f.port());
  std::atomic<std::size_t> sent{0};
  std::thread sender([&] {
    c.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 60000000\r\n\r\n");
    const std::string piece(1'000'000, 'x');
    for (int i = 0; i < 60; ++i) {
      c.send(piece);
      ++sent;
    }
  });
  // Kernel buffers hold some megabytes; the count must stop well below the whole body.
  std::size_t last = 0;
  bool is_at_rest = false;
  for (int i = 0; i < 200 && !is_at_rest; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    is_at_rest = sent > 0 && sent == last;
    last = sent;
  }
  CHECK(is_at_rest);
  CHECK(last < 50);
  may_read = true;
  may_read.notify_all();
  sender.join();
  CHECK(c.read_answer().status == 200);
}

TEST_CASE("HEAD, 204, 304 and interim answers have no body and keep the connection open") {
  backend b([](backend& self, test_connection& c, int) {
    for (const char* answer :
         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
          "a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}) {
      if (self.read_request(c)) {
        c.send(answer);
      }
    }
  });
  fixture f({b.id()});
  f.start();
  test_connection c(f.port());
  c.send("HEAD /a HTTP/1.1\r\nHost: shop\r\n\r\n");
  auto a = c.read_answer(true);
  CHECK(a.status == 200);
  CHECK(a.field("content-length") == "5");
  c.send(get_a + "\r\n");
  a = c.read_answer();
  CHECK(a.status == 204);
  CHECK(!a.fields.contains("content-length"));
  c.send(get_a + "\r\n");
  a = c.read_answer();
  CHECK(a.status == 304);
  CHECK(a.field("content-length") == "9");
  c.send(get_a + "\r\n");
  a = c.read_answer();
  CHECK(a.status == 200);
  CHECK(a.body == "ok");
  CHECK(b.connections() == 1);
}

TEST_CASE("100 Continue is sent only after the request was admitted") {
  backend b(always(ok_answer()));
  fixture f({b.id()});
  std::function<void(decided<void>)> grant;
  std::atomic<bool> is_requested{false};
  f.decisions.admit = [&](const auto&, const auto&, auto done) {
    grant = done;
    is_requested = true;
  };
  for (const std::size_t size : {std::size_t{5}, std::size_t{100'000}}) {
    is_requested = false;
    if (!f.server) {
      f.start();
    }
    const std::string body(size, 'b');
    test_connection c(f.port());
    const auto whole = post(body, "Expect: 100-continue\r\n");
    c.send(whole.substr(0, whole.size() - size));
    CHECK(eventually([&] { return is_requested.load(); }));
    CHECK(b.received().find(body) == std::string::npos);
    f.on_loop([&] { grant(base::success()); });
    CHECK(c.read_head() == "HTTP/1.1 100 Continue\r\n\r\n");
    c.send(body);
    CHECK(c.read_answer().status == 200);
  }
  CHECK(b.received().find("Expect") == std::string::npos);

  test_connection c(f.port());
  is_requested = false;
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
  CHECK(eventually([&] { return is_requested.load(); }));
  f.on_loop([&] { grant(refusal{429, "rate", "", ran_state::no, std::nullopt}); });
  const auto a = c.read_answer();
  CHECK(a.status == 429); // no 100 before it
  CHECK(a.field("connection") == "close");
}

TEST_CASE("limits on head, fields, body and connections are enforced") {
  backend b(always(ok_answer()));
  fixture f({b.id()}, [](entry_settings& s) {
    s.max_head_bytes = 2000;
    s.max_header_fields = 10;
    s.max_connections_per_caller = 3;
  });
  f.route.body_limit = 1000;
  f.start();
  {
    test_connection c(f.port());
    c.send(get_a + "X: " + std::string(3000, 'x') + "\r\n\r\n");
    CHECK(c.read_answer().field("x-kingcupshunt-reason") == "head_too_large");
  }
  std::string many;
  for (int i = 0; i < 20; ++i) {
    many += "X" + std::to_string(i) + ": 1\r\n";
  }
  CHECK(f.get("/a", many).field("x-kingcupshunt-reason") == "too_many_headers");
  {
    test_connection c(f.port());
    c.send(post(std::string(1001, 'x')));
    CHECK(c.read_answer().field("x-kingcupshunt-reason") == "body_too_large");
  }
  {
    test_connection c(f.port());
    c.send("POST /a HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n5dc\r\n" +
           std::string(1500, 'x') + "\r\n0\r\n\r\n");
    CHECK(c.read_answer().field("x-kingcupshunt-reason") == "body_too_large");
  }
  CHECK(eventually([&] {
    std::size_t n = 1;
    f.on_loop([&] { n = f.server->connection_count(); });
    return n == 0;
  }));
  test_connection c1(f.port());
  test_connection c2(f.port());
  test_connection c3(f.port());
  CHECK(eventually([&] {
    std::size_t n = 0;
    f.on_loop([&] { n = f.server->connection_count(); });
    return n == 3;
  }));
  test_connection c4(f.port());
  CHECK(c4.read_answer().field("x-kingcupshunt-reason") == "too_many_caller_connections");
}

TEST_CASE("slow heads, slow bodies and idle connections time out") {
  backend b(always(ok_answer()));
  fixture f({b.id()}, [](entry_settings& s) {
    s.head_timeout = base::milliseconds(50);
    s.idle_timeout = base::milliseconds(200);
  });
  f.service.timeout = base::milliseconds(100);
  f.start();
  test_connection slow_head(f.port());
  slow_head.send("GET /a HT");
  CHECK(slow_head.read_answer().field("x-kingcupshunt-reason") == "head_timeout");
  test_connection idle(f.port());
  CHECK(idle.is_closed_by_peer());
  for (const char* length : {"50", "500000"}) { // read whole, streamed
    test_connection slow_body(f.port());
    slow_body.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: " + std::string(length) +
                   "\r\n\r\nabc");
    const auto a = slow_body.read_answer();
    CHECK(a.status == 408);
    CHECK(a.field("x-kingcupshunt-reason") == "body_timeout");
    // Part of the streamed body was already sent.
    CHECK(a.field("x-kingcupshunt-ran") == (std::string(length) == "50" ? "no" : "unknown"));
  }
  // A slow caller must not count as a failure of the server.
  for (const auto& r : f.log().reports) {
    CHECK(r.end == health::attempt_end::cancelled);
  }
}

TEST_CASE("ambiguous requests are refused and the connection is closed") {
  backend b(always(ok_answer()));
  fixture f({b.id()});
  f.start();
  const std::string head = "POST /a HTTP/1.1\r\nHost: shop\r\n";
  for (const std::string& bad :
       {head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", head + "Host: b\r\n\r\n",
        std::string("GET /a HTTP/1.1\r\n\r\n"), head + "X: a\x01\r\n\r\n",
        std::string("GET /a\x02 HTTP/1.1\r\nHost: shop\r\n\r\n"),
        head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", head + "X : a\r\n\r\n"}) {
    test_connection c(f.port());
    c.send(bad);
    const auto a = c.read_answer();
    CAPTURE(bad);
    CHECK(a.status == 400);
    CHECK(a.field("connection") == "close");
    CHECK(a.is_whole);
    CHECK(c.is_closed_by_peer());
  }
  CHECK(f.get().status == 200);
}

TEST_CASE("CONNECT and upgrades are refused") {
  fixture f;
  f.start();
  test_connection c(f.port());
  c.send("CONNECT shop:443 HTTP/1.1\r\nHost: shop\r\n\r\n");
  CHECK(c.read_answer().status == 405);
  CHECK(f.get("/a", "Connection: upgrade\r\nUpgrade: websocket\r\n").status == 501);
}

TEST_CASE("a refusal reaches a caller that is still sending its body") {
  fixture f({}, [](entry_settings& s) { s.drain_timeout = base::seconds(30); });
  f.decisions.authorize = [](const auto&) -> decided<authorized_request> {
    return refusal{401, "unknown_key", "", ran_state::no, std::nullopt};
  };
  f.start();
  test_connection c(f.port());
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 200000\r\n\r\n");
  c.send(std::string(200'000, 'x')); // more than the entry reads before it answers
  const auto a = c.read_answer();
  CHECK(a.status == 401);
  CHECK(a.is_whole);
  CHECK(a.body.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(f.counter("kingcupshunt_refusals_total{reason=\"unknown_key\"}") == 1);
}

TEST_CASE("the rest of a refused body is read, so that no reset destroys the answer") {
  fixture f({}, [](entry_settings& s) { s.drain_timeout = base::seconds(30); });
  f.decisions.authorize = [](const auto&) -> decided<authorized_request> {
    return refusal{401, "unknown_key", "", ran_state::no, std::nullopt};
  };
  f.start();
  boost::asio::io_context io;
  tcp::socket c(io);
  c.connect({boost::asio::ip::make_address("127.0.0.1"), f.port()});
  const std::string head = "POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 100000\r\n\r\n";
  c.send(boost::asio::buffer(head));
  std::string answer(4, '\0');
  c.receive(boost::asio::buffer(answer));
  // If the entry closed the connection at once, the first piece would cause a reset.
  bool is_taken = true;
  const std::string piece(10'000, 'x');
  for (int i = 0; i < 10; ++i) {
    is_taken = is_taken && ::send(c.native_handle(), piece.data(), piece.size(), MSG_NOSIGNAL) > 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  CHECK(is_taken);
}

TEST_CASE("local paths are answered without a key and without admission") {
  fixture f;
  f.start();
  CHECK(f.get("/.kingcupshunt/addresses").status == 404);
  f.on_loop([&] {
    f.server->set_interceptor([](const request_head& h) -> std::optional<local_answer> {
      if (h.path != "/.kingcupshunt/addresses") {
        return std::nullopt;
      }
      return local_answer{200, "application/json", "[]", base::seconds(2)};
    });
  });
  const auto a = f.get("/.kingcupshunt/addresses");
  CHECK(a.status == 200);
  CHECK(a.body == "[]");
  CHECK(a.field("cache-control") == "max-age=2");
  CHECK(f.get("/.kingcupshunt/other").status == 404);
  CHECK(f.log().admitted == 0);
}
