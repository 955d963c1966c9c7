// Machines of the core are replaced one after the other, each after the one before has had more
// than catch_up_s. The seeds in the settings name three live machines that serve control, none of
// them the one that leads. LEADER_IN_SEEDS=1 does the same with the leading machine among them.
#include "kit.h"

using namespace kit;

int main(int argc, char** argv) {
  if (argc < 3) {
    return 2;
  }
  open_record(argv[2]);
  const bool names_leader = std::getenv("LEADER_IN_SEEDS") != nullptr;
  deployment d(argv[1]);
  std::vector<machine*> core;
  for (int i = 0; i < 5; ++i) {
    core.push_back(&d.add("core-" + std::to_string(i + 1), i + 1, true));
  }
  auto& front = d.add("front-1", 21, false);
  const auto addresses = [&](auto member) {
    std::vector<std::string> out;
    for (auto* m : core) {
      out.push_back((m->*member)());
    }
    return out;
  };
  for (auto& m : d.machines) {
    m->seeds = {core[0]->control(), core[1]->control(), core[2]->control()};
    m->start();
  }
  config c;
  c.services = {"fitting"};
  c.routes = {{"lookup", "/look/", "fitting", "safe", 1.5, 2, false},
              {"hold", "/hold/", "fitting", "unsafe", 2, 1, false}};
  c.tenants = {{"optician", {"2b9wu3fexd9dnn2ctnfz"}, 200, 200}};
  std::string leader;
  if (!replace_config(addresses(&machine::control), c, 10, &leader)) {
    return finish(2, "the first config was not acknowledged");
  }
  std::vector<std::unique_ptr<server>> servers;
  for (int i = 0; i < 2; ++i) {
    servers.push_back(std::make_unique<server>());
    auto& s = *servers.back();
    s.id = "i-" + std::to_string(i + 1);
    s.address = d.network + std::to_string(41 + i) + ":8080";
    s.service = "fitting";
    s.controls = addresses(&machine::control);
    s.start();
  }
  if (!wait_until([&] { return is_ready(front); }, 10)) {
    return finish(2, "the front machine did not become ready");
  }
  sleep_s(3); // all five machines of the core are in use
  const auto serve = [&](int n) {
    int served = 0;
    for (int i = 0; i < n; ++i) {
      const auto r = send_request(front.front(), "POST", "/hold/" + std::to_string(i),
                                  c.tenants[0].keys[0], 2000, "x");
      served += r.status == 200 ? 1 : 0;
      sleep_s(0.05);
    }
    record("requester: %d of %d served", served, n);
    return served;
  };
  if (serve(20) < 19) {
    return finish(2, "requests were not served before the disruption");
  }
  // A read is answered by the leading machine.
  if (read_config(addresses(&machine::control), 5, &leader) != 1) {
    return finish(2, "the config was not read back before the disruption");
  }
  record("platform: %s leads", leader.c_str());
  // The seeds of all machines: three that run, in the order of the operator's list.
  const auto exchange_seeds = [&] {
    std::vector<std::string> seeds;
    if (names_leader) {
      seeds.push_back(leader);
    }
    for (auto it = core.rbegin(); it != core.rend() && seeds.size() < 3; ++it) {
      if ((*it)->is_running() && (*it)->control() != leader) {
        seeds.push_back((*it)->control());
      }
    }
    record("platform: seeds are now %s %s %s", seeds[0].c_str(), seeds[1].c_str(),
           seeds[2].c_str());
    for (auto& m : d.machines) {
      m->seeds = seeds;
      if (m->is_running()) {
        m->write_settings();
      }
    }
  };
  exchange_seeds();
  sleep_s(3);
  std::vector<machine*> followers;
  for (auto* m : core) {
    if (m->control() != leader) {
      followers.push_back(m);
    }
  }
  for (int i = 0; has_trouble() && i < 3; ++i) {
    auto* lost = followers[static_cast<std::size_t>(i)];
    lost->kill(); // for good
    core.erase(std::find(core.begin(), core.end(), lost));
    sleep_s(1);
    auto& added = d.add("core-" + std::to_string(6 + i), 6 + i, true);
    added.is_first_start = false;
    added.seeds = core.front()->seeds;
    core.push_back(&added);
    exchange_seeds();
    added.start();
    for (auto& s : servers) {
      s->controls = addresses(&machine::control);
    }
    sleep_s(10); // catch_up_s is 4
  }
  const int served = serve(20);
  // Time after the last machine came: 15 s and more (recovery_s).
  sleep_s(6);
  c.version = 2;
  const bool is_acked = replace_config(addresses(&machine::control), c, 10);
  const auto version = read_config(addresses(&machine::control), 10);
  const int served_later = serve(20);
  record("check: read back r%llu, r2 %s, %d and %d of 20 served, %zu of 5 machines run",
         static_cast<unsigned long long>(version), is_acked ? "acknowledged" : "not acknowledged",
         served, served_later, d.controls().size());
  if (d.controls().size() != 5) {
    return finish(2, "a process has ended");
  }
  if (version == 0) {
    return finish(1, "BROKEN: no node gives the acknowledged config");
  }
  return finish(0, "held");
}
