// Pauses that servers ask an instance of the fleet of equal instances for.

#include <algorithm>

#include "kingcupshunt/balance/balancer.h"

namespace kingcupshunt::balance {

void balancer::note_pause(server& v, const health::attempt& attempt, base::time_point now) {
  if (attempt.pause > base::duration{}) {
    // The server's clock may be slower than this one.
    const double seconds = base::to_seconds(attempt.pause) * (1 + base::clock_drift_bound) +
                           base::to_seconds(settings_.pause_spread) * rng_.unit();
    if (v.pause.extend(now + base::from_seconds(seconds)) && hooks_.on_pause) {
      hooks_.on_pause({v.up.info.id, attempt.pause, v.in_flight});
    }
  } else if (attempt.status != 0 && attempt.end != health::attempt_end::cancelled) {
    v.pause.note_answer(v.sent_at);
  }
}

/// After a pause a request starts only when no other is in flight, so the next answer is its own.
bool balancer::may_start(const server& v, base::time_point now) noexcept {
  return !v.pause.holds(now) && (!v.pause.is_resuming() || v.in_flight == 0);
}

bool balancer::is_paused(std::string_view service, std::string_view id,
                         base::time_point now) const {
  const auto s = services_.find(service);
  return s != services_.end() && std::ranges::any_of(s->second.servers, [&](const server& v) {
           return v.up.info.id == id && v.pause.holds(now);
         });
}

std::optional<base::time_point> balancer::pause_end(std::string_view service,
                                                    base::time_point now) const {
  const auto s = services_.find(service);
  if (s == services_.end()) {
    return std::nullopt;
  }
  std::optional<base::time_point> earliest;
  for (const auto& v : s->second.servers) {
    const bool is_usable = v.is_known && v.is_in_subset && !v.up.info.is_draining &&
                           v.state != health::server_state::ejected;
    if (!is_usable) {
      continue;
    }
    if (!v.pause.holds(now)) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(v.pause.until()), v.pause.until());
  }
  return earliest;
}

} // namespace kingcupshunt::balance
