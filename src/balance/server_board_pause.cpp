// Pauses that servers ask this instance for with 503 and Retry-After.

#include <algorithm>
#include <limits>

#include "kingcupshunt/balance/server_board.h"

namespace kingcupshunt::balance {

/// Reads what the end of `run` says about the pause of its server.
void server_board::note_pause(server& s, const running& run, const health::attempt& a,
                              base::time_point now) {
  const bool is_usable_record = s.record.state != fleet::server_state::gone;
  if (!is_usable_record || run.started_ms != s.record.started_ms) {
    return; // an earlier incarnation answered
  }
  if (a.pause > base::duration{}) {
    // The server's clock may be slower than this one.
    const double seconds = base::to_seconds(a.pause) * (1 + base::clock_drift_bound) +
                           base::to_seconds(settings_.pause_spread) * rng_.unit();
    if (s.pause.extend(now + base::from_seconds(seconds)) && hooks_.on_pause) {
      hooks_.on_pause({s.record.id, a.pause, s.own_requests.size() - 1});
    }
    return;
  }
  if (a.status != 0 && a.end != health::attempt_end::cancelled) {
    s.pause.note_answer(run.since);
  }
}

/// Requests that the pause of a server allows now. After a pause one request goes alone: the slots
/// of the server all seem free then, to each instance.
std::uint32_t server_board::unpaused_starts(const server& s, base::time_point now) noexcept {
  if (s.pause.holds(now)) {
    return 0;
  }
  if (!s.pause.is_resuming()) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const bool is_one_sent = std::ranges::any_of(
      s.own_requests, [&](const auto& item) { return s.pause.is_after(item.second.since); });
  return is_one_sent ? 0 : 1;
}

std::optional<base::time_point> server_board::pause_end(std::string_view service,
                                                        base::time_point now) const {
  const auto of = services_.find(service);
  if (of == services_.end()) {
    return std::nullopt;
  }
  std::optional<base::time_point> earliest;
  for (const auto* s : of->second.servers) {
    if (!is_usable(*s, now)) {
      continue;
    }
    if (!s->pause.holds(now)) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(s->pause.until()), s->pause.until());
  }
  return earliest;
}

} // namespace kingcupshunt::balance
