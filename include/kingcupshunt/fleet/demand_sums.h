#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/fleet/messages.h"

namespace kingcupshunt::fleet {

struct demand_sum_settings {
  /// An entry reports values above 0 again each 100 ms; without that they end after this time, so
  /// that requests of a lost entry hold nobody back.
  base::milliseconds lifetime{300};
  base::milliseconds refresh{100};   ///< interval at which unchanged sums above 0 are repeated
  std::uint32_t max_rank = 7;        ///< higher ones are ignored
  std::size_t max_services = 16'384; ///< further ones are ignored
};

/// Sums, at a relay, of the requests that wait at the entries that report to it.
class demand_sums {
public:
  explicit demand_sums(demand_sum_settings settings = {}) : settings_(settings) {}

  void apply(std::string_view entry, const std::vector<demand_note>& notes, base::time_point now);

  /// Changed sums since the last call, and those above 0 again at each refresh.
  std::vector<demand_note> take(base::time_point now);

private:
  struct reported_demand {
    std::uint32_t waiting = 0;
    base::time_point at;
  };
  struct demand_sum {
    std::map<std::string, reported_demand, std::less<>> by_entry;
    std::uint32_t sent = 0;
    bool is_changed = false;
  };
  using demand_key = std::pair<std::string, std::uint32_t>; ///< service and rank

  demand_sum_settings settings_;
  std::map<demand_key, demand_sum> sums_;
  base::time_point refresh_at_{};
};

} // namespace kingcupshunt::fleet
