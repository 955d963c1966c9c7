#include "harness.h"

#include <doctest/doctest.h>

#include "kingcupshunt/base/rng.h"

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int callers = 6;
constexpr int requests_each = 60;

/// Answers with the path of the request, sometimes late, cut, doubled or not at all.
void serve_with_faults(backend& self, test_connection& c, int connection) {
  base::rng rng(seed + static_cast<std::uint64_t>(connection));
  for (;;) {
    const auto head = c.read_head();
    if (!head.ends_with("\r\n\r\n")) {
      return;
    }
    self.note("r");
    const auto path = head.substr(4, head.find(' ', 4) - 4);
    const auto own = ok_answer(path);
    switch (rng.below(8)) {
    case 0: // later than the deadline
      std::this_thread::sleep_for(std::chrono::milliseconds(80));
      c.send(own);
      break;
    case 1:
      c.send(own.substr(0, own.size() - 2));
      return;
    case 2:
      c.send(own + own);
      break;
    case 3:
      c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n" + path.substr(0, 2) +
             "\r\n");
      c.send("1\r\n" + path.substr(2, 1) + "\r\n");
      return; // cut between chunks
    default:
      c.send(own);
    }
  }
}

} // namespace

TEST_CASE("each caller gets the whole answer to its own request or none") {
  backend one(serve_with_faults);
  backend two(serve_with_faults);
  fixture f({one.id(), two.id()});
  f.service.timeout = base::milliseconds(60);
  f.decisions.hedge_delay = [](const auto&) { return base::milliseconds(15); };
  f.start();
  std::atomic<int> whole{0};
  std::atomic<int> crossed{0};
  std::vector<std::thread> threads;
  for (int t = 0; t < callers; ++t) {
    threads.emplace_back([&, t] {
      auto c = std::make_unique<test_connection>(f.port());
      for (int i = 0; i < requests_each; ++i) {
        const auto path = "/" + std::to_string(100 + t) + "-" + std::to_string(i);
        c->send("GET " + path + " HTTP/1.1\r\nHost: shop\r\n\r\n");
        const auto a = c->read_answer();
        if (a.status == 200 && a.is_whole) {
          whole += 1;
          crossed += a.body == path ? 0 : 1;
        }
        if (!a.is_whole) {
          c = std::make_unique<test_connection>(f.port());
        }
      }
    });
  }
  for (auto& t : threads) {
    t.join();
  }
  CHECK(crossed == 0);
  CHECK(whole > callers * requests_each / 2);
}
