#include "kingcupshunt/rates/server_limit.h"

namespace kingcupshunt::rates {

std::optional<double> limit_in_force(double per_second) noexcept {
  if (per_second > max_server_limit) {
    return std::nullopt;
  }
  return per_second > 0 ? per_second : 0;
}

} // namespace kingcupshunt::rates
