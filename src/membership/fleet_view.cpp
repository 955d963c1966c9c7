#include "kingcupshunt/membership/fleet_view.h"

#include <algorithm>

namespace kingcupshunt::membership {

const fleet_member* fleet_view::find(std::string_view id) const noexcept {
  const auto it = std::ranges::lower_bound(members, id, {}, &fleet_member::id);
  return it != members.end() && it->id == id ? &*it : nullptr;
}

std::vector<std::string> fleet_view::active_ids() const {
  std::vector<std::string> out;
  for (const auto& member : members) {
    if (member.is_active) {
      out.push_back(member.id);
    }
  }
  return out;
}

} // namespace kingcupshunt::membership
