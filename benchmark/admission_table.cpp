// Queue, retries and hedging in simulated time with fixed seeds, beside simpler schemes.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "kingcupshunt/admission/fair_queue.h"
#include "kingcupshunt/admission/hedging.h"
#include "kingcupshunt/admission/retry_policy.h"
#include "kingcupshunt/base/rng.h"

using namespace kingcupshunt;
using base::time_point;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr double deadline_seconds = 0.5;

time_point at(double s) {
  return time_point{} + base::from_seconds(s);
}

double exponential(base::rng& rng, double mean) {
  return -mean * std::log(1.0 - rng.unit());
}

struct event {
  double when = 0;
  std::uint64_t order = 0;
  std::function<void()> what;
  bool operator<(const event& o) const { return when != o.when ? when > o.when : order > o.order; }
};

struct simulation {
  std::priority_queue<event> events;
  std::uint64_t next = 0;
  double now = 0;
  void after(double delay, std::function<void()> what) {
    events.push({now + delay, next++, std::move(what)});
  }
  void run() {
    while (!events.empty()) {
      auto e = events.top();
      events.pop();
      now = e.when;
      e.what();
    }
  }
};

struct tenant_result {
  std::uint64_t offered = 0;
  std::uint64_t served = 0; ///< within the deadline
  std::vector<double> waits_ms;
};

// A bounded queue that serves in order of arrival and does not look at deadlines.
class fifo {
public:
  fifo(std::size_t limit, std::size_t slots) : limit_(limit), slots_(slots) {}
  void enter(std::function<void(bool)> done) {
    if (waiting_.size() >= limit_) {
      return done(false);
    }
    waiting_.push_back(std::move(done));
    dispatch();
  }
  void finish() {
    --running_;
    dispatch();
  }

private:
  void dispatch() {
    while (!waiting_.empty() && running_ < slots_) {
      ++running_;
      auto done = std::move(waiting_.front());
      waiting_.pop_front();
      done(true);
    }
  }
  std::size_t limit_;
  std::size_t slots_;
  std::size_t running_ = 0;
  std::deque<std::function<void(bool)>> waiting_;
};

// 8 slots with runs of 20 ms on average serve 400/s. Seven tenants offer 40/s each, one offers
// `flood` per second.
std::vector<tenant_result> run_queue(bool is_fair, double flood, std::size_t limit) {
  simulation sim;
  base::rng rng(seed);
  std::vector<tenant_result> out(8);
  admission::fair_queue fair({"fitting", limit, 20}, {});
  fair.set_slots(8, at(0));
  fifo plain(limit, 8);
  const auto turn = [&](std::size_t t, double start) {
    const double run = exponential(rng, 0.02);
    out[t].waits_ms.push_back(1e3 * (sim.now - start));
    sim.after(run, [&, t, start, run] {
      out[t].served += sim.now - start <= deadline_seconds ? 1 : 0;
      if (is_fair) {
        fair.finish("w" + std::to_string(t), config::request_class::normal, base::from_seconds(run),
                    at(sim.now));
      } else {
        plain.finish();
      }
    });
  };
  std::function<void(std::size_t)> arrive = [&](std::size_t t) {
    sim.after(exponential(rng, 1.0 / (t == 0 ? flood : 40.0)), [&, t] {
      if (sim.now > 60) {
        return;
      }
      const double start = sim.now;
      ++out[t].offered;
      if (is_fair) {
        fair.enter({"w" + std::to_string(t), 1, config::request_class::normal,
                    at(start + deadline_seconds)},
                   at(start), [&, t, start](const proxy::decided<void>& d) {
                     if (d) {
                       turn(t, start);
                     }
                   });
      } else {
        plain.enter([&, t, start](bool is_admitted) {
          if (is_admitted) {
            turn(t, start);
          }
        });
      }
      arrive(t);
    });
  };
  for (std::size_t t = 0; t < out.size(); ++t) {
    arrive(t);
  }
  sim.run();
  return out;
}

