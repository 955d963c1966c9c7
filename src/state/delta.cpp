#include "kingcupshunt/state/delta.h"

#include <algorithm>
#include <tuple>

namespace kingcupshunt::state {

using membership::fleet_member;
using membership::fleet_view;

namespace {

bool is_same(const fleet_member& a, const fleet_member& b) {
  return std::tie(a.id, a.data_centre, a.peer_address, a.entry_address, a.is_active) ==
         std::tie(b.id, b.data_centre, b.peer_address, b.entry_address, b.is_active);
}

} // namespace

view_change make_view_change(const fleet_view& before, const fleet_view& after) {
  view_change out;
  out.version = after.version;
  for (const auto& member : after.members) {
    const auto* old = before.find(member.id);
    if (old == nullptr || !is_same(*old, member)) {
      out.changed.push_back(member);
    }
  }
  for (const auto& member : before.members) {
    if (after.find(member.id) == nullptr) {
      out.removed.push_back(member.id);
    }
  }
  return out;
}

void apply_view_change(fleet_view& view, const view_change& change) {
  view.version = change.version;
  std::erase_if(view.members, [&](const fleet_member& m) {
    return std::ranges::find(change.removed, m.id) != change.removed.end();
  });
  for (const auto& member : change.changed) {
    const auto it = std::ranges::lower_bound(view.members, member.id, {}, &fleet_member::id);
    if (it != view.members.end() && it->id == member.id) {
      *it = member;
    } else {
      view.members.insert(it, member);
    }
  }
}

} // namespace kingcupshunt::state
