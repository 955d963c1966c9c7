#include "kingcupshunt/rates/ownership.h"

#include <algorithm>
#include <iterator>

#include "kingcupshunt/base/rendezvous.h"

namespace kingcupshunt::rates {

bool owner_map::set_view(const membership::fleet_view& view) {
  if (has_view_ && view.version <= version_) {
    return false;
  }
  auto ids = view.active_ids();
  added_.clear();
  std::ranges::set_difference(ids, active_, std::back_inserter(added_));
  active_ = std::move(ids);
  version_ = view.version;
  has_view_ = true;
  return true;
}

std::string_view owner_map::pick(std::string_view workspace) const {
  const auto at = base::rendezvous_pick(workspace, active_);
  return at < active_.size() ? std::string_view(active_[at]) : std::string_view();
}

std::string_view owner_map::repick(std::string_view workspace, std::string_view before) const {
  const auto it = std::ranges::lower_bound(active_, before);
  if (it == active_.end() || *it != before) {
    return pick(workspace);
  }
  std::string_view best = *it;
  auto weight = base::rendezvous_weight(workspace, best);
  for (const auto& id : added_) {
    const auto w = base::rendezvous_weight(workspace, id);
    if (w > weight) {
      best = id;
      weight = w;
    }
  }
  return best;
}

} // namespace kingcupshunt::rates