void print_queue() {
  std::printf("| Flood per second | Queue limit | Scheme | Worst share of the seven | Their wait "
              "p99 ms | Served of the flood per second |\n|---|---|---|---|---|---|\n");
  for (const double flood : {40.0, 400.0, 2000.0}) {
    for (const std::size_t limit : {64U, 512U}) {
      for (const bool is_fair : {false, true}) {
        const auto r = run_queue(is_fair, flood, limit);
        double worst = 1;
        std::vector<double> waits;
        for (std::size_t t = 1; t < r.size(); ++t) {
          worst =
              std::min(worst, static_cast<double>(r[t].served) / static_cast<double>(r[t].offered));
          waits.insert(waits.end(), r[t].waits_ms.begin(), r[t].waits_ms.end());
        }
        std::ranges::sort(waits);
        std::printf("| %.0f | %zu | %s | %.3f | %.0f | %.0f |\n", flood, limit,
                    is_fair ? "fair queue" : "in order of arrival", worst,
                    waits[waits.size() * 99 / 100], static_cast<double>(r[0].served) / 60);
      }
    }
  }
}

struct retry_result {
  double amplification = 0;
  double success = 0;
};

// 1,000 requests/s over 10 workspaces for 10 s, each try fails with probability `failing`.
retry_result run_retries(admission::retry_policy& policy, double failing, double from,
                         base::rng& rng) {
  std::uint64_t sent = 0;
  std::uint64_t succeeded = 0;
  for (int i = 0; i < 10'000; ++i) {
    const auto now = at(from + i / 1000.0);
    const auto w = "w" + std::to_string(i % 10);
    for (std::uint32_t tries = 1;; ++tries) {
      ++sent;
      health::attempt a;
      a.end = rng.unit() < failing ? health::attempt_end::timed_out : health::attempt_end::ok;
      policy.note(w, a, now);
      const admission::retry_request r{w, true, tries, now + base::seconds(1), {}, true};
      if (a.end == health::attempt_end::ok || !policy.decide(r, a, now).is_allowed) {
        succeeded += a.end == health::attempt_end::ok ? 1 : 0;
        break;
      }
    }
  }
  return {static_cast<double>(sent) / 10'000, static_cast<double>(succeeded) / 10'000};
}

void print_retries() {
  std::printf("\n| Failing tries | Scheme | Tries per request, first 10 s | next 10 s | Success "
              "first 10 s | next 10 s |\n|---|---|---|---|---|---|\n");
  for (const double failing : {0.01, 0.05, 0.3, 1.0}) {
    for (const bool has_budget : {false, true}) {
      admission::retry_settings s;
      if (!has_budget) {
        s.budget.workspace_per_second = s.budget.instance_per_second = 1e9;
      }
      admission::retry_policy policy(s, {});
      base::rng rng(seed);
      run_retries(policy, 0, 0, rng);
      const auto first = run_retries(policy, failing, 10, rng);
      const auto next = run_retries(policy, failing, 20, rng);
      std::printf("| %.0f %% | %s | %.3f | %.3f | %.4f | %.4f |\n", 100 * failing,
                  has_budget ? "budget" : "up to 3 tries", first.amplification, next.amplification,
                  first.success, next.success);
    }
  }
}

// Lookups of 10 ms on average of which 3 % take 300 ms longer, 100/s for 200 s.
void print_hedging() {
  std::printf("\n| Scheme | p50 ms | p99 ms | Tries per request |\n|---|---|---|---|\n");
  for (const bool is_hedged : {false, true}) {
    base::rng rng(seed);
    admission::hedging hedging;
    admission::retry_policy policy({}, {});
    std::vector<double> all;
    std::uint64_t hedges = 0;
    const auto draw = [&] {
      return 0.002 + exponential(rng, 0.008) + (rng.unit() < 0.03 ? 0.3 : 0.0);
    };
    for (int i = 0; i < 20'000; ++i) {
      const auto now = at(i * 0.01);
      double time = draw();
      const auto delay = hedging.delay("lookup", is_hedged, true, base::seconds(2));
      const double wait = delay ? base::to_seconds(*delay) : 1e9;
      health::attempt a;
      a.route = "lookup";
      if (time > wait && policy.take_hedge("w", true, now)) {
        ++hedges;
        const double other = wait + draw();
        a.end = health::attempt_end::cancelled;
        a.total = base::from_seconds(std::min(time, other));
        if (other < time) {
          hedging.note(a);
        }
        time = std::min(time, other);
      }
      a.end = health::attempt_end::ok;
      a.first_byte = base::from_seconds(time);
      hedging.note(a);
      policy.note("w", a, now);
      all.push_back(1e3 * time);
    }
    std::ranges::sort(all);
    std::printf("| %s | %.1f | %.1f | %.3f |\n", is_hedged ? "hedged" : "not hedged",
                all[all.size() / 2], all[all.size() * 99 / 100],
                1 + static_cast<double>(hedges) / 20'000);
  }
}

} // namespace

int main() {
  print_queue();
  print_retries();
  print_hedging();
  return 0;
}
