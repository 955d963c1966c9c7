#include "kingcupshunt/config/route_parts.h"

namespace kingcupshunt::config {

const route_part* part_at(const route& r, double at) noexcept {
  double total = 0;
  for (const auto& part : r.parts) {
    total += part.weight;
  }
  const route_part* last = nullptr;
  double sum = 0;
  for (const auto& part : r.parts) {
    if (part.weight <= 0) {
      continue;
    }
    last = &part;
    sum += part.weight / total;
    if (at < sum) {
      return last;
    }
  }
  return last; // the sum may fall short of 1 by rounding
}

} // namespace kingcupshunt::config
