#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/membership/fleet_view.h"

namespace kingcupshunt::node {

enum class observed_state : std::uint8_t { alive, dead, left };

/// State of a member according to this instance's failure detector.
struct observed_member {
  membership::fleet_member info;
  observed_state state = observed_state::alive;
  base::time_point since{}; ///< start of the state
};

struct view_planner_settings {
  base::duration return_after = base::seconds(2); ///< time alive before a member is active again
  base::duration remove_left_after = base::seconds(10);
  base::duration remove_dead_after = base::seconds(600);
};

/// Returns the members that the fleet view should have, or nothing when the view is up to date.
/// Runs on the log's leader. A dead member stays in the view as inactive for `remove_dead_after`,
/// since it may return and every change of the view reassigns owners.
std::optional<std::vector<membership::fleet_member>>
plan_view(const view_planner_settings& settings, const membership::fleet_view& view,
          std::span<const observed_member> observed, base::time_point now);

} // namespace kingcupshunt::node
