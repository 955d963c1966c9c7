// Servers of evacuated data centres.

#include <algorithm>

#include "kingcupshunt/balance/server_board.h"

namespace kingcupshunt::balance {

/// After the end of an evacuation nothing recent is known of the servers: they may have restarted
/// or become slow. What was measured before is dropped, and they are tried again as new ones are.
void server_board::set_evacuations(const fleet::evacuation_set& evacuations, base::time_point now) {
  evacuations_ = evacuations;
  for (auto& [id, s] : servers_) {
    const bool was_evacuated = s.is_evacuated;
    s.is_evacuated = evacuations_.contains(s.record.data_centre);
    if (was_evacuated && !s.is_evacuated) {
      s.estimator = {};
      s.mean_seconds = 0;
      s.was_used = false;
      delay_due(s, now);
    }
  }
}

bool server_board::is_evacuated(std::string_view service, base::time_point now) const {
  const auto of = services_.find(service);
  if (of == services_.end()) {
    return false;
  }
  const auto& servers = of->second.servers;
  const auto is_withheld = [&](const server* s) {
    return s->is_evacuated && s->record.state == fleet::server_state::ready &&
           now < s->usable_until && !is_leaving(*s);
  };
  return std::ranges::any_of(servers, is_withheld) &&
         std::ranges::none_of(servers, [&](const server* s) { return is_usable(*s, now); });
}

bool server_board::is_server_evacuated(std::string_view id) const {
  const auto it = servers_.find(id);
  return it != servers_.end() && it->second.is_evacuated;
}

} // namespace kingcupshunt::balance
