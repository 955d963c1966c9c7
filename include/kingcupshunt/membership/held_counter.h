#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/membership/sample_table.h"

namespace kingcupshunt::membership {

/// Finds the greatest revision that a majority is known to have held at one common moment.
///
/// Reports collected one after another do not suffice: a member may report a revision, restart and
/// recover from members that have not stored it yet. So a candidate is confirmed only by samples
/// of the same incarnation that were taken after the candidate was formed.
class held_counter {
public:
  /// Whether the members for which `is_counted(index)` is true form every majority required.
  using quorum_function = std::function<bool(const std::function<bool(std::size_t)>& is_counted)>;

  void resize(std::size_t n);

  /// Records a sample of a synced member.
  void add(std::size_t index, const revision_sample& sample);

  /// States what this instance itself holds, if it is one of the members and synced.
  void set_self(std::size_t index, std::uint64_t revision);

  /// Re-evaluates the candidate. Returns whether held() rose. Revisions above `applied`, the
  /// one applied here, count as `applied`: they may belong to a later view with other majorities.
  bool update(const quorum_function& is_quorum, std::uint64_t applied, base::time_point now);

  /// Greatest revision confirmed so far. Never falls.
  std::uint64_t held() const noexcept { return held_; }

private:
  struct report {
    bool is_known = false;
    bool is_self = false;
    std::uint32_t incarnation = 0;
    std::uint64_t revision = 0;
    bool is_counted = false;
    bool is_confirmed = false;
  };

  void propose(const quorum_function& is_quorum, std::uint64_t applied, base::time_point now);

  std::vector<report> reports_;
  std::uint64_t held_ = 0;
  std::uint64_t candidate_ = 0; ///< 0: none
  base::time_point formed_at_ = never;
};

} // namespace kingcupshunt::membership
