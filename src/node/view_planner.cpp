#include "kingcupshunt/node/view_planner.h"

#include <algorithm>

namespace kingcupshunt::node {

namespace {

using membership::fleet_member;

bool is_same(const fleet_member& a, const fleet_member& b) {
  return a.id == b.id && a.data_centre == b.data_centre && a.peer_address == b.peer_address &&
         a.entry_address == b.entry_address && a.is_active == b.is_active;
}

// Returns the member as it should be in the view; empty when it should not be in it.
std::optional<fleet_member> plan_member(const view_planner_settings& settings,
                                        const fleet_member* current, const observed_member& seen,
                                        base::time_point now) {
  const auto state_age = now - seen.since;
  if (seen.state == observed_state::alive) {
    auto out = seen.info;
    const bool was_inactive = current != nullptr && !current->is_active;
    out.is_active = !was_inactive || state_age >= settings.return_after;
    return out;
  }
  if (current == nullptr) {
    return std::nullopt;
  }
  const auto limit =
      seen.state == observed_state::left ? settings.remove_left_after : settings.remove_dead_after;
  if (state_age >= limit) {
    return std::nullopt;
  }
  auto out = *current;
  out.is_active = false;
  return out;
}

} // namespace

std::optional<std::vector<fleet_member>> plan_view(const view_planner_settings& settings,
                                                   const membership::fleet_view& view,
                                                   std::span<const observed_member> observed,
                                                   base::time_point now) {
  std::vector<fleet_member> out;
  for (const auto& seen : observed) {
    if (auto member = plan_member(settings, view.find(seen.info.id), seen, now)) {
      out.push_back(std::move(*member));
    }
  }
  // Members that were not observed are kept, since this leader may have just started.
  for (const auto& member : view.members) {
    const auto has_id = [&](const observed_member& o) { return o.info.id == member.id; };
    if (std::ranges::none_of(observed, has_id)) {
      out.push_back(member);
    }
  }
  std::ranges::sort(out, {}, &fleet_member::id);
  if (std::ranges::equal(out, view.members, is_same)) {
    return std::nullopt;
  }
  return out;
}

} // namespace kingcupshunt::node
