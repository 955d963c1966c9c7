#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "kingcupshunt/membership/freshness_groups.h"
#include "kingcupshunt/membership/freshness_messages.h"
#include "kingcupshunt/membership/sample_table.h"

namespace kingcupshunt::membership {

/// Counts samples by group for fleets that are too large for a vector of all samples.
class group_counter {
public:
  struct certificate {
    std::uint64_t revision = 0;
    base::time_point taken_at = never;
  };

  /// `previous` may be null when no former view has to be counted.
  void set_view(const fleet_view& view, const fleet_view* previous);

  const freshness_groups& groups() const noexcept { return groups_; }

  /// Remembers what the members of `group` hold now; called once per query period.
  void take_snapshot(std::size_t group, const sample_table& table, base::time_point now);

  /// Counts `group` from the samples in `table`.
  group_aggregate count(std::size_t group, const sample_table& table, base::time_point now) const;

  /// Records the aggregate of `group` that answered a query sent at `sent_at`.
  void add(std::size_t group, const group_aggregate& aggregate, base::time_point sent_at,
           base::time_point heard_at);

  /// The newest statement "`needed` members held at most this revision at this time".
  std::optional<certificate> majority(std::size_t needed) const;

  /// Greatest revision that `needed` members of the view and `needed_old` members of the former
  /// view are known to have held at one common moment, or 0.
  std::uint64_t held(std::size_t needed, std::size_t needed_old) const;

private:
  struct received {
    group_aggregate counts;
    base::time_point taken_at = never;
    base::time_point floor_since = never;
    base::time_point floor_until = never;
  };
  struct snapshot {
    base::time_point at = never;
    std::vector<revision_sample> samples; ///< in the order of the group's members
  };

  void count_floor(std::size_t group, const sample_table& table, base::time_point now,
                   group_aggregate& out) const;

  freshness_groups groups_;
  std::vector<bool> is_in_previous_;
  std::vector<received> received_;
  std::vector<snapshot> snapshots_; ///< of the own group, oldest first
};

} // namespace kingcupshunt::membership
