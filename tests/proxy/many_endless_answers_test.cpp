#include "harness.h"

#include <doctest/doctest.h>

#include "support/heap_use.h"

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;
using namespace kingcupshunt::testing;

// Guards against an entry that runs out of memory while many servers in trouble send bytes without
// end: each answer is within its own limit, and their sum is not bounded.

namespace {

constexpr std::size_t answer_memory = std::size_t{4} << 20U;
/// Of an answer when the memory for answers is used up, with its two connections.
constexpr std::size_t least_per_answer = std::size_t{64} << 10U;
constexpr std::size_t own_use = std::size_t{2} << 20U; ///< threads and connections of the test

const std::string filler(std::size_t{4} * 1024, 'x');

/// Sends `start`, then `filler` until the connection ends or `most` bytes are sent; then waits.
struct flooding_backend {
  flooding_backend(std::string start, std::size_t most)
      : server([this, start = std::move(start), most](backend& b, test_connection& c, int) {
          if (!b.read_request(c)) {
            return;
          }
          c.send(start);
          std::size_t n = 0;
          while (n < most && c.send(filler)) {
            n += filler.size();
            sent += filler.size();
          }
          c.read_exactly(1); // ends with the connection
        }) {}

  std::atomic<std::size_t> sent{0};
  backend server;
};

/// Waits until the servers have sent something and can send no more.
void wait_until_still(const flooding_backend& b) {
  std::size_t before = 0;
  int calm = 0;
  CHECK(eventually([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(45));
    const auto n = b.sent.load();
    calm = n > 0 && n == before ? calm + 1 : 0;
    before = n;
    return calm == 8;
  }));
}

/// Greatest memory while `n` callers, who read nothing, get answers that begin with `start`.
std::size_t peak_of(std::size_t n, const std::string& start, std::size_t most) {
  flooding_backend b(start, most);
  fixture f({b.server.id()}, [&](entry_settings& s) {
    s.names.may_answer_end_with_connection = true;
    s.max_stored_answer_bytes = std::size_t{1} << 20U;
    s.max_answer_memory_bytes = answer_memory;
    s.connections_per_upstream = n;
  });
  f.service.timeout = base::seconds(60);
  f.decisions.reserve = nullptr;
  f.decisions.may_retry = [](const auto&, const auto&) { return false; };
  f.start();
  reset_heap_peak();
  const auto before = heap_bytes();
  std::vector<std::unique_ptr<test_connection>> callers;
  for (std::size_t i = 0; i < n; ++i) {
    callers.push_back(std::make_unique<test_connection>(f.port()));
    callers.back()->send("GET /a HTTP/1.1\r\nHost: shop\r\n" + authorization() + "\r\n");
  }
  wait_until_still(b);
  const auto out = heap_peak_bytes() - before;
  for (const auto& c : callers) {
    c->close();
  }
  return out;
}

} // namespace

TEST_CASE("bodies without end from many servers share the memory for answers") {
  constexpr std::size_t n = 64;
  const auto allowed = answer_memory + n * least_per_answer + own_use;
  SUBCASE("without a length") {
    CHECK(peak_of(n, "HTTP/1.1 200 OK\r\n\r\n", std::string::npos) < allowed);
  }
  SUBCASE("in chunks that never end") {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK(peak_of(n, head + "ffffffff\r\n", std::string::npos) < allowed);
  }
  SUBCASE("of failures") {
    const std::string head = "HTTP/1.1 500 X\r\nContent-Length: 67108864\r\n\r\n";
    CHECK(peak_of(n, head, std::string::npos) < allowed);
  }
}

TEST_CASE("heads that stop before their end share the memory for answers") {
  constexpr std::size_t n = 400;
  constexpr std::size_t least_per_head = std::size_t{24} << 10U;
  const auto peak = peak_of(n, "HTTP/1.1 200 OK\r\nX-Fill: ", 7 * filler.size());
  CHECK(peak < answer_memory + n * least_per_head + own_use);
}
