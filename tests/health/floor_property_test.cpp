#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "health/trace_replay.h"
#include "kingcupshunt/health/floor.h"

namespace {

using namespace support;

const base::time_point start{base::seconds(1000)};

// A fleet in virtual time whose inputs are all drawn at random.
struct random_fleet {
  random_fleet(std::uint64_t seed, double floor, int servers) : rng(seed) {
    cluster_settings settings;
    settings.instances = 5 + static_cast<int>(rng.below(6));
    settings.floor = floor;
    settings.seed = seed;
    settings.detection.initial_hold = base::milliseconds(500);
    cluster = std::make_unique<health_cluster>(settings, queue);
    cluster->is_lost = [this](const auto&, const auto&) { return rng.unit() < loss; };
    cluster->on_states = [this](const auto& id, const auto& states, auto) { check(id, states); };
    cluster->on_decision = [this](const auto&, const observe::decision& d, auto) {
      ejections += d.outcome == "ejected" ? 1 : 0;
    };
    cluster->on_probe = [this](const auto& id, const auto& up, auto t) {
      const auto outcome = static_cast<health::probe_outcome>(rng.below(3));
      queue.at(t + base::milliseconds(25), [this, id, up, outcome](auto now) {
        cluster->clock = now;
        cluster->nodes[id].reporter->probe_done("fitting", up, outcome, now);
      });
    };
    cluster->start(start);
    for (int i = 0; i < servers; ++i) {
      health::upstream up;
      const auto slots = static_cast<std::uint32_t>(1 + rng.below(6));
      up.info = {"fitting", "s" + std::to_string(i), "dc" + std::to_string(i % 3), slots, false, 1,
                 1};
      up.first_seen = start;
      all.push_back(up);
    }
    loss = rng.unit() * 0.3;
    announce(start);
  }

  // Each instance and owner gets its own view of the announced servers.
  void announce(base::time_point now) {
    cluster->clock = now;
    for (auto& [id, n] : cluster->nodes) {
      auto& seen = views[id];
      seen.clear();
      for (const auto& up : all) {
        if (rng.unit() < 0.9) {
          seen.push_back(up);
          seen.back().info.is_draining = rng.unit() < 0.1;
        }
      }
      n.reporter->set_upstreams("fitting", seen, now);
      n.owner->set_upstreams("fitting", seen, now);
    }
  }

  void check(const std::string& id, const std::vector<health::server_status>& states) {
    std::vector<health::withheld> out;
    for (const auto& s : states) {
      if (s.state == health::server_state::ejected || s.state == health::server_state::probation) {
        out.push_back({s.id, 0});
      }
    }
    const auto& seen = views[id];
    const auto before = health::count_capacity(seen, {});
    const auto after = health::count_capacity(seen, out);
    // Draining servers alone may leave less than the floor; then nothing healthy is withheld.
    if (after.healthy != before.healthy && !after.is_above(cluster->settings.floor)) {
      ++violations;
    }
    max_withheld = std::max(max_withheld, out.size());
  }

  void step(base::time_point now) {
    cluster->clock = now;
    const auto& members = cluster->view.members;
    for (int k = 0; k < 20; ++k) {
      const auto& instance = members[rng.below(members.size())].id;
      const auto server = rng.below(all.size());
      health::attempt a;
      a.service = "fitting";
      a.upstream = all[server].info.id;
      const bool is_bad = bad.contains(server) && rng.unit() < 0.8;
      a.end = is_bad ? static_cast<health::attempt_end>(rng.below(10)) : health::attempt_end::ok;
      a.total = a.first_byte = base::milliseconds(is_bad ? 900 : 30 + rng.below(30));
      cluster->nodes[instance].reporter->report(a, now);
    }
    if (rng.unit() < 0.1) {
      bad.insert(rng.below(all.size()));
    }
    if (rng.unit() < 0.05) {
      bad.clear();
    }
    if (rng.unit() < 0.01) {
      announce(now);
    }
    if (rng.unit() < 0.01) { // the owner changes, and back
      auto& member = cluster->view.members[rng.below(members.size())];
      member.is_active = !member.is_active;
      cluster->set_view(now);
    }
    auto& n = cluster->nodes[members[rng.below(members.size())].id];
    n.is_fresh = rng.unit() < 0.9;
  }

  void run(base::duration length) {
    for (auto t = start; t < start + length; t += base::milliseconds(40)) {
      queue.at(t, [this](auto now) { step(now); });
    }
    queue.run_until(start + length);
  }

  base::rng rng;
  event_queue queue;
  std::unique_ptr<health_cluster> cluster;
  std::vector<health::upstream> all;
  std::map<std::string, std::vector<health::upstream>> views;
  std::set<std::size_t> bad;
  double loss = 0;
  std::size_t max_withheld = 0;
  int violations = 0;
  int ejections = 0;
};

} // namespace

// Guards I1: no sequence of evidence, owner changes, lost verdicts and differing views withholds
// capacity below the floor at any instance.
TEST_CASE("ejection never takes healthy capacity below the floor at any instance") {
  int ejections = 0;
  const bool is_held = rc::check([&](std::uint64_t seed) {
    const double floor = 0.3 + 0.1 * static_cast<double>(seed % 7);
    random_fleet fleet(seed, floor, 4 + static_cast<int>(seed % 13));
    fleet.run(base::seconds(14));
    ejections += fleet.ejections;
    RC_ASSERT(fleet.violations == 0);
  });
  CHECK(is_held);
  CHECK(ejections > 100); // the property must not hold for want of ejections
}

// Guards against a floor that rounding or the order of ejections breaks.
TEST_CASE("fit_to_floor keeps the worst servers that the floor allows") {
  const bool is_held = rc::check([](std::uint64_t seed) {
    base::rng rng(seed);
    std::vector<health::upstream> servers(1 + rng.below(40));
    std::vector<health::withheld> proposed;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      servers[i].info.id = std::to_string(i);
      servers[i].info.slots = static_cast<std::uint32_t>(1 + rng.below(6));
      servers[i].info.is_draining = rng.unit() < 0.2;
      if (rng.unit() < 0.5) {
        proposed.push_back({servers[i].info.id, rng.unit()});
      }
    }
    const double floor = static_cast<double>(rng.below(11)) / 10;
    const auto before = health::count_capacity(servers, {});
    const auto kept = health::fit_to_floor(servers, proposed, floor);
    const auto after = health::count_capacity(servers, kept);
    RC_ASSERT(after.is_above(floor) || after.healthy == before.healthy);
    RC_ASSERT(std::ranges::is_sorted(kept, std::ranges::greater{}, &health::withheld::severity));
  });
  CHECK(is_held);
}

// Guards against ejections kept while servers die: the least bad one returns first.
TEST_CASE("fewer announced servers lift the least bad ejection first") {
  std::vector<health::upstream> servers(10);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i].info.id = std::to_string(i);
    servers[i].info.slots = 3;
  }
  const std::vector<health::withheld> out{{"0", 2}, {"1", 0.3}, {"2", 1}, {"3", 0.5}};
  CHECK(health::fit_to_floor(servers, out, 0.6).size() == 4);
  servers.pop_back();
  const auto kept = health::fit_to_floor(servers, out, 0.6);
  REQUIRE(kept.size() == 3);
  CHECK(kept.back().id == "3");
}
