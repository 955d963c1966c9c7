// Hundreds of changes of a config with many routes: the control processes outgrow their memory.
#include "fleet.h"

using namespace review;

namespace {

constexpr int many_routes = 3600; ///< a config of 778 KB, which is just accepted
constexpr int few_routes = 8;
constexpr double memory_mb = 256; ///< of a core machine, as in its settings
constexpr double run_s = 106;
constexpr int operators = 8; ///< orders in progress

std::string config(int version) {
  std::vector<std::string> out = {spec_of_service("s"), spec_of_limits,
                                  spec_of_tenant("t", {"0123456789abcdefghij"}, 50, 50)};
  const int routes = is_calm() ? few_routes : many_routes;
  for (int i = 0; i < routes; ++i) {
    const auto number = std::to_string(10000 + i);
    // Each change gives one route another time limit.
    out.push_back(R"({"type":"routes","metadata":{"name":"r-)" + number +
                  R"("},"spec":{"host":"shop.example","path_prefix":"/p)" + number +
                  R"(/","kind":"unsafe","timeout_s":)" + (i == version % routes ? "2.5" : "2") +
                  R"(,"target_latency_s":0.6,"priority":1,"service":"s","max_attempts":2,)" +
                  R"("public":false}})");
  }
  return config_of(version, out);
}

double resident_mb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  double all = 0;
  double resident = 0;
  in >> all >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

} // namespace

int main() {
  record.open("record.txt");
  deployment_options options;
  options.fronts = 2;
  deployment d(options);
  bring_up(d, config(1));
  record.line("the config has %zu bytes", config(1).size());
  std::atomic<bool> is_done{false};
  std::atomic<int> acked{0};
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
            record.line("%s uses %.0f MB after %d changes", m->name.c_str(), used, acked.load());
            d.end(*m, SIGKILL);
            ++ends[m->name];
            start_at[m->name] = now_s() + 0.3;
          }
        }
      }
      sleep_ms(20);
    }
  });
  std::atomic<int> version{1};
  std::vector<std::thread> all;
  for (int i = 0; i < operators; ++i) {
    all.emplace_back([&] {
      // Each order goes to the node first that acknowledged the last one.
      std::string node = d.cores()[0]->ip;
      while (!is_done) {
        const int v = ++version;
        std::string answered_by;
        bool is_acked =
            call_control(node, "config.replace", config(v), 4000, &answered_by).status() == 200;
        node = is_acked ? answered_by : node;
        is_acked = is_acked || replace_config(d.cores(), config(v), 3, 4000);
        acked += is_acked ? 1 : 0;
        if (v % 20 == 0) {
          record.line("change r%d %s", v, is_acked ? "acknowledged" : "without an ack");
        }
        if (is_calm()) {
          sleep_ms(800);
        }
      }
    });
  }
  while (now_s() < run_s) {
    sleep_ms(3000);
    std::string text;
    for (auto* m : d.cores()) {
      text += " " + std::to_string(static_cast<int>(resident_mb(m->pid)));
    }
    record.line("%d changes acknowledged, MB:%s", acked.load(), text.c_str());
  }
  is_done = true;
  for (auto& t : all) {
    t.join();
  }
  platform.join();
  int sum = 0;
  int three_times = 0;
  for (const auto& [name, n] : ends) {
    sum += n;
    three_times += n >= 3 ? 1 : 0;
  }
  return finish(2 * three_times >= 5, std::to_string(acked) + " changes were acknowledged; " +
                                          std::to_string(sum) +
                                          " times a control process ended for its memory, three "
                                          "times or more on " +
                                          std::to_string(three_times) + " of 5 core machines");
}
