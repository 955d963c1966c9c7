#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "kingcupshunt/health/upstream.h"

namespace kingcupshunt::health {

/// A server that is, or is proposed to be, withheld from normal traffic (ejected or on probation).
struct withheld {
  std::string id;
  double severity = 0; ///< higher is worse
};

/// Capacity of a service in slots.
struct capacity {
  std::uint64_t announced = 0; ///< of all announced servers, including draining ones
  /// Of servers that are neither withheld nor draining; stale ones count while no live one exists.
  std::uint64_t healthy = 0;

  /// Whether the healthy capacity is at least the fraction `floor` of the announced one.
  bool is_above(double floor) const noexcept;
};

capacity count_capacity(std::span<const upstream> servers, std::span<const withheld> excluded);

/// Selects from `proposed`, worst first, each server whose withholding leaves the healthy capacity
/// at or above `floor` x announced. Draining and unannounced servers are always selected, since
/// withholding them costs no healthy capacity. The owner and every instance each apply this to
/// their own view of the service, so the floor holds even where the views differ.
std::vector<withheld> fit_to_floor(std::span<const upstream> servers,
                                   std::vector<withheld> proposed, double floor);

} // namespace kingcupshunt::health
