#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "membership/fresh_fleet.h"

using namespace simulation;

namespace {

struct fault_plan {
  double loss = 0.0;
  double duplication = 0.0;
  int max_delay_ms = 3;
  double change_rate = 0.2;   ///< per step
  double cut_rate = 0.1;      ///< one-way cuts per step
  double isolate_rate = 0.02; ///< cuts of one instance from a random set, per step
  double heal_rate = 0.1;
  double restart_rate = 0.02;
  double view_rate = 0.05;
};

membership::fleet_view changed_view(fresh_fleet& fleet) {
  auto view = fleet.latest_view();
  ++view.version;
  const auto i = fleet.net.random.below(fleet.instances.size());
  const auto it = std::ranges::find(view.members, id_of(i), &membership::fleet_member::id);
  if (it == view.members.end()) {
    view.members.push_back({id_of(i), "dc0", "", "", true});
    std::ranges::sort(view.members, {}, &membership::fleet_member::id);
  } else if (view.members.size() > 2 && fleet.net.random.unit() < 0.6) {
    view.members.erase(it);
  } else {
    it->is_active = !it->is_active;
  }
  return view;
}

void isolate(fresh_fleet& fleet) {
  const auto n = fleet.instances.size();
  const auto one = fleet.net.random.below(n);
  const bool is_inbound = fleet.net.random.unit() < 0.7;
  const bool is_outbound = fleet.net.random.unit() < 0.7;
  for (std::size_t i = 0; i < n; ++i) {
    if (i != one && fleet.net.random.unit() < 0.8) {
      if (is_inbound) {
        fleet.net.cuts.insert({i, one});
      }
      if (is_outbound) {
        fleet.net.cuts.insert({one, i});
      }
    }
  }
}

void disturb(fresh_fleet& fleet, const fault_plan& plan) {
  auto& random = fleet.net.random;
  const auto n = fleet.instances.size();
  const auto happens = [&](double rate) { return random.unit() < rate; };
  if (happens(plan.cut_rate)) {
    fleet.net.cuts.insert({random.below(n), random.below(n)});
  }
  if (happens(plan.isolate_rate)) {
    isolate(fleet);
  }
  if (happens(plan.heal_rate) && !fleet.net.cuts.empty()) {
    if (happens(0.3)) {
      fleet.net.cuts.clear();
    } else {
      fleet.net.cuts.erase(fleet.net.cuts.begin());
    }
  }
  if (happens(plan.restart_rate)) {
    const auto i = random.below(n);
    if (fleet.instances[i].is_up && happens(0.3)) {
      fleet.instances[i].is_up = false;
    } else {
      fleet.restart(i);
    }
  }
  if (happens(plan.restart_rate)) { // the voters are reachable now and then
    const auto i = random.below(n);
    if (fleet.instances[i].is_up) {
      fleet.sync_with_voters(i);
    }
  }
  if (happens(plan.view_rate)) {
    fleet.propose(random.below(n), changed_view(fleet));
  } else if (happens(plan.change_rate)) {
    fleet.propose(random.below(n));
  }
}

fault_plan any_plan() {
  const auto percent = [](int max) { return *rc::gen::inRange(0, max) / 100.0; };
  fault_plan plan;
  plan.loss = percent(40);
  plan.duplication = percent(30);
  plan.max_delay_ms = *rc::gen::element(2, 20, 200, 900);
  plan.change_rate = percent(60);
  plan.cut_rate = percent(40);
  plan.isolate_rate = percent(20);
  plan.heal_rate = percent(50);
  plan.restart_rate = percent(30);
  plan.view_rate = percent(20);
  return plan;
}

void check_invariant(std::size_t flat_limit) {
  const auto n = *rc::gen::inRange<std::size_t>(2, 10);
  const auto members = *rc::gen::inRange<std::size_t>(1, n + 1);
  const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 30U);
  const auto plan = any_plan();
  fresh_fleet fleet(n, members, flat_limit, seed);
  for (std::size_t i = 0; i < n; ++i) {
    fleet.sync_with_voters(i);
  }
  fleet.net.loss = plan.loss;
  fleet.net.duplication = plan.duplication;
  fleet.net.max_delay = milliseconds(plan.max_delay_ms);
  for (int step = 0; step < 400; ++step) {
    disturb(fleet, plan);
    fleet.step();
    const auto violation = fleet.find_violation();
    if (violation) {
      RC_FAIL("instance " + std::to_string(*violation) + " is fresh with revision " +
              std::to_string(fleet.instances[*violation].applied));
    }
  }
}

} // namespace

// Guards against serving withdrawn keys: an instance that lacks an acknowledged revision must stop
// being fresh within 2 s under any loss, delay, cut, restart, view change and clock drift.
TEST_CASE("no instance is fresh 2 s after a change it lacks was acknowledged") {
  CHECK(rc::check([] { check_invariant(64); }));
}

// The same for the counting by groups that large fleets use.
TEST_CASE("counting by groups keeps the freshness invariant") {
  CHECK(rc::check([] { check_invariant(2); }));
}
