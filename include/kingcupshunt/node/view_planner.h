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

/// A member as this instance's failure detector sees it.
struct observed_member {
  membership::fleet_member info;
  observed_state state = observed_state::alive;
  base::time_point since{}; ///< start of the state
};

struct view_planner_settings {
  base::duration return_after = base::seconds(2); ///< alive for this long before it is active
  base::duration remove_left_after = base::seconds(10);
  base::duration remove_dead_after = base::seconds(600);
};

/// The members that the fleet view should have, or nothing when it already has them. Runs on the
/// log's leader. A dead member stays in the view for a while: it may return, and every change of
/// the view moves owners.
std::optional<std::vector<membership::fleet_member>>
plan_view(const view_planner_settings& settings, const membership::fleet_view& view,
          std::span<const observed_member> observed, base::time_point now);

} // namespace kingcupshunt::node
