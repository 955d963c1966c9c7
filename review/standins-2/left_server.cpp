// A server that has left is used again after all processes were killed and are back.
#include "fleet.h"

using namespace review;

namespace {

constexpr double drain_s = 2;
constexpr double stable_s = 3; ///< stable_window_s
constexpr double late_s = 4.8; ///< from the farewell's ack to the arrival of the late heartbeat
constexpr double serve_s = 14; ///< for which the server that left goes on to serve

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
  std::mutex mutex;
  struct run {
    double at;
    std::string id;
  };
  std::vector<run> runs_of_left;
  std::vector<std::unique_ptr<server>> servers;
  for (int i = 0; i < 3; ++i) {
    servers.push_back(
        std::make_unique<server>(server::options{.id = "i-" + std::to_string(i),
                                                 .service = "fitting",
                                                 .ip = d.address(3, static_cast<std::size_t>(i)),
                                                 .slots = 3,
                                                 .work_ms = 30},
                                 controls));
    servers.back()->on_run = [&, i](const message& m) {
      record.line("i-%d runs %s", i, m.field("request-id").c_str());
      if (i == 0) {
        const std::lock_guard guard(mutex);
        runs_of_left.push_back({now_s(), m.field("request-id")});
      }
    };
    servers.back()->start();
  }
  // Callers send all the time, each over one connection to one front machine.
  std::atomic<bool> is_done{false};
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::map<std::string, double> sent_at;
  std::vector<std::thread> callers;
  const auto fronts = d.fronts();
  for (std::size_t i = 0; i < 2 * fronts.size(); ++i) {
    callers.emplace_back([&, i] {
      caller c(fronts[i % fronts.size()]->ip);
      while (!is_done) {
        const auto id = "q" + std::to_string(++sent);
        {
          const std::lock_guard guard(mutex);
          sent_at[id] = now_s();
        }
        const auto answer = c.send(id, "POST", "/hold/x", "0123456789abcdefghij", "hold");
        served += answer.status() == 200 ? 1 : 0;
        record.line("%s at %s: %d %s", id.c_str(), fronts[i % fronts.size()]->name.c_str(),
                    answer.status(), answer.field("x-kingcupshunt-reason").c_str());
        sleep_ms(answer.status() == 200 ? 40 : 150);
      }
    });
  }
  const double until = now_s() + 15;
  while (servers[0]->runs() < 20) {
    if (now_s() > until) {
      cannot_run("the server that is to leave gets no requests");
    }
    sleep_ms(50);
  }
  sleep_ms(4000); // all machines are in touch

  // One heartbeat is on its way for seconds; its sender goes on to the next node after a second.
  auto& leaving = *servers[0];
  const auto late = leaving.next_announcement();
  record.line("i-0 sends a heartbeat that arrives late: %s", late.c_str());
  sleep_ms(1000);
  const double left_at = leaving.deregister(1);
  if (left_at < 0) {
    cannot_run("the farewell isn't acknowledged");
  }
  record.line("the farewell of i-0 is acknowledged");
  if (!is_calm()) {
    sleep_ms(200);
    std::vector<machine*> all = d.cores();
    all.insert(all.end(), fronts.begin(), fronts.end());
    d.kill_together(all);
    sleep_ms(500);
    for (auto* m : all) {
      d.start(*m);
    }
  }
  const double back_at = now_s();
  sleep_until_s(left_at + late_s);
  const auto answer = leaving.announce_at(controls[0], late);
  record.line("the late heartbeat of i-0 arrives: %d", answer.status());
  sleep_until_s(left_at + serve_s);
  is_done = true;
  for (auto& t : callers) {
    t.join();
  }
  for (auto& s : servers) {
    s->stop();
  }
  // After the loss of most of the core, machines are in touch again after twice the window.
  const double from = std::max(left_at + drain_s, is_calm() ? 0 : back_at + 2 * stable_s);
  int late_runs = 0;
  for (const auto& r : runs_of_left) {
    const bool is_late = sent_at[r.id] > from;
    late_runs += is_late ? 1 : 0;
    if (is_late) {
      record.line("late: %s, sent %.3f s after the ack, %.3f s after the start of the machines",
                  r.id.c_str(), sent_at[r.id] - left_at, sent_at[r.id] - back_at);
    }
  }
  return finish(late_runs > 0,
                std::to_string(late_runs) + " requests reached the server that had left, sent " +
                    "later than drain_s after the ack by machines in touch; " +
                    std::to_string(served) + " of " + std::to_string(sent) + " were served");
}
