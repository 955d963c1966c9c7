// What the status page and the log show of the servers.

#include "kingcupshunt/balance/server_board.h"

namespace kingcupshunt::balance {

std::vector<board_entry> server_board::entries(base::time_point now) const {
  std::vector<board_entry> out;
  for (const auto& [id, s] : servers_) {
    const auto of = services_.find(s.record.service);
    out.push_back({s.record, static_cast<std::uint32_t>(s.own_requests.size()),
                   others_in_flight(s, now), failure_chance(s, now),
                   of == services_.end() ? 1 : slowness(s, of->second, now)});
  }
  return out;
}

std::map<std::string, service_suspicion, std::less<>>
server_board::suspicions(base::time_point now) const {
  std::map<std::string, service_suspicion, std::less<>> out;
  for (const auto& [id, s] : servers_) {
    if (is_usable(s, now)) {
      auto& of = out[s.record.service];
      ++of.usable;
      of.suspected += is_likely_faulty(s, now) ? 1 : 0;
    }
  }
  return out;
}

service_load server_board::load_of(std::string_view service, base::time_point now) const {
  service_load out;
  const auto of = services_.find(service);
  if (of == services_.end()) {
    return out;
  }
  for (const auto* s : of->second.servers) {
    if (is_usable(*s, now)) {
      ++out.usable;
      out.slots += s->record.slots;
      out.own += static_cast<std::uint32_t>(s->own_requests.size());
      out.others += others_in_flight(*s, now);
      out.refused += now < s->full_until ? 1 : 0;
    }
  }
  return out;
}

} // namespace kingcupshunt::balance
