// Choice of a server for a request.

#include <algorithm>

#include "kingcupshunt/balance/server_board.h"

namespace kingcupshunt::balance {

/// Requests of other instances that the load reports applied here do not contain yet. By Little's
/// law, the requests in flight divided by the response time give the rate at which others start.
double server_board::expected_requests(const service_state& of, base::time_point now) const {
  if (!is_relay_local_ || of.mean_seconds <= 0) {
    return 0;
  }
  double others = 0;
  for (const auto* s : of.servers) {
    others += others_in_flight(*s, now);
  }
  const auto age = settings_.report_delay + std::max(base::duration{}, now - total_at_);
  return others / of.mean_seconds * base::to_seconds(std::min(age, settings_.report_lifetime));
}

/// Returns an idle server at which a request is due, or null. Without these requests, suspected
/// faulty servers and those with a record of episodes would stay unused while the other servers
/// have free slots: no instance would detect their recovery, and the number of servers in use would
/// fall below the floor. A failure there costs a repeatable request only a few milliseconds.
server_board::server* server_board::find_due(const service_state& of, const board_request& request,
                                             base::time_point now) {
  const auto extra = request.is_urgent ? settings_.urgent_extra_idle : base::duration{};
  std::size_t usable = 0;
  std::size_t idle = 0;
  server* best = nullptr;
  double best_cost = 0;
  for (auto* candidate : of.servers) {
    auto& s = *candidate;
    const bool is_load_known = // the load from other instances
        !is_relay_local_ || s.record.data_centre == settings_.data_centre;
    if (!is_load_known || !is_usable(s, now) || s.pause.holds(now)) {
      continue;
    }
    // A server that limits its rate is idle most of the time because of the limit, not because the
    // instances avoid it.
    const bool is_limited = s.permits.limit().has_value() || is_cold_limited(s, now);
    usable += is_limited ? 0 : 1;
    if (in_flight(s, now) > 0 || now < s.due_at + extra) {
      continue;
    }
    idle += is_limited ? 0 : 1;
    if (s.record.is_silent || !s.permits.may_send(now) || unpaused_starts(s, now) == 0 ||
        cold_starts(s, now) == 0) {
      continue; // it has probably stopped, or accepts no request of this instance now
    }
    const double c = cost(s, of, request.is_repeatable, now);
    if (best == nullptr || c < best_cost) {
      best = &s;
      best_cost = c;
    }
  }
  if (best == nullptr || request.is_repeatable) {
    return best;
  }
  const bool is_trusted =
      !best->was_used ||
      best->estimator.episode_probability(settings_.episodes, now) < settings_.trusted_threshold;
  if (is_trusted) {
    return now >= best->due_at + extra + settings_.unrepeatable_extra_idle ? best : nullptr;
  }
  if (is_stable(of.count, now)) {
    return now >= best->due_at + extra + settings_.stable_unrepeatable_extra_idle ? best : nullptr;
  }
  const auto in_use = static_cast<double>(usable - idle);
  const bool is_needed = in_use < settings_.used_share * static_cast<double>(usable) ||
                         now - best->failed_at > settings_.healthy_after;
  return is_needed && now >= best->due_at + extra + settings_.unrepeatable_extra_idle ? best
                                                                                      : nullptr;
}

server_board::server* server_board::find_cheapest(const service_state& of,
                                                  const board_request& request,
                                                  std::span<const std::string> tried,
                                                  base::time_point now, bool& is_busy) {
  const bool has_expected_load = settings_.has_expected_load && is_relay_local_;
  const auto n = of.servers.size();
  const bool is_sampled = has_expected_load && n > settings_.max_compared;
  const auto first = is_sampled ? rng_.below(n) : 0;
  options_.clear();
  compared_.clear();
  for (std::size_t i = 0; i < n; ++i) {
    auto* s = of.servers[(first + i) % n];
    if (is_sampled && compared_.size() >= settings_.max_compared) {
      break;
    }
    if (!is_usable(*s, now) || s->pause.holds(now) ||
        std::ranges::find(tried, s->record.id) != tried.end()) {
      continue;
    }
    const auto queued = request.has_large_body ? 0 : settings_.queued_per_server;
    if ((request.is_streamed && !may_stream_to(*s)) ||
        in_flight(*s, now) >= s->record.slots + queued || !s->permits.may_send(now) ||
        unpaused_starts(*s, now) == 0 || cold_starts(*s, now) == 0) {
      is_busy = true;
      continue;
    }
    const double jitter = has_expected_load ? 0 : settings_.jitter * rng_.unit();
    const double step = slowness(*s, of, now) / std::max<std::uint32_t>(s->record.slots, 1);
    options_.push_back({cost(*s, of, request.is_repeatable, now) + jitter, step});
    compared_.push_back(s);
  }
  if (options_.empty()) {
    return nullptr;
  }
  if (!has_expected_load) {
    const auto cheapest = std::ranges::min_element(options_, {}, &load_option::cost);
    return compared_[static_cast<std::size_t>(cheapest - options_.begin())];
  }
  const double share = static_cast<double>(compared_.size()) / static_cast<double>(n);
  const double expected = expected_requests(of, now) * (is_sampled ? share : 1);
  return compared_[choose_by_expected_load(options_, expected, rng_.unit())];
}

} // namespace kingcupshunt::balance
