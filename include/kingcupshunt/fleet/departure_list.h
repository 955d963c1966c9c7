#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/fleet/server_record.h"

namespace kingcupshunt::fleet {

/// How long it is remembered which incarnations have left.
struct departure_retention {
  base::duration exact = std::chrono::hours(24); ///< of the incarnation that left
  /// Of incarnations that started before one that left, and of servers that state no start: a
  /// server whose clock went back is among these, and must become usable again.
  base::duration former = base::seconds(60);
  std::size_t max_count = 32'768; ///< the oldest are removed beyond this
};

/// Incarnations of backend servers that have left: they get no new request, whatever announcement
/// of theirs arrives late.
class departure_list {
public:
  struct departure {
    server_record record; ///< without address when gone, since only id and start matter then
    std::uint64_t position = 0;
    base::time_point left_at{};
  };

  explicit departure_list(departure_retention retention = {}) : retention_(retention) {}

  /// Notes that the incarnation of `record` has left. Returns false when that was known; then
  /// `position` is not used.
  bool note(const server_record& record, std::uint64_t position, base::time_point now);

  /// Whether this incarnation, or within the shorter retention a later one, has left.
  bool has_left(std::string_view id, std::uint64_t started_ms, base::time_point now) const;

  /// Returns whether any was removed.
  bool remove_expired(base::time_point now);

  /// Departures that were removed before their time, to keep to the count.
  std::uint64_t dropped() const noexcept { return dropped_; }

  std::size_t size() const noexcept { return by_incarnation_.size(); }
  /// By the position at which they were noted.
  const std::map<std::uint64_t, departure>& by_position() const noexcept { return by_position_; }

private:
  using incarnation = std::pair<std::string, std::uint64_t>; ///< id and start

  void remove(std::map<std::uint64_t, departure>::iterator it);

  departure_retention retention_;
  std::map<incarnation, std::uint64_t> by_incarnation_; ///< to the position
  std::map<std::uint64_t, departure> by_position_;
  std::uint64_t dropped_ = 0;
};

} // namespace kingcupshunt::fleet
