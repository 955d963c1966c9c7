// Response times of callers that send four repeatable requests at once, with requests of a
// connection served one after the other and at the same time.
//
//   build/benchmark/pipelining_table

#include <algorithm>
#include <cstdio>
#include <thread>
#include <vector>

#include "../tests/proxy/harness.h"
#include "kingcupshunt/base/rng.h"

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

constexpr int callers = 24;
constexpr int rounds = 25;
constexpr int row = 4; ///< requests sent at once
constexpr int usual_ms = 20;
constexpr int slow_ms = 200;
constexpr double slow_share = 0.05;

/// Milliseconds from the sending of a row to each of its answers, by position in the row.
using times = std::vector<std::vector<double>>;

void serve(backend& self, test_connection& c, int connection) {
  base::rng rng(static_cast<std::uint64_t>(connection) + 1);
  while (self.read_request(c)) {
    const int ms = rng.unit() < slow_share ? slow_ms : usual_ms;
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    c.send(ok_answer());
  }
}

times measure(std::size_t at_once) {
  backend b(serve);
  fixture f({b.id()}, [&](entry_settings& s) {
    s.max_pipelined_requests = at_once;
    s.connections_per_upstream = callers * row;
  });
  f.start();
  std::vector<times> all(callers, times(row));
  std::vector<std::thread> threads;
  for (auto& own : all) {
    threads.emplace_back([&own, port = f.port()] {
      test_connection c(port);
      const auto one = "GET /a HTTP/1.1\r\nHost: shop\r\n" + authorization() + "\r\n";
      for (int i = 0; i < rounds; ++i) {
        const auto sent = base::clock::now();
        c.send(one + one + one + one);
        for (auto& position : own) {
          c.read_answer();
          position.push_back(base::to_seconds(base::clock::now() - sent) * 1000);
        }
      }
    });
  }
  for (auto& t : threads) {
    t.join();
  }
  times out(row);
  for (const auto& own : all) {
    for (std::size_t i = 0; i < out.size(); ++i) {
      out[i].insert(out[i].end(), own[i].begin(), own[i].end());
    }
  }
  return out;
}

double quantile(std::vector<double> values, double q) {
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

} // namespace

int main() {
  std::printf("%8s %9s %8s %8s\n", "at once", "position", "p50 ms", "p99 ms");
  for (const std::size_t at_once : {1, 2, 4, 8}) {
    const auto got = measure(at_once);
    for (std::size_t i = 0; i < got.size(); ++i) {
      std::printf("%8zu %9zu %8.1f %8.1f\n", at_once, i + 1, quantile(got[i], 0.5),
                  quantile(got[i], 0.99));
    }
  }
  return 0;
}
