#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "kingcupshunt/membership/fleet_view.h"

namespace kingcupshunt::membership {

/// Division of a large view into about sqrt(n) disjoint groups with two aggregators each. Equal
/// views give equal groups on every instance.
class freshness_groups {
public:
  static constexpr std::size_t aggregators_per_group = 2;

  freshness_groups() = default;
  explicit freshness_groups(const fleet_view& view);

  std::size_t count() const noexcept { return members_.size(); }
  std::size_t group_of(std::size_t member) const { return group_of_[member]; }

  /// Indices in the view of a group's members.
  const std::vector<std::uint32_t>& members(std::size_t group) const { return members_[group]; }

  /// Indices of the members that count a group: active ones first by rendezvous weight.
  const std::vector<std::uint32_t>& aggregators(std::size_t group) const {
    return aggregators_[group];
  }

  bool is_aggregator(std::size_t member) const;

private:
  void choose_aggregators(const fleet_view& view);

  std::vector<std::uint32_t> group_of_;
  std::vector<std::vector<std::uint32_t>> members_;
  std::vector<std::vector<std::uint32_t>> aggregators_;
};

} // namespace kingcupshunt::membership
