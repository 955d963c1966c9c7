// Counts false ejections of one service's owner over many simulated hours without a fault.
// Usage: false_ejections HOURS [case number]
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <iterator>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/health/service_health.h"

namespace {

using namespace kingcupshunt;

struct load_case {
  const char* name;
  int servers;
  double sigma;       ///< of the logarithm of the service time
  double slow_share;  ///< of requests that take ten times longer, on all servers
  double errors;      ///< usual share of error answers
  double pauses_hour; ///< pauses of 400 ms per server and hour
  double uneven;      ///< greatest factor between the servers' speeds
};

constexpr load_case cases[] = {
    {"usual", 20, 0.5, 0, 0.001, 0, 1},
    {"long tail, 1 % errors", 20, 1.0, 0.05, 0.01, 0, 1},
    {"pauses, uneven servers", 30, 0.5, 0, 0.002, 60, 2},
};

struct traffic {
  traffic(const load_case& l, std::uint64_t seed) : load(l), rng(seed) {}

  double normal() {
    return std::sqrt(-2 * std::log(1 - rng.unit())) * std::cos(6.283185307179586 * rng.unit());
  }

  void attempt(health::evidence_message& m, base::time_point now) {
    const auto s = rng.below(std::uint64_t(load.servers));
    const auto id = "s" + std::to_string(s);
    const double speed = 1 + (load.uneven - 1) * double(s) / load.servers;
    double d = 0.04 * speed * std::exp(load.sigma * normal());
    d *= rng.unit() < load.slow_share ? 10 : 1;
    d += now < paused_until[s] ? base::to_seconds(paused_until[s] - now) : 0;
    auto it = std::ranges::find(m.upstreams, id, &health::upstream_evidence::upstream);
    if (it == m.upstreams.end()) {
      m.upstreams.push_back({id, 0, {health::route_evidence{}}});
      it = std::prev(m.upstreams.end());
    }
    auto& r = it->routes.front();
    if (rng.unit() < load.errors) {
      ++r.soft_errors;
    } else {
      const auto bucket = health::latency_bucket(base::from_seconds(d));
      r.first_byte.push_back(bucket);
      r.total.push_back(bucket);
    }
  }

  const load_case& load;
  base::rng rng;
  base::time_point paused_until[64]{};
};

void run(const load_case& load, double hours) {
  int ejected = 0;
  health::service_health service(
      "s", {}, [&](observe::decision d) { ejected += d.outcome == "ejected" ? 1 : 0; });
  base::time_point now{base::seconds(1000)};
  std::vector<health::upstream> ups(std::size_t(load.servers));
  for (int i = 0; i < load.servers; ++i) {
    ups[std::size_t(i)].info = {
        "s", "s" + std::to_string(i), "dc" + std::to_string(i % 3), 3, false, 1, 1};
    ups[std::size_t(i)].first_seen = now;
  }
  service.set_upstreams(ups, now);
  traffic t(load, 1);
  const auto end = now + base::from_seconds(hours * 3600);
  constexpr double per_step = 20; // 100 attempts per second
  while (now < end) {
    now += base::milliseconds(200);
    for (auto& until : t.paused_until) {
      if (t.rng.unit() < load.pauses_hour / 18'000) {
        until = now + base::milliseconds(400);
      }
    }
    health::evidence_message messages[15];
    const int n = int(per_step) - 5 + int(t.rng.below(11));
    for (int k = 0; k < n; ++k) {
      t.attempt(messages[t.rng.below(15)], now);
    }
    for (int i = 0; i < 15; ++i) {
      messages[i].data_centre = "dc" + std::to_string(i % 3);
      service.add_evidence("i" + std::to_string(i), messages[i], now);
    }
    service.evaluate(health::owner_phase::deciding, 0.6, now);
    health::verdicts_message out;
    service.fill(out, "i0", now);
  }
  const double server_hours = hours * load.servers;
  std::printf("%-24s servers=%d server_hours=%.0f false_ejections=%d per_1000_server_hours=%.2f\n",
              load.name, load.servers, server_hours, ejected, ejected / server_hours * 1000);
  std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv) {
  const double hours = argc > 1 ? std::atof(argv[1]) : 10;
  for (std::size_t i = 0; i < std::size(cases); ++i) {
    if (argc < 3 || std::size_t(std::atoi(argv[2])) == i) {
      run(cases[i], hours);
    }
  }
}
