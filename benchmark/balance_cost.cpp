// Cost of balancing without asking anyone per request: shed rate, refused requests and 99th
// percentile of each way of choosing against one perfect queue for all servers.
// Usage: balance_cost [seconds]
#include <cstdio>
#include <cstdlib>

#include "support/fleet_simulation.h"

namespace {

using namespace simulation;

// The same arrivals and service times served by all slots from one queue in order of arrival.
outcome perfect_queue(const scenario& s, std::uint64_t seed) {
  base::rng rng(seed);
  const auto normal = [&] {
    return std::sqrt(-2 * std::log(1 - rng.unit())) * std::cos(6.283185307179586 * rng.unit());
  };
  std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
  for (std::uint32_t i = 0; i < std::uint32_t(s.servers) * s.slots; ++i) {
    free_at.push(0);
  }
  outcome o;
  const double warm_up = base::to_seconds(s.warm_up);
  const double end = warm_up + base::to_seconds(s.length);
  for (double t = 0; t < end; t += -std::log(1 - rng.unit()) / s.rate) {
    const double start = std::max(t, free_at.top());
    const bool is_measured = t >= warm_up;
    o.requests += is_measured ? 1 : 0;
    if (start - t > base::to_seconds(s.queue_time)) {
      o.refused += is_measured ? 1 : 0;
      continue;
    }
    const double d = 0.0006 + base::to_seconds(s.median) * std::exp(s.sigma * normal());
    free_at.pop();
    free_at.push(start + d);
    if (is_measured) {
      o.latencies_ms.push_back((start + d - t) * 1000);
    }
  }
  return o;
}

struct named_way {
  const char* name;
  way how;
  balance::selection selection;
};

constexpr named_way ways[] = {
    {"slot shares", way::no_ejection, balance::selection::slot_share},
    {"slot shares + reports", way::no_ejection, balance::selection::slot_share_reported},
    {"slot shares only", way::no_ejection, balance::selection::slot_share_only},
    {"two choices", way::no_ejection, balance::selection::two_choices},
    {"two choices + reports", way::no_ejection, balance::selection::two_choices_reported},
    {"round robin", way::round_robin, balance::selection::two_choices},
    {"random", way::random, balance::selection::two_choices},
};

void print_row(const char* user, double load, const char* name, outcome& o) {
  std::printf("%-10s %4.0f %% %-22s %8.3f %% %8.3f %% %9.1f\n", user, load * 100, name,
              o.tries == 0 ? 0.0 : 100.0 * double(o.sheds) / double(o.tries),
              100 * double(o.refused) / double(o.requests), o.percentile(0.99));
  std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv) {
  const int seconds = argc > 1 ? std::atoi(argv[1]) : 20;
  std::printf("%-10s %6s %-22s %10s %10s %9s\n", "size", "load", "way", "shed tries", "refused",
              "p99 ms");
  for (const bool is_large : {false, true}) {
    for (const double load : {0.5, 0.8, 0.95, 1.2}) {
      scenario s;
      s.servers = is_large ? 30 : 20;
      s.slots = is_large ? 6 : 3;
      s.usual_errors = 0;
      s.retries = 4;
      s.warm_up = base::seconds(3);
      s.length = base::seconds(seconds);
      const double mean = 0.0006 + base::to_seconds(s.median) * std::exp(s.sigma * s.sigma / 2);
      s.rate = load * s.servers * s.slots / mean;
      const char* user = is_large ? "melapath" : "lissadell";
      auto best = perfect_queue(s, 1);
      print_row(user, load, "perfect single queue", best);
      for (const auto& w : ways) {
        s.selection = w.selection;
        auto o = fleet(s, w.how, 1).run();
        print_row(user, load, w.name, o);
      }
    }
  }
}
