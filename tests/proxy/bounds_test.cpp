#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

const std::string get_a = "GET /a HTTP/1.1\r\nHost: shop\r\n\r\n";

long deadline_of(const std::string& bytes) {
  const std::string name = "X-Kingcupshunt-Deadline-Ms: ";
  const auto at = bytes.rfind(name);
  return at == std::string::npos ? -1 : std::stol(bytes.substr(at + name.size()));
}

} // namespace

TEST_CASE("the deadline sent to an upstream is the time left, not the route's timeout") {
  backend b(always(ok_answer()));
  fixture f({b.id()});
  std::function<void(decided<void>)> grant;
  std::atomic<bool> is_requested{false};
  f.decisions.admit = [&](const auto&, const auto&, auto done) {
    grant = done;
    is_requested = true;
  };
  f.service.timeout = base::seconds(20);
  f.start();
  test_connection c(f.port());
  c.send(get_a);
  REQUIRE(eventually([&] { return is_requested.load(); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  f.on_loop([&] { grant(base::success()); });
  CHECK(c.read_answer().status == 200);
  CHECK(deadline_of(b.received()) <= 19'940);
  CHECK(deadline_of(b.received()) > 0);
}

TEST_CASE("the entry's total timeout limits a route's deadline") {
  backend b(always(ok_answer()));
  fixture f({b.id()}, [](entry_settings& s) { s.total_timeout = base::seconds(3); });
  f.service.timeout = base::seconds(600);
  f.start();
  CHECK(f.get().status == 200);
  CHECK(deadline_of(b.received()) <= 3000);
}

TEST_CASE("the number of connections of all callers is limited") {
  std::atomic<bool> may_answer{false};
  backend b([&](backend& self, test_connection& c, int) {
    self.read_request(c);
    may_answer.wait(false);
    c.send(ok_answer("late"));
  });
  fixture f({b.id()}, [](entry_settings& s) { s.max_connections = 1; });
  f.start();
  test_connection first(f.port());
  first.send(get_a);
  REQUIRE(eventually([&] { return b.requests() == 1; }));
  test_connection second(f.port());
  const auto a = second.read_answer();
  CHECK(a.status == 503);
  CHECK(a.field("x-kingcupshunt-reason") == "too_many_connections");
  CHECK(second.is_closed_by_peer());
  may_answer = true;
  may_answer.notify_all();
  CHECK(first.read_answer().body == "late");
}

// Guards against callers that keep others out with connections on which they send nothing.
TEST_CASE("an idle connection gives way to a new one when all are taken") {
  backend b(always(ok_answer("fine")));
  fixture f({b.id()}, [](entry_settings& s) { s.max_connections = 1; });
  f.start();
  test_connection first(f.port());
  REQUIRE(eventually([&] {
    std::size_t n = 0;
    f.on_loop([&] { n = f.server->connection_count(); });
    return n == 1;
  }));
  test_connection second(f.port());
  CHECK(first.is_closed_by_peer());
  second.send(get_a);
  CHECK(second.read_answer().body == "fine");
  CHECK(eventually([&] {
    std::size_t n = 0;
    f.on_loop([&] { n = f.server->connection_count(); });
    return n == 1;
  }));
}

TEST_CASE("connections to one upstream are limited and a request over the limit goes to another "
          "upstream without counting as a failure") {
  std::atomic<bool> may_answer{false};
  backend full([&](backend& self, test_connection& c, int) {
    self.read_request(c);
    may_answer.wait(false);
    c.send(ok_answer("full"));
  });
  backend other(always(ok_answer("other")));
  fixture f({full.id(), other.id()}, [](entry_settings& s) { s.connections_per_upstream = 1; });
  f.start();
  test_connection c(f.port());
  c.send(get_a);
  REQUIRE(eventually([&] { return full.requests() == 1; }));
  CHECK(f.get().body == "other");
  CHECK(f.log().retries_requested == 0);
  REQUIRE(eventually([&] { return f.log().reports.size() == 2; }));
  CHECK(f.log().reports[0].end == health::attempt_end::cancelled);
  f.on_loop([&] { f.upstreams = {full.id()}; });
  const auto a = f.get();
  CHECK(a.field("x-kingcupshunt-reason") == "upstream_connections_exhausted");
  CHECK(a.field("x-kingcupshunt-ran") == "no");
  may_answer = true;
  may_answer.notify_all();
  CHECK(c.read_answer().body == "full");
}

TEST_CASE("a caller that disconnects during its upload cancels the upstream's work") {
  std::atomic<bool> is_cancelled{false};
  backend b([&](backend& self, test_connection& c, int) {
    self.note(c.read_head());
    c.read_exactly(1'000'000);
    is_cancelled = true;
  });
  fixture f({b.id()});
  f.service.timeout = base::seconds(60);
  f.start();
  test_connection c(f.port());
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 1000000\r\n\r\nabc");
  REQUIRE(eventually([&] { return !b.received().empty(); }));
  c.close();
  CHECK(eventually([&] { return is_cancelled.load(); }));
  REQUIRE(eventually([&] { return f.log().finished == 1; }));
  CHECK(f.log().reports[0].end == health::attempt_end::cancelled);
}

TEST_CASE("every pick is reported once and every turn is released") {
  backend flaky([](backend& self, test_connection& c, int n) {
    while (self.read_request(c)) {
      c.send(n % 2 == 0 ? "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
                        : "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut");
      if (n % 2 == 1) {
        return;
      }
    }
  });
  backend good(always(ok_answer()));
  fixture f({flaky.id(), good.id()});
  std::atomic<int> picks{0};
  auto pick = f.decisions.pick;
  f.decisions.pick = [&, pick](const auto& auth, auto print, const auto& tried) {
    auto picked = pick(auth, print, tried);
    picks += picked ? 1 : 0;
    return picked;
  };
  f.decisions.hedge_delay = [](const auto&) { return base::milliseconds(1); };
  f.start();
  for (int i = 0; i < 20; ++i) {
    CHECK(f.get().status == 200);
  }
  CHECK(eventually([&] { return f.log().finished == 20; }));
  CHECK(f.log().reports.size() == static_cast<std::size_t>(picks.load()));
  CHECK(f.log().admitted == 20);
}
