#include "kingcupshunt/health/floor.h"

#include <algorithm>
#include <unordered_map>

#include "kingcupshunt/health/verdict.h"

namespace kingcupshunt::health {

namespace {

// Absorbs rounding of floor x announced, for example 0.6 x 60.
constexpr double slack = 1e-9;

} // namespace

const char* to_string(server_state state) noexcept {
  switch (state) {
  case server_state::suspected:
    return "suspected";
  case server_state::ejected:
    return "ejected";
  case server_state::probation:
    return "probation";
  case server_state::path_fault:
    return "path_fault";
  }
  return "unknown";
}

bool capacity::is_above(double floor) const noexcept {
  return static_cast<double>(healthy) + slack >= floor * static_cast<double>(announced);
}

capacity count_capacity(std::span<const upstream> servers, std::span<const withheld> excluded) {
  capacity c;
  for (const auto& server : servers) {
    c.announced += server.info.slots;
    const bool is_excluded =
        std::ranges::any_of(excluded, [&](const auto& w) { return w.id == server.info.id; });
    if (!is_excluded && !server.info.is_draining) {
      c.healthy += server.info.slots;
    }
  }
  return c;
}

std::vector<withheld> fit_to_floor(std::span<const upstream> servers,
                                   std::vector<withheld> proposed, double floor) {
  std::ranges::sort(proposed, [](const auto& a, const auto& b) {
    return a.severity != b.severity ? a.severity > b.severity : a.id < b.id;
  });
  std::unordered_map<std::string_view, std::uint32_t> healthy_slots;
  for (const auto& server : servers) {
    if (!server.info.is_draining) {
      healthy_slots[server.info.id] = server.info.slots;
    }
  }
  auto remaining = count_capacity(servers, {});
  std::vector<withheld> selected;
  for (auto& w : proposed) {
    const auto it = healthy_slots.find(w.id);
    const std::uint32_t cost = it == healthy_slots.end() ? 0 : it->second;
    auto after = remaining;
    after.healthy -= cost;
    if (cost == 0 || after.is_above(floor)) {
      remaining = after;
      selected.push_back(std::move(w));
    }
  }
  return selected;
}

} // namespace kingcupshunt::health
