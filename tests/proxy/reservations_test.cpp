#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

std::string order(const std::string& body = "lens", const std::string& key = "order-1") {
  return "POST /a HTTP/1.1\r\nHost: shop\r\n" + authorization() +
         (key.empty() ? std::string() : "Idempotency-Key: " + key + "\r\n") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct orders : fixture {
  explicit orders(std::vector<std::string> ups) : fixture(std::move(ups)) {
    route.kind = config::request_kind::keyed_once;
  }
  wire_answer submit(const std::string& request = order()) {
    test_connection c(port());
    c.send(request);
    return c.read_answer();
  }
};

} // namespace

TEST_CASE("an order runs once and its answer is stored") {
  backend b(always(ok_answer("order 17")));
  orders f({b.id()});
  f.start();
  CHECK(f.submit().body == "order 17");
  CHECK(f.log().reserved == 1);
  CHECK(f.log().completed == std::vector<std::string>{"order 17"});
  CHECK(f.log().released == 0);
  CHECK(b.received().find("Idempotency-Key: order-1\r\n") != std::string::npos);
}

TEST_CASE("a chunked answer to an order is stored") {
  backend b(always("HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n"
                   "0\r\n\r\n"));
  orders f({b.id()});
  f.start();
  CHECK(f.submit().body == "order");
  CHECK(f.log().completed == std::vector<std::string>{"order"});
}

