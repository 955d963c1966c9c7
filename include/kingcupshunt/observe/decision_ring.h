#pragma once

#include <cstddef>
#include <deque>
#include <string_view>
#include <vector>

#include "kingcupshunt/observe/decision.h"

namespace kingcupshunt::observe {

/// Bounded history of decisions; the oldest is dropped when full.
class decision_ring {
public:
  explicit decision_ring(std::size_t capacity) : capacity_(capacity) {}

  /// Stores `d`, filling unix_ms when it is 0, and writes it to the event log.
  void add(decision d);

  /// Decisions whose subject equals `subject` (all when empty), newest first, at most `limit`.
  std::vector<decision> find(std::string_view subject, std::size_t limit) const;

  std::size_t size() const noexcept { return entries_.size(); }

private:
  std::size_t capacity_;
  std::deque<decision> entries_;
};

} // namespace kingcupshunt::observe
