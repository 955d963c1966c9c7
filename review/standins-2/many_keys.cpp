// A config with many keys is acknowledged, and the older one stays in force at every front machine.
#include "fleet.h"

using namespace review;

namespace {

constexpr int tenants = 88;
constexpr int keys_before = 2;   ///< of each tenant
constexpr int keys_after = 75;   ///< of each tenant, in the config that is at issue
constexpr double apply_s = 2;    ///< config_apply_s
constexpr double observe_s = 20; ///< after it

std::string key_of(int tenant, int i) {
  char text[32];
  std::snprintf(text, sizeof(text), "k%04dx%04dx0123456789", tenant, i);
  return text;
}

std::string config(int version, const std::string& service, int keys) {
  std::vector<std::string> out = {spec_of_route("r-open", "/open/", service, "safe", true),
                                  spec_of_route("r-keyed", "/keyed/", service, "unsafe", false),
                                  spec_of_service("old"), spec_of_service("new"), spec_of_limits};
  for (int t = 0; t < tenants; ++t) {
    std::vector<std::string> list;
    for (int i = 0; i < keys; ++i) {
      list.push_back(key_of(t, i));
    }
    out.push_back(spec_of_tenant("tenant-" + std::to_string(t), list, 50, 50));
  }
  return config_of(version, out);
}

} // namespace

int main() {
  record.open("record.txt");
  deployment d;
  bring_up(d, config(1, "old", keys_before));
  const auto controls = addresses_of(d.cores());
  std::vector<std::unique_ptr<server>> servers;
  std::atomic<int> runs_of_old{0};
  std::atomic<int> runs_of_new{0};
  for (int i = 0; i < 4; ++i) {
    const bool is_old = i < 2;
    servers.push_back(
        std::make_unique<server>(server::options{.id = "i-" + std::to_string(i),
                                                 .service = is_old ? "old" : "new",
                                                 .ip = d.address(3, static_cast<std::size_t>(i))},
                                 controls));
    servers.back()->on_run = [&, is_old](const message& m) {
      ++(is_old ? runs_of_old : runs_of_new);
      record.line("runs at %s: %s", is_old ? "old" : "new", m.field("request-id").c_str());
    };
    servers.back()->start();
  }
  std::vector<std::unique_ptr<caller>> callers;
  for (const auto* m : d.fronts()) {
    callers.push_back(std::make_unique<caller>(m->ip));
  }
  int sent = 0;
  const auto ask = [&](std::size_t i, bool is_keyed, int key) {
    const auto id = "q" + std::to_string(++sent);
    const auto answer =
        callers[i]->send(id, is_keyed ? "POST" : "GET", is_keyed ? "/keyed/x" : "/open/x",
                         is_keyed ? key_of(0, key) : "");
    record.line("%s %s at %s: %d %s", id.c_str(), is_keyed ? "keyed" : "open",
                d.fronts()[i]->name.c_str(), answer.status(),
                answer.field("x-kingcupshunt-reason").c_str());
    return answer.status();
  };
  const double until = now_s() + 15;
  for (std::size_t i = 0; i < callers.size(); ++i) {
    while (ask(i, false, 0) != 200) {
      if (now_s() > until) {
        cannot_run("no request is served before the change");
      }
      sleep_ms(200);
    }
  }
  sleep_ms(4000); // all machines are in touch

  const auto next = config(2, "new", is_calm() ? keys_before : keys_after);
  record.line("config r2 of %zu bytes, %d keys", next.size(),
              tenants * (is_calm() ? keys_before : keys_after));
  if (!replace_config(d.cores(), next, 15)) {
    cannot_run("config r2 isn't acknowledged");
  }
  const double acked = now_s();
  record.line("config r2 is acknowledged");
  sleep_until_s(acked + apply_s + 0.5);
  runs_of_old = 0;
  runs_of_new = 0;
  int keyed_served = 0;
  int keyed_sent = 0;
  while (now_s() < acked + apply_s + observe_s) {
    for (std::size_t i = 0; i < callers.size(); ++i) {
      ask(i, false, 0);
      ++keyed_sent;
      keyed_served += ask(i, true, 0) == 200 ? 1 : 0;
    }
    sleep_ms(250);
  }
  const int old_runs = runs_of_old;
  const int new_runs = runs_of_new;
  for (auto& s : servers) {
    s->stop();
  }
  return finish(old_runs > 0,
                "sent later than config_apply_s after the ack of r2: " + std::to_string(old_runs) +
                    " requests ran at the old service, " + std::to_string(new_runs) +
                    " at the new one; " + std::to_string(keyed_served) + " of " +
                    std::to_string(keyed_sent) + " requests with a key were served");
}
