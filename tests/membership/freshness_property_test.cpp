#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "membership/fresh_fleet.h"

using namespace simulation;

namespace {

/// Probabilities per step of 50 ms, except for loss and duplication.
struct fault_plan {
  double loss = 0.0;
  double duplication = 0.0;
  int max_delay_ms = 3;
  double change_rate = 0.0;
  double cut_rate = 0.0;     ///< of one path in one direction
  double isolate_rate = 0.0; ///< of most paths from or to one instance
  double heal_rate = 0.0;
  double restart_rate = 0.0;
  double voter_rate = 0.0; ///< one instance takes the state from the voters
  double view_rate = 0.0;
  double strike_rate = 0.0; ///< one instance is isolated and another makes a change
  double pull_success = 1.0;
};

void change_member(fresh_fleet& fleet, membership::fleet_view& view) {
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
}

/// Up to four members at once, so that a majority of the new view need not meet one of the old.
membership::fleet_view changed_view(fresh_fleet& fleet) {
  auto view = fleet.latest_view();
  ++view.version;
  for (auto n = 1 + fleet.net.random.below(4); n > 0; --n) {
    change_member(fleet, view);
  }
  return view;
}

void isolate(fresh_fleet& fleet) {
  auto& random = fleet.net.random;
  const auto n = fleet.instances.size();
  const auto one = random.below(n);
  const bool is_inbound = random.unit() < 0.8;
  const bool is_outbound = random.unit() < 0.8;
  const double share = random.unit() < 0.6 ? 1.0 : 0.7;
  for (std::size_t i = 0; i < n; ++i) {
    if (i != one && random.unit() < share) {
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
  if (happens(plan.strike_rate)) {
    isolate(fleet);
    for (std::size_t i = 0; i < n && !fleet.propose(i); ++i) {
    }
  }
  if (happens(plan.heal_rate) && !fleet.net.cuts.empty()) {
    if (happens(0.5)) {
      fleet.net.cuts.clear();
    } else {
      fleet.net.cuts.erase(fleet.net.cuts.begin());
    }
  }
  if (happens(plan.restart_rate)) {
    const auto i = random.below(n);
    if (fleet.instances[i].is_up && happens(0.2)) {
      fleet.instances[i].is_up = false;
    } else {
      fleet.restart(i);
    }
  }
  if (happens(plan.voter_rate)) {
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

/// Plans in which some faults are absent: with all of them at once nothing is acknowledged.
fault_plan any_plan() {
  fault_plan plan;
  plan.loss = *rc::gen::element(0.0, 0.0, 0.05, 0.3);
  plan.duplication = *rc::gen::element(0.0, 0.2);
  plan.max_delay_ms = *rc::gen::element(2, 2, 50, 300, 700);
  plan.change_rate = *rc::gen::element(0.03, 0.1, 0.5);
  plan.cut_rate = *rc::gen::element(0.0, 0.0, 0.05, 0.3);
  plan.isolate_rate = *rc::gen::element(0.0, 0.0, 0.03);
  plan.strike_rate = *rc::gen::element(0.01, 0.03);
  plan.pull_success = *rc::gen::element(1.0, 0.3, 0.03);
  plan.heal_rate = *rc::gen::element(0.02, 0.05, 0.1);
  plan.restart_rate = *rc::gen::element(0.0, 0.0, 0.02, 0.1);
  plan.voter_rate = plan.restart_rate * *rc::gen::element(0.1, 1.0);
  plan.view_rate = *rc::gen::element(0.0, 0.0, 0.02, 0.2);
  return plan;
}

/// How often the runs of one property came close to what they check.
struct coverage {
  std::size_t acknowledged = 0;
  std::size_t fresh_and_behind = 0; ///< steps at which an instance was fresh, lacking a change
};

void check_invariant(std::size_t flat_limit, coverage& seen) {
  const auto n = *rc::gen::inRange<std::size_t>(3, 10);
  const auto members = *rc::gen::inRange<std::size_t>(2, n + 1);
  const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 30U);
  const auto plan = any_plan();
  fresh_fleet fleet(n, members, flat_limit, seed);
  for (std::size_t i = 0; i < n; ++i) {
    fleet.sync_with_voters(i);
  }
  fleet.net.loss = plan.loss;
  fleet.net.duplication = plan.duplication;
  fleet.net.max_delay = milliseconds(plan.max_delay_ms);
  fleet.pull_success = plan.pull_success;
  for (int step = 0; step < 1500; ++step) {
    disturb(fleet, plan);
    fleet.step();
    if (const auto violation = fleet.find_violation()) {
      RC_FAIL("instance " + std::to_string(*violation) + " is fresh with revision " +
              std::to_string(fleet.instances[*violation].applied));
    }
    RC_ASSERT_FALSE(fleet.wrongly_acknowledged.has_value());
    for (std::size_t i = 0; i < n && !fleet.held.empty(); ++i) {
      const bool is_behind = fleet.instances[i].applied < fleet.held.rbegin()->first;
      seen.fresh_and_behind += is_behind && fleet.is_fresh(i) ? 1U : 0U;
    }
  }
  seen.acknowledged += fleet.acknowledged.size();
}

/// Requires that each of two counts was at least `least`: a plan that acknowledges nothing, or
/// leaves nobody behind, would prove nothing.
void check_property(std::size_t flat_limit, std::size_t least) {
  coverage seen;
  CHECK(rc::check([&] { check_invariant(flat_limit, seen); }));
  CAPTURE(seen.acknowledged);
  CAPTURE(seen.fresh_and_behind);
  CHECK(seen.acknowledged >= least);
  CHECK(seen.fresh_and_behind >= least);
}

} // namespace

// Guards against serving withdrawn keys: an instance that lacks an acknowledged revision must stop
// being fresh within 2 s under any loss, delay, cut, restart, view change and clock drift.
TEST_CASE("no instance is fresh 2 s after a change it lacks was acknowledged") {
  check_property(64, 500);
}

// The same for the counting by groups that large fleets use.
TEST_CASE("counting by groups keeps the freshness invariant") {
  check_property(2, 500);
}
