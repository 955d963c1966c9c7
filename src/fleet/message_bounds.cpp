// Bounds of the numbers in messages, applied where these are read.

#include <algorithm>
#include <cmath>

#include "kingcupshunt/config/entities.h"
#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/rates/server_limit.h"

namespace kingcupshunt::fleet {

namespace {

void bound(std::vector<limit_note>& limits) {
  for (auto& note : limits) {
    const auto limit = rates::limit_in_force(note.per_second);
    note.is_limited = note.is_limited && limit;
    note.per_second = limit.value_or(0);
  }
}

void bound(std::vector<server_permits>& permits) {
  for (auto& p : permits) {
    p.permits = std::min(p.permits, rates::max_permits);
  }
}

} // namespace

void limit_report::apply_bounds() {
  bound(limits);
}

void load_report::apply_bounds() {
  bound(limits);
  for (auto& load : loads) {
    load.in_flight = std::min(load.in_flight, max_in_flight);
  }
  for (auto& d : demands) {
    d.waiting = std::min(d.waiting, max_demand);
  }
  std::erase_if(cold, [](const cold_note& note) { return !std::isfinite(note.per_second); });
  for (auto& note : cold) {
    note.per_second = std::clamp(note.per_second, 0.0, config::max_cold_rate);
    note.left_ms = std::min(note.left_ms, static_cast<std::uint32_t>(config::max_warmup_ms));
  }
}

void permit_grant::apply_bounds() {
  bound(permits);
  bound(cold);
}

} // namespace kingcupshunt::fleet
