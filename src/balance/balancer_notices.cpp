// What the answers of servers say about the servers.

#include <algorithm>

#include "kingcupshunt/balance/balancer.h"

namespace kingcupshunt::balance {

/// Announcements do not end this: one that was sent before the answer may arrive after it.
bool balancer::is_leaving(const server& v) noexcept {
  return v.left_incarnation == v.up.info.incarnation;
}

bool balancer::is_leaving(std::string_view service, std::string_view id) const {
  const auto s = services_.find(service);
  return s != services_.end() && std::ranges::any_of(s->second.servers, [&](const server& v) {
           return v.up.info.id == id && is_leaving(v);
         });
}

void balancer::note_leaving(std::string_view service, std::string_view id, base::time_point sent) {
  auto* s = find(service);
  if (s == nullptr) {
    return;
  }
  for (auto& v : s->servers) {
    // A request sent before the incarnation was known may have gone to the one before.
    if (v.up.info.id != id || is_leaving(v) || sent < v.up.first_seen) {
      continue;
    }
    v.left_incarnation = v.up.info.incarnation;
    if (hooks_.on_leaving) {
      hooks_.on_leaving(v.up.info.id, v.in_flight);
    }
  }
}

} // namespace kingcupshunt::balance
