#pragma once

#include "kingcupshunt/config/entities.h"

namespace kingcupshunt::config {

/// Part of `r` at `at`, 0 to 1, when its parts lie side by side by weight. Null without a part that
/// has weight.
const route_part* part_at(const route& r, double at) noexcept;

} // namespace kingcupshunt::config
