#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

const std::string get_a = "GET /a HTTP/1.1\r\nHost: shop\r\n\r\n";

/// Returns a script that answers after `gate` was set.
backend::script answer_after(std::atomic<bool>& gate) {
  return [&gate](backend& b, test_connection& c, int) {
    while (b.read_request(c)) {
      gate.wait(false);
      c.send(ok_answer());
    }
  };
}

void open(std::atomic<bool>& gate) {
  gate = true;
  gate.notify_all();
}

} // namespace

TEST_CASE("a stop closes idle connections, refuses new ones and lets requests in flight finish") {
  std::atomic<bool> gate{false};
  backend b(answer_after(gate));
  fixture f({b.id()});
  f.start();
  const auto port = f.port();
  test_connection busy(port);
  test_connection idle(port);
  busy.send(get_a);
  CHECK(eventually([&] { return b.requests() == 1; }));
  std::atomic<int> cut{-1};
  f.on_loop([&] {
    f.server->stop(base::clock::now() + base::seconds(30),
                   [&](std::size_t n) { cut = static_cast<int>(n); });
  });
  CHECK(idle.is_closed_by_peer());
  CHECK_THROWS(test_connection(port));
  CHECK(cut == -1);
  open(gate);
  const auto a = busy.read_answer();
  CHECK(a.status == 200);
  CHECK(a.field("connection") == "close");
  CHECK(busy.is_closed_by_peer());
  CHECK(eventually([&] { return cut == 0; }));
}

TEST_CASE(
    "a stop closes and counts the connections in flight at its deadline, also those of orders") {
  std::atomic<bool> gate{false};
  backend b(answer_after(gate));
  fixture f({b.id()});
  f.service.timeout = base::seconds(60);
  SUBCASE("lookup") {
    f.route.is_repeatable = true;
  }
  SUBCASE("order") {
    f.route.is_repeatable = false;
  }
  f.start();
  test_connection busy(f.port());
  busy.send("GET /a HTTP/1.1\r\nHost: shop\r\nIdempotency-Key: k\r\n\r\n");
  CHECK(eventually([&] { return b.requests() == 1; }));
  std::atomic<int> cut{-1};
  f.on_loop([&] {
    f.server->stop(base::clock::now() + base::milliseconds(50),
                   [&](std::size_t n) { cut = static_cast<int>(n); });
  });
  CHECK(busy.is_closed_by_peer());
  CHECK(eventually([&] { return cut == 1; }));
  CHECK(f.counter("kingcupshunt_refusals_total{reason=\"cut_by_stop\"}") == 1);
  CHECK(f.log().finished == 1);
  CHECK(f.log().completed.size() == (f.route.is_repeatable ? 0U : 1U));
  open(gate);
}