TEST_CASE("an answer that is too long to be stored is forwarded and the reservation completes "
          "without it") {
  const std::string big(100'000, 'x');
  backend b(always(ok_answer(big)));
  orders f({b.id()});
  f.start();
  CHECK(f.submit().body == big);
  REQUIRE(eventually([&] { return f.log().completed.size() == 1; }));
  CHECK(f.log().completed[0] == "-");
}

TEST_CASE(
    "an order without an idempotency key, or too large to be compared, is refused before it runs") {
  backend b(always(ok_answer()));
  orders f({b.id()});
  f.start();
  auto a = f.submit(order("lens", ""));
  CHECK(a.status == 428);
  CHECK(a.field("x-kingcupshunt-reason") == "idempotency_key_required");
  a = f.submit(order(std::string(65'537, 'x')));
  CHECK(a.status == 413);
  CHECK(a.field("x-kingcupshunt-reason") == "non_repeatable_body_too_large");
  a = f.submit("POST /a HTTP/1.1\r\nHost: shop\r\nIdempotency-Key: k\r\nTransfer-Encoding: "
               "chunked\r\n\r\n10001\r\n" +
               std::string(65'537, 'x') + "\r\n0\r\n\r\n");
  CHECK(a.field("x-kingcupshunt-reason") == "non_repeatable_body_too_large");
  CHECK(b.requests() == 0);
  CHECK(f.log().reserved == 0);
}

TEST_CASE("trailers of an order do not become headers") {
  backend b(always(ok_answer()));
  orders f({b.id()});
  f.start();
  CHECK(f.submit("POST /a HTTP/1.1\r\nHost: shop\r\nIdempotency-Key: k\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n4\r\nlens\r\n0\r\nX-Role: admin\r\n\r\n")
            .status == 200);
  CHECK(b.received().find("X-Role") == std::string::npos);
  CHECK(b.received().ends_with("\r\n\r\nlens"));
}

TEST_CASE("a resend receives the stored answer") {
  backend b(always(ok_answer()));
  orders f({b.id()});
  f.decisions.reserve = [](const auto&, const auto&, auto, const auto& done) {
    done(reservation{0, stored_answer{201, "text/plain", "order 17"}});
  };
  f.start();
  const auto a = f.submit();
  CHECK(a.status == 201);
  CHECK(a.body == "order 17");
  CHECK(a.field("x-kingcupshunt-replayed") == "1");
  CHECK(b.requests() == 0);
  CHECK(f.log().released == 0);
}

TEST_CASE("different orders with one key have different fingerprints") {
  std::vector<std::uint64_t> prints;
  backend b(always(ok_answer()));
  orders f({b.id()});
  f.decisions.reserve = [&](const auto&, const auto&, auto print, const auto& done) {
    prints.push_back(print);
    done(refusal{409, "key_reused", "", ran_state::no, std::nullopt});
  };
  f.start();
  f.submit(order("lens"));
  f.submit(order("lens"));
  f.submit(order("two lenses"));
  REQUIRE(prints.size() == 3);
  CHECK(prints[0] == prints[1]);
  CHECK(prints[0] != prints[2]);
  CHECK(prints[0] != 0);
}

TEST_CASE(
    "no byte of an order is sent before its key is reserved or after the order was abandoned") {
  backend b(always(ok_answer()));
  orders f({b.id()});
  std::function<void(decided<reservation>)> grant;
  std::atomic<bool> is_requested{false};
  f.decisions.reserve = [&](const auto&, const auto&, auto, auto done) {
    grant = done;
    is_requested = true;
  };
  f.service.timeout = base::milliseconds(150);
  f.start();
  SUBCASE("the deadline passes before the grant") {
    const auto a = f.submit();
    CHECK(a.status == 504);
    // It is not known whether an earlier request with this key ran, so the state is not "no".
    CHECK(a.field("x-kingcupshunt-ran") == "unknown");
  }
  SUBCASE("the caller disconnects before the grant") {
    test_connection c(f.port());
    c.send(order());
    CHECK(eventually([&] { return is_requested.load(); }));
    c.close();
    CHECK(eventually([&] { return f.log().finished == 1; }));
  }
  CHECK(b.connections() == 0);
  CHECK(f.log().released == 0);
  f.on_loop([&] { grant(reservation{7, std::nullopt}); });
  CHECK(f.log().released == 1);
  CHECK(f.get().status == 428);
  CHECK(b.connections() == 0);
}

TEST_CASE("a grant that arrives at the same time as the deadline is released") {
  backend b(always(ok_answer()));
  orders f({b.id()});
  f.service.timeout = base::milliseconds(30);
  f.decisions.reserve = [](const auto&, const auto&, auto, const auto& done) {
    // Delays the event loop, so that the grant arrives after the deadline in the same iteration.
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    done(reservation{7, std::nullopt});
  };
  f.start();
  const auto a = f.submit();
  CHECK(a.status == 504);
  CHECK(a.field("x-kingcupshunt-ran") == "no");
  CHECK(f.log().released == 1);
  CHECK(b.connections() == 0);
}

TEST_CASE("an order that was sent is never sent again and its outcome stays unknown") {
  backend first([](backend& self, test_connection& c, int) { self.read_request(c); });
  backend second(always(ok_answer()));
  orders f({first.id(), second.id()});
  f.start();
  const auto a = f.submit();
  CHECK(a.status == 502);
  CHECK(a.field("x-kingcupshunt-ran") == "unknown");
  CHECK(second.requests() == 0);
  CHECK(f.log().completed == std::vector<std::string>{"-"});
  CHECK(f.log().released == 0);
}

TEST_CASE("an order of which no byte was sent goes to another server") {
  std::string dead;
  {
    backend gone(always(""));
    dead = gone.id();
  }
  backend good(always(ok_answer("order 17")));
  orders f({dead, good.id()});
  f.start();
  CHECK(f.submit().body == "order 17");
  CHECK(f.log().reserved == 1);
  f.on_loop([&] { f.upstreams = {dead}; });
  const auto a = f.submit();
  CHECK(a.field("x-kingcupshunt-ran") == "no");
  CHECK(f.log().released == 1);
}

TEST_CASE("an order that a server refused without running it goes to another server or releases "
          "its key") {
  backend b(always("HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"));
  backend other(always(ok_answer()));
  orders f({b.id(), other.id()});
  f.service.timeout = base::milliseconds(300);
  f.start();
  CHECK(f.submit().status == 200);
  CHECK(f.log().reserved == 1);
  CHECK(f.log().completed.size() == 1);
  CHECK(f.log().released == 0);
  CHECK(other.requests() == 1);
  f.on_loop([&] { f.upstreams = {b.id()}; });
  CHECK(f.submit().status == 503);
  CHECK(f.log().released == 1);
  CHECK(f.log().completed.size() == 1);
  CHECK(other.requests() == 1);
}

TEST_CASE("a server error is stored as the answer to an order, which may have run") {
  backend b(always("HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"));
  orders f({b.id()});
  f.start();
  CHECK(f.submit().status == 500);
  CHECK(f.log().completed == std::vector<std::string>{"oops"});
  CHECK(f.log().released == 0);
}

TEST_CASE("an order whose caller disconnects before its first byte was sent releases its key") {
  // Connections to a listener with a full queue remain pending.
  boost::asio::io_context io;
  tcp::acceptor full(io);
  full.open(tcp::v4());
  full.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  full.listen(0);
  std::vector<tcp::socket> fillers;
  for (int i = 0; i < 3; ++i) {
    fillers.emplace_back(io, tcp::v4());
    fillers.back().native_non_blocking(true);
    const auto to = full.local_endpoint();
    ::connect(fillers.back().native_handle(), to.data(), static_cast<socklen_t>(to.size()));
  }
  orders f({"127.0.0.1:" + std::to_string(full.local_endpoint().port())});
  f.settings.connect_timeout = base::seconds(60);
  f.service.timeout = base::seconds(60);
  f.start();
  test_connection c(f.port());
  c.send(order());
  REQUIRE(eventually([&] { return f.log().reserved == 1; }));
  c.close();
  CHECK(eventually([&] { return f.log().released == 1; }));
  CHECK(f.log().completed.empty());
}

TEST_CASE("an order that was sent is completed and stored although its caller disconnected") {
  std::atomic<bool> may_answer{false};
  backend b([&](backend& self, test_connection& c, int) {
    if (self.read_request(c)) {
      may_answer.wait(false);
      c.send(ok_answer("order 17"));
    }
  });
  orders f({b.id()});
  f.start();
  test_connection c(f.port());
  c.send(order());
  CHECK(eventually([&] { return b.requests() == 1; }));
  c.close();
  // Once a later request was served, the event loop has handled the end of the connection.
  CHECK(f.get().status == 428);
  may_answer = true;
  may_answer.notify_all();
  REQUIRE(eventually([&] { return f.log().completed.size() == 1; }));
  CHECK(f.log().completed[0] == "order 17");
}

TEST_CASE("an order is not sent on a connection that is no longer verified") {
  backend b(always(ok_answer()));
  orders f({b.id()});
  f.settings.verified_for = base::milliseconds(0);
  f.start();
  CHECK(f.submit().status == 200);
  CHECK(f.submit().status == 200);
  CHECK(b.connections() == 2);
}
