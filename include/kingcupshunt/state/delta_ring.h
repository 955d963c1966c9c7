#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "kingcupshunt/state/delta.h"

namespace kingcupshunt::state {

/// The last deltas, bounded in number and bytes, to serve instances that are behind.
class delta_ring {
public:
  /// A delta beyond `max_delta_bytes` does not fit into a message and is not kept.
  delta_ring(std::size_t max_deltas, std::size_t max_bytes, std::size_t max_delta_bytes)
      : max_deltas_(max_deltas), max_bytes_(max_bytes), max_delta_bytes_(max_delta_bytes) {}

  /// Adds the delta that follows the last one; a gap drops everything before it.
  void push(delta d);
  void clear();

  /// Deltas after `revision`, at least one, up to about `max_bytes`. Empty optional: the ring does
  /// not reach back that far. An empty vector: nothing newer.
  std::optional<std::vector<delta>> after(std::uint64_t revision, std::size_t max_bytes) const;

  /// Whether all deltas after `revision` are here.
  bool reaches(std::uint64_t revision) const noexcept {
    return !deltas_.empty() && revision + 1 >= deltas_.front().revision;
  }

  std::size_t size() const noexcept { return deltas_.size(); }

private:
  std::size_t max_deltas_;
  std::size_t max_bytes_;
  std::size_t max_delta_bytes_;
  std::size_t bytes_ = 0;
  std::deque<delta> deltas_;
};

} // namespace kingcupshunt::state
