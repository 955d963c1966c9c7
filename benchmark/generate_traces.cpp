// Writes the traces under tests/data/traces: attempts at simulated servers with faults, without
// regard to ejections, so that the traces do not depend on the detection they test.
// Usage: generate_traces FOLDER
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <set>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/health/trace.h"

namespace {

using namespace kingcupshunt;
using health::attempt_end;

constexpr double fault_at = 14; // after the owner's wait of 7.1 s and some traffic
constexpr double traffic_from = 5;

struct behaviour {
  attempt_end end = attempt_end::ok;
  double share = 0; ///< of attempts that end like `end`
  double slow = 1;
  double seconds = 0; ///< fixed length of the attempts that end like `end`
};

struct trace_case {
  std::string name;
  double length = 24;
  std::function<behaviour(double t, int instance, int server)> behave;
  std::function<void(health::trace_writer&, int servers)> state; ///< expectations and probes
};

std::string server_id(int i) {
  return "s" + std::to_string(i);
}
std::string instance_id(int i) {
  return "i" + std::to_string(100 + i);
}
base::duration sec(double s) {
  return base::from_seconds(s);
}

const base::time_point start{};

void expect_ejected(health::trace_writer& w, int server, double within) {
  w.expect("ejected", server_id(server), sec(fault_at), sec(fault_at + within));
}

void expect_none(health::trace_writer& w) {
  w.expect("never_ejected", "*", sec(0), sec(1000));
}

void probes_fail(health::trace_writer& w, int server, base::milliseconds delay, double from) {
  w.probe_answers("*", server_id(server), health::probe_outcome::failed, delay, start + sec(from));
}

behaviour failing(attempt_end end, double share, double seconds = 0) {
  return {end, share, 1, seconds};
}
behaviour slower(double factor) {
  return {attempt_end::ok, 0, factor, 0};
}

bool is_on(double t) {
  return t >= fault_at;
}

std::vector<trace_case> cases() {
  std::vector<trace_case> out;
  const auto refused = failing(attempt_end::connect_failed, 1, 0.001);
  const auto add = [&](std::string name, double length, auto behave, auto state) {
    out.push_back({std::move(name), length, std::move(behave), std::move(state)});
  };
  add(
      "refuses", 20,
      [=](double t, int, int s) { return is_on(t) && s == 4 ? refused : behaviour{}; },
      [](auto& w, int) {
        probes_fail(w, 4, base::milliseconds(2), fault_at);
        expect_ejected(w, 4, 1.0);
      });
  add(
      "hangs", 20,
      [=](double t, int, int s) {
        return is_on(t) && s == 4 ? failing(attempt_end::timed_out, 1, 2) : behaviour{};
      },
      [](auto& w, int) {
        probes_fail(w, 4, base::milliseconds(250), fault_at);
        expect_ejected(w, 4, 2.0);
      });
  add(
      "slow_tenfold", 22,
      [](double t, int, int s) { return is_on(t) && s == 4 ? slower(10) : behaviour{}; },
      [](auto& w, int) { expect_ejected(w, 4, 5.0); });
  add(
      "fails_30_percent", 24,
      [](double t, int, int s) {
        return is_on(t) && s == 4 ? failing(attempt_end::error_status, 0.3) : behaviour{};
      },
      [](auto& w, int) { expect_ejected(w, 4, 8.0); });
  add(
      "truncates_30_percent", 24,
      [](double t, int, int s) {
        return is_on(t) && s == 4 ? failing(attempt_end::truncated, 0.3) : behaviour{};
      },
      [](auto& w, int) { expect_ejected(w, 4, 8.0); });
  add(
      "path_of_two_instances", 22,
      [=](double t, int i, int s) { return is_on(t) && s == 4 && i < 2 ? refused : behaviour{}; },
      [](auto& w, int) {
        for (int i = 0; i < 2; ++i)
          w.probe_answers(instance_id(i), "s4", health::probe_outcome::failed,
                          base::milliseconds(2), start + sec(fault_at));
        expect_none(w);
      });
  add(
      "path_of_one_centre", 22,
      [=](double t, int i, int s) {
        return is_on(t) && s == 4 && i % 3 == 0 ? refused : behaviour{};
      },
      [](auto& w, int) {
        for (int i = 0; i < 15; i += 3)
          w.probe_answers(instance_id(i), "s4", health::probe_outcome::failed,
                          base::milliseconds(2), start + sec(fault_at));
        expect_none(w);
      });
  add(
      "faulty_instance", 24,
      [](double t, int i, int) {
        return is_on(t) && i == 3 ? failing(attempt_end::closed_unanswered, 0.6) : behaviour{};
      },
      [](auto& w, int) {
        expect_none(w);
        w.expect("self_faulty", instance_id(3), sec(fault_at), sec(24));
      });
  add(
      "slow_everywhere", 24, [](double t, int, int) { return is_on(t) ? slower(6) : behaviour{}; },
      [](auto& w, int) { expect_none(w); });
  add(
      "sheds_when_full", 22,
      [](double t, int, int s) {
        return is_on(t) && s == 4 ? failing(attempt_end::shed, 0.9, 0.001) : behaviour{};
      },
      [](auto& w, int) { expect_none(w); });
  add(
      "stale_connections", 22,
      [](double t, int, int s) {
        return is_on(t) && s == 4 ? failing(attempt_end::stale_connection, 0.5, 0.001)
                                  : behaviour{};
      },
      [](auto& w, int) { expect_none(w); });
  add(
      "short_pause", 22,
      [](double t, int, int s) {
        return t >= fault_at && t < fault_at + 0.4 && s == 4 ? slower(10) : behaviour{};
      },
      [](auto& w, int) { expect_none(w); });
  add(
      "recovers", 34,
      [=](double t, int, int s) {
        return is_on(t) && t < fault_at + 4 && s == 4 ? refused : behaviour{};
      },
      [](auto& w, int) {
        probes_fail(w, 4, base::milliseconds(2), fault_at);
        w.probe_answers("*", "s4", health::probe_outcome::ok, base::milliseconds(25),
                        start + sec(fault_at + 4));
        expect_ejected(w, 4, 1.0);
        w.expect("returned", "s4", sec(fault_at + 4), sec(fault_at + 16));
      });
  add(
      "owner_lost", 30,
      [=](double t, int, int s) { return is_on(t) && s == 4 ? refused : behaviour{}; },
      [](auto& w, int) {
        probes_fail(w, 4, base::milliseconds(2), fault_at);
        w.instance_lost("owner", base::milliseconds(1500), start + sec(fault_at + 3));
        expect_ejected(w, 4, 1.0);
        w.expect("still_ejected", "s4", sec(fault_at + 1.5), sec(fault_at + 12));
      });
  add(
      "faulty_instance_and_slow_server", 26,
      [](double t, int i, int s) {
        return !is_on(t) ? behaviour{}
               : s == 4  ? slower(10)
               : i == 3  ? failing(attempt_end::closed_unanswered, 0.6)
                         : behaviour{};
      },
      [](auto& w, int n) {
        expect_ejected(w, 4, 7.0);
        for (int s = 0; s < n; ++s)
          if (s != 4)
            w.expect("never_ejected", server_id(s), sec(0), sec(1000));
      });
  add(
      "refusing_server_and_path_fault", 24,
      [=](double t, int i, int s) {
        return is_on(t) && (s == 4 || (s == 7 && i % 3 == 0)) ? refused : behaviour{};
      },
      [](auto& w, int) {
        probes_fail(w, 4, base::milliseconds(2), fault_at);
        for (int i = 0; i < 15; i += 3)
          w.probe_answers(instance_id(i), "s7", health::probe_outcome::failed,
                          base::milliseconds(2), start + sec(fault_at));
        expect_ejected(w, 4, 1.0);
        w.expect("never_ejected", "s7", sec(0), sec(1000));
      });
  add(
      "slow_everywhere_and_refusing_server", 24,
      [=](double t, int, int s) { return !is_on(t) ? behaviour{}
                                         : s == 4  ? refused
                                                   : slower(4); },
      [](auto& w, int n) {
        probes_fail(w, 4, base::milliseconds(2), fault_at);
        expect_ejected(w, 4, 1.0);
        for (int s = 0; s < n; ++s)
          if (s != 4)
            w.expect("never_ejected", server_id(s), sec(0), sec(1000));
      });
  return out;
}

void write(const trace_case& c, const std::string& path, int servers, std::uint32_t slots,
           std::uint64_t seed) {
  std::multimap<std::int64_t, std::string> lines; // by time; stable for equal times
  base::time_point now = start;
  health::trace_writer w(start, [&](std::string_view line) {
    lines.emplace(base::to_ms(now - start), std::string(line));
  });
  membership::fleet_view view;
  for (int i = 0; i < 15; ++i) {
    view.members.push_back({instance_id(i), "dc" + std::to_string(i % 3), "", "", true});
  }
  std::vector<health::upstream> ups;
  for (int s = 0; s < servers; ++s) {
    health::upstream up;
    up.info = {"fitting", server_id(s), "dc" + std::to_string(s % 3), slots, false, 1, 1};
    ups.push_back(up);
  }
  w.fleet(view, "fitting", 0.6, now);
  w.upstreams(ups, now);
  c.state(w, servers);
  base::rng rng(seed);
  const double rate = 100;
  for (double t = traffic_from; t < c.length; t += -std::log(1 - rng.unit()) / rate) {
    const int instance = int(rng.below(15));
    const int server = int(rng.below(std::uint64_t(servers)));
    const auto b = c.behave(t, instance, server);
    const double normal =
        std::sqrt(-2 * std::log(1 - rng.unit())) * std::cos(6.283185307179586 * rng.unit());
    health::attempt a;
    a.upstream = server_id(server);
    double length = 0.04 * std::exp(0.5 * normal) * b.slow;
    const double u = rng.unit();
    if (u < b.share) {
      a.end = b.end;
      length = b.seconds > 0 ? b.seconds : length;
    } else if (u > 0.999) {
      a.end = attempt_end::error_status;
    }
    a.first_byte = a.total = base::milliseconds(std::max(1L, std::lround(length * 1000)));
    now = start + sec(t) + a.total;
    w.attempt_ended(instance_id(instance), a, now);
  }
  now = start + sec(c.length);
  w.end(now);
  std::ofstream out(path);
  for (const auto& [t, line] : lines) {
    out << line << '\n';
  }
}

} // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: generate_traces FOLDER\n");
    return 1;
  }
  std::uint64_t seed = 1;
  for (const auto& c : cases()) {
    const std::string base_path = std::string(argv[1]) + "/" + c.name;
    write(c, base_path + "_20x3.jsonl", 20, 3, seed++);
    write(c, base_path + "_30x6.jsonl", 30, 6, seed++);
  }
}
