// A tenant gets more than its usage cap while the processes of the core are down and start again.
#include "fleet.h"

using namespace review;

namespace {

constexpr int rate = 4;
constexpr int burst = 4;
constexpr double window_s = 5; ///< quota_window_s
constexpr double over = 0.1;   ///< quota_over
constexpr double slack = 20;   ///< quota_slack
constexpr std::size_t front_machines = 17;
constexpr double asked_per_s = 30; ///< 7.5 times the rate

std::string config() {
  return config_of(1, {spec_of_route("r-hold", "/hold/", "fitting", "unsafe", false),
                       spec_of_service("fitting"), spec_of_limits,
                       spec_of_tenant("small", {"0123456789abcdefghij"}, rate, burst)});
}

} // namespace

int main() {
  record.open("record.txt");
  deployment_options options;
  options.fronts = front_machines;
  deployment d(options);
  bring_up(d, config());
  const auto controls = addresses_of(d.cores());
  std::mutex mutex;
  std::vector<double> runs;
  std::map<std::string, double> sent_at;
  std::vector<std::unique_ptr<server>> servers;
  for (int i = 0; i < 6; ++i) {
    servers.push_back(
        std::make_unique<server>(server::options{.id = "i-" + std::to_string(i),
                                                 .service = "fitting",
                                                 .ip = d.address(3, static_cast<std::size_t>(i)),
                                                 .slots = 6,
                                                 .work_ms = 5},
                                 controls));
    servers.back()->on_run = [&, i](const message& m) {
      const std::lock_guard guard(mutex);
      runs.push_back(sent_at[m.field("request-id")]);
      record.line("i-%d runs %s of %s", i, m.field("request-id").c_str(),
                  m.field("tenant-id").c_str());
    };
    servers.back()->start();
  }
  const auto fronts = d.fronts();
  std::atomic<int> sent{0};
  std::atomic<double> pause_s{1};
  std::atomic<bool> is_done{false};
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < fronts.size(); ++i) {
    callers.emplace_back([&, i] {
      caller c(fronts[i]->ip);
      // The pause may become shorter while it lasts.
      double last = now_s() - pause_s * static_cast<double>(i) / static_cast<double>(fronts.size());
      while (!is_done) {
        if (now_s() < last + pause_s) {
          sleep_ms(5);
          continue;
        }
        last = now_s();
        const auto id = "q" + std::to_string(++sent);
        {
          const std::lock_guard guard(mutex);
          sent_at[id] = now_s();
        }
        const auto answer = c.send(id, "POST", "/hold/x", "0123456789abcdefghij", "hold");
        record.line("%s at %s: %d %s", id.c_str(), fronts[i]->name.c_str(), answer.status(),
                    answer.field("x-kingcupshunt-reason").c_str());
      }
    });
  }
  // Its usual requests: half of its rate.
  pause_s = static_cast<double>(front_machines) / (rate / 2.0);
  const double until = now_s() + 30;
  for (std::size_t served = 0; served < 5; sleep_ms(50)) {
    const std::lock_guard guard(mutex);
    served = runs.size();
    if (now_s() > until) {
      cannot_run("no request is served");
    }
  }
  sleep_ms(10000);
  record.line("the tenant sends many times its usual");
  pause_s = static_cast<double>(front_machines) / asked_per_s;
  sleep_ms(200);
  if (!is_calm()) {
    d.kill_together(d.cores());
    sleep_ms(800);
    for (auto* m : d.cores()) {
      d.start(*m);
    }
  }
  sleep_ms(20000);
  is_done = true;
  for (auto& t : callers) {
    t.join();
  }
  for (auto& s : servers) {
    s->stop();
  }
  std::ranges::sort(runs);
  std::size_t most = 0;
  double at = 0;
  for (std::size_t i = 0, j = 0; i < runs.size(); ++i) {
    while (runs[i] - runs[j] > window_s) {
      ++j;
    }
    if (i - j + 1 > most) {
      most = i - j + 1;
      at = runs[j];
    }
  }
  const double allowed = (rate * window_s + burst) * (1 + over) + slack;
  char text[200];
  std::snprintf(text, sizeof(text),
                "%zu requests of one tenant ran that were sent within %.0f s from %.2f s on; "
                "%.1f are allowed",
                most, window_s, at, allowed);
  return finish(static_cast<double>(most) > allowed, text);
}
