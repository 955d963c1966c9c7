#include "kingcupshunt/membership/freshness_groups.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "kingcupshunt/base/rendezvous.h"

namespace kingcupshunt::membership {

freshness_groups::freshness_groups(const fleet_view& view) {
  const auto n = view.members.size();
  const auto groups = static_cast<std::size_t>(std::lround(std::sqrt(static_cast<double>(n))));
  std::vector<std::string> names;
  for (std::size_t g = 0; g < groups; ++g) {
    names.push_back("freshness-group-" + std::to_string(g));
  }
  members_.resize(groups);
  for (const auto& member : view.members) {
    const auto group = base::rendezvous_pick(member.id, names);
    members_[group].push_back(static_cast<std::uint32_t>(group_of_.size()));
    group_of_.push_back(static_cast<std::uint32_t>(group));
  }
  choose_aggregators(view);
}

void freshness_groups::choose_aggregators(const fleet_view& view) {
  aggregators_.resize(members_.size());
  for (std::size_t g = 0; g < members_.size(); ++g) {
    std::vector<std::string> ids;
    for (const auto index : members_[g]) {
      ids.push_back(view.members[index].id);
    }
    for (const bool is_active : {true, false}) {
      for (const auto at : base::rendezvous_order("freshness-aggregator", ids)) {
        const auto index = members_[g][at];
        if (view.members[index].is_active == is_active &&
            aggregators_[g].size() < aggregators_per_group) {
          aggregators_[g].push_back(index);
        }
      }
    }
  }
}

bool freshness_groups::is_aggregator(std::size_t member) const {
  return std::ranges::find(aggregators_[group_of_[member]], member) !=
         aggregators_[group_of_[member]].end();
}

} // namespace kingcupshunt::membership
