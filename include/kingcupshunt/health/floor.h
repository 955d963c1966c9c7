#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "kingcupshunt/health/upstream.h"

namespace kingcupshunt::health {

/// A server proposed for withholding.
struct withheld {
  std::string id;
  double severity = 0; ///< greater is worse
};

/// Capacity of a service in slots.
struct capacity {
  std::uint64_t announced = 0; ///< every announced server, draining ones included
  std::uint64_t healthy =
      0; ///< neither withheld nor draining; stale ones count while nothing better is known

  /// Whether the healthy part is at least `floor` of the announced one.
  bool is_above(double floor) const noexcept;
};

capacity count_capacity(std::span<const upstream> servers, std::span<const withheld> excluded);

/// Takes from `proposed`, worst first, each one that leaves the healthy capacity at or above
/// `floor` x announced. Servers that are not announced or draining are kept: withholding them
/// costs no healthy capacity. Both the owner and every instance apply this to their own view of
/// the service, so the floor holds even where their views differ.
std::vector<withheld> fit_to_floor(std::span<const upstream> servers,
                                   std::vector<withheld> proposed, double floor);

} // namespace kingcupshunt::health
