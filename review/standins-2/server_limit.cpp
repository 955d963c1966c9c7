// One server names a large limit of its rate: the control processes outgrow their memory in turn.
#include "fleet.h"

using namespace review;

namespace {

constexpr double memory_mb = 256; ///< of a core machine, as in its settings
constexpr double observe_s = 95;
const char* const limit = "10000000"; ///< requests a second

double resident_mb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  double all = 0;
  double resident = 0;
  in >> all >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

std::string config() {
  return config_of(1, {spec_of_route("r-hold", "/hold/", "fitting", "unsafe", false),
                       spec_of_service("fitting"), spec_of_limits,
                       spec_of_tenant("t", {"0123456789abcdefghij"}, 0, 0)});
}

} // namespace

int main() {
  record.open("record.txt");
  deployment d;
  bring_up(d, config());
  const auto controls = addresses_of(d.cores());
  std::vector<std::unique_ptr<server>> servers;
  for (int i = 0; i < 3; ++i) {
    fields extra;
    if (i == 0 && !is_calm()) {
      extra["Server-Limit"] = limit;
    }
    servers.push_back(
        std::make_unique<server>(server::options{.id = "i-" + std::to_string(i),
                                                 .service = "fitting",
                                                 .ip = d.address(3, static_cast<std::size_t>(i)),
                                                 .slots = 3,
                                                 .work_ms = 30,
                                                 .extra = extra},
                                 controls));
    servers.back()->start();
  }
  std::atomic<bool> is_done{false};
  std::map<std::string, int> ends;
  // The platform ends a process that uses more than memory_mb, and starts it again shortly after.
  std::thread platform([&] {
    std::map<std::string, double> start_at;
    while (!is_done) {
      for (auto* m : d.cores()) {
        if (start_at.contains(m->name) && now_s() >= start_at[m->name]) {
          start_at.erase(m->name);
          d.start(*m);
        } else if (!start_at.contains(m->name)) {
          const double used = resident_mb(m->pid);
          if (used > memory_mb || deployment::has_ended(*m)) {
            record.line("%s uses %.0f MB", m->name.c_str(), used);
            d.end(*m, SIGKILL);
            ++ends[m->name];
            start_at[m->name] = now_s() + 0.3;
          }
        }
      }
      sleep_ms(5);
    }
  });
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::vector<std::thread> callers;
  const auto fronts = d.fronts();
  for (std::size_t i = 0; i < fronts.size(); ++i) {
    callers.emplace_back([&, i] {
      caller c(fronts[i]->ip);
      while (!is_done) {
        const auto id = "q" + std::to_string(++sent);
        const auto answer = c.send(id, "POST", "/hold/x", "0123456789abcdefghij", "hold");
        served += answer.status() == 200 ? 1 : 0;
        record.line("%s at %s: %d %s", id.c_str(), fronts[i]->name.c_str(), answer.status(),
                    answer.field("x-kingcupshunt-reason").c_str());
        sleep_ms(100);
      }
    });
  }
  sleep_until_s(now_s() + observe_s);
  is_done = true;
  for (auto& t : callers) {
    t.join();
  }
  platform.join();
  for (auto& s : servers) {
    s->stop();
  }
  int sum = 0;
  int three_times = 0;
  for (const auto& [name, n] : ends) {
    sum += n;
    three_times += n >= 3 ? 1 : 0;
  }
  // A tenth of the nine machines in use, two at least, or half of the core.
  return finish(three_times >= 2,
                std::to_string(sum) +
                    " times a control process ended for its memory, three times " + "or more on " +
                    std::to_string(three_times) + " of 5 core machines; " + std::to_string(served) +
                    " of " + std::to_string(sent) + " requests were served");
}
