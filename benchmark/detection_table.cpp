// Drives the cores of failure detection through faults in virtual time with fixed seeds and prints
// detection time, false ejections, floor, and what callers see, beside baselines in the same run.
// Usage: detection_table [seeds] [case substring] [-v|-a|-b] [size]
// -v prints decisions, -a leaves the baselines out, -b is the default; baselines run a third of the
// seeds.
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "support/fleet_simulation.h"

namespace {

using namespace simulation;

struct size {
  const char* user;
  int servers;
  std::uint32_t slots;
};

constexpr size sizes[] = {{"lissadell", 20, 3}, {"melapath", 30, 6}};

std::function<behaviour(double, int, int)> on_servers(std::set<int> bad, behaviour b) {
  return [bad = std::move(bad), b](double t, int, int s) {
    return t >= 0 && bad.contains(s) ? b : behaviour{};
  };
}

behaviour refusing() {
  behaviour b;
  b.is_refusing = true;
  return b;
}
behaviour hanging() {
  behaviour b;
  b.is_hanging = true;
  return b;
}
behaviour slow(double f) {
  behaviour b;
  b.slow = f;
  return b;
}
behaviour failing(double p) {
  behaviour b;
  b.error_share = p;
  return b;
}
behaviour truncating(double p) {
  behaviour b;
  b.truncated_share = p;
  return b;
}

std::vector<scenario> cases(const size& z) {
  scenario base_case;
  base_case.servers = z.servers;
  base_case.slots = z.slots;
  std::vector<scenario> out;
  const auto add = [&](const char* name, std::set<int> bad, auto behave, auto change) {
    auto s = base_case;
    s.name = name;
    s.bad_servers = std::move(bad);
    s.behave = std::move(behave);
    change(s);
    out.push_back(std::move(s));
  };
  const auto same = [](scenario&) {};
  add("hard: refuses", {4}, on_servers({4}, refusing()), same);
  add("hard: hangs", {4}, on_servers({4}, hanging()), same);
  add("10x slower", {4}, on_servers({4}, slow(10)), same);
  add("fails 30 %", {4}, on_servers({4}, failing(0.3)), same);
  add("truncates 30 %", {4}, on_servers({4}, truncating(0.3)), same);
  add("10x slower, 400/s", {4}, on_servers({4}, slow(10)), [](scenario& s) { s.rate = 400; });
  add("fails 30 %, 400/s", {4}, on_servers({4}, failing(0.3)), [](scenario& s) { s.rate = 400; });
  add("three 10x slower", {4, 8, 9}, on_servers({4, 8, 9}, slow(10)), same);
  add(
      "half refuse (floor)", {},
      [&z](double t, int, int s) { return t >= 0 && s % 2 == 0 ? refusing() : behaviour{}; },
      [&z](scenario& s) {
        for (int i = 0; i < z.servers; i += 2)
          s.bad_servers.insert(i);
      });
  add(
      "path: 2 instances", {},
      [](double t, int i, int s) { return t >= 0 && i < 2 && s == 4 ? refusing() : behaviour{}; },
      same);
  add(
      "path: one centre", {},
      [](double t, int i, int s) {
        return t >= 0 && i % 3 == 0 && s == 4 ? refusing() : behaviour{};
      },
      same);
  add(
      "faulty instance", {},
      [](double t, int i, int) { return t >= 0 && i == 3 ? failing(0.5) : behaviour{}; }, same);
  add(
      "faulty inst. + 10x slow", {4},
      [](double t, int i, int s) {
        return t < 0 ? behaviour{} : s == 4 ? slow(10) : i == 3 ? failing(0.5) : behaviour{};
      },
      same);
  add(
      "flaps: refuses 3 of 8 s", {4},
      [](double t, int, int s) {
        return t >= 0 && s == 4 && std::fmod(t, 8) < 3 ? refusing() : behaviour{};
      },
      same);
  add(
      "refuses + path + slow", {4, 8},
      [](double t, int i, int s) {
        return t < 0                  ? behaviour{}
               : s == 4               ? refusing()
               : s == 8               ? slow(10)
               : s == 6 && i % 3 == 0 ? refusing()
                                      : behaviour{};
      },
      same);
  add(
      "slow everywhere 5x", {}, [](double t, int, int) { return t >= 0 ? slow(5) : behaviour{}; },
      same);
  add(
      "failing everywhere 30 %", {},
      [](double t, int, int) { return t >= 0 ? failing(0.3) : behaviour{}; }, same);
  add("overload 120 %", {}, on_servers({}, {}), [&z](scenario& s) {
    s.rate = 1.2 * z.servers * z.slots / 0.045;
    s.length = base::seconds(30);
  });
  add("no fault", {}, on_servers({}, {}), [](scenario& s) { s.length = base::seconds(300); });
  return out;
}

double percentile(std::vector<double> v, double p) {
  if (v.empty())
    return NAN;
  std::sort(v.begin(), v.end());
  return v[std::size_t(std::ceil(p * double(v.size() - 1)))];
}

void print_row(const size& z, const scenario& s, way w, const char* name, int seeds,
               bool is_verbose) {
  std::vector<double> detection;
  outcome sum;
  for (int seed = 1; seed <= seeds; ++seed) {
    auto o = fleet(s, w, std::uint64_t(seed)).run();
    detection.insert(detection.end(), o.detection_s.begin(), o.detection_s.end());
    sum.false_ejections += o.false_ejections;
    sum.server_hours += o.server_hours;
    sum.least_healthy_share = std::min(sum.least_healthy_share, o.least_healthy_share);
    sum.requests += o.requests;
    sum.errors += o.errors;
    sum.refused += o.refused;
    sum.latencies_ms.insert(sum.latencies_ms.end(), o.latencies_ms.begin(), o.latencies_ms.end());
    if (is_verbose) {
      for (const auto& d : o.decisions)
        std::printf("    seed %d %s\n", seed, d.c_str());
    }
  }
  std::size_t missed = 0;
  for (const auto d : detection)
    missed += std::isinf(d) ? 1 : 0;
  std::printf("%-9s %-24s %-12s %8.2f %8.2f %6zu/%-4zu %6llu %8.2f %7.2f/%.2f %8.3f %% %8.1f\n",
              z.user, s.name.c_str(), name, percentile(detection, 0.5), percentile(detection, 0.99),
              missed, detection.size(), static_cast<unsigned long long>(sum.false_ejections),
              sum.server_hours, sum.least_healthy_share, s.floor, 100 * sum.error_share(),
              sum.percentile(0.99));
  std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 10;
  const char* only = argc > 2 ? argv[2] : "";
  const bool is_verbose = argc > 3 && std::strcmp(argv[3], "-v") == 0;
  const char* user = argc > 4 ? argv[4] : "";
  const bool is_alone = argc > 3 && std::strcmp(argv[3], "-a") == 0; // without baselines
  std::printf("%-9s %-24s %-12s %8s %8s %11s %6s %8s %12s %10s %8s\n", "size", "case", "way",
              "median s", "p99 s", "missed", "false", "server-h", "least/floor", "errors",
              "p99 ms");
  for (const auto& z : sizes) {
    if (*user != 0 && std::strcmp(user, z.user) != 0) {
      continue;
    }
    for (const auto& s : cases(z)) {
      if (s.name.find(only) == std::string::npos)
        continue;
      print_row(z, s, way::full, "kingcupshunt", seeds, is_verbose);
      if (is_verbose || is_alone)
        continue;
      const int fewer = std::max(1, seeds / 3);
      print_row(z, s, way::no_ejection, "no ejection", fewer, false);
      print_row(z, s, way::consecutive_local, "5 in a row", fewer, false);
      print_row(z, s, way::round_robin, "round robin", fewer, false);
    }
  }
}
