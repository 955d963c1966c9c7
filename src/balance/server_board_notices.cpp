// What the answers of servers say about the servers.

#include <algorithm>

#include "kingcupshunt/balance/server_board.h"

namespace kingcupshunt::balance {

/// Announcements do not end this: one that was sent before the answer may arrive after it.
bool server_board::is_leaving(const server& s) noexcept {
  return s.left_incarnation == s.record.started_ms;
}

void server_board::note_leaving(std::string_view id, std::uint64_t request) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return;
  }
  auto& s = it->second;
  const auto run = s.own_requests.find(request);
  // The answer may come from the incarnation before the one that is known now.
  const bool is_current =
      run != s.own_requests.end() && run->second.started_ms == s.record.started_ms;
  if (!is_current || is_leaving(s)) {
    return;
  }
  s.left_incarnation = s.record.started_ms;
  if (hooks_.on_leaving) {
    hooks_.on_leaving({s.record.id, s.record.service, s.own_requests.size() - 1});
  }
}

bool server_board::is_left(std::string_view service, base::time_point now) const {
  const auto of = services_.find(service);
  if (of == services_.end()) {
    return false;
  }
  const auto& servers = of->second.servers;
  return std::ranges::any_of(servers, [](const auto* s) { return is_leaving(*s); }) &&
         std::ranges::none_of(servers, [&](const auto* s) { return is_usable(*s, now); });
}

} // namespace kingcupshunt::balance
