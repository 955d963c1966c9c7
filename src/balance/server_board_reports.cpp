// What instances tell each other about servers: load, failures, limits and permits.

#include <algorithm>
#include <utility>

#include "kingcupshunt/balance/server_board.h"

namespace kingcupshunt::balance {

bool server_board::set_limit(server& s, std::optional<double> per_second) {
  const auto before = s.permits.limit();
  const bool is_changed = s.permits.set_limit(per_second);
  if (is_changed && hooks_.on_limit) {
    hooks_.on_limit({s.record.id, before, per_second, s.permits.sent()});
  }
  return is_changed;
}

void server_board::note_limit(server& s, const health::attempt& a) {
  if (a.limit == health::limit_notice::unknown) {
    return;
  }
  const bool is_limited = a.limit == health::limit_notice::limited;
  if (set_limit(s, is_limited ? std::optional(a.server_limit) : std::nullopt)) {
    limits_.push_back({s.record.id, is_limited, a.server_limit, s.record.data_centre});
  }
}

void server_board::add_permits(const fleet::permit_grant& grant, base::time_point now) {
  for (const auto& p : grant.permits) {
    if (const auto it = servers_.find(p.server); it != servers_.end()) {
      it->second.permits.add(p.permits, now);
    }
  }
}

std::optional<double> server_board::limit_of(std::string_view id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? std::nullopt : it->second.permits.limit();
}

void server_board::apply_total(const fleet::load_report& total, base::time_point now) {
  total_at_ = now;
  for (const auto& load : total.loads) {
    const auto it = servers_.find(load.server);
    if (it != servers_.end()) {
      // The total includes what this instance last reported.
      it->second.others_in_flight = load.in_flight - std::min(load.in_flight, it->second.reported);
      it->second.others_until = now + settings_.report_lifetime;
      it->second.full_until = {};
      if (it->second.others_in_flight > 0) {
        note_use(it->second, now);
      }
    }
  }
  apply_cold(total.cold, now);
  for (const auto& note : total.failures) {
    const auto it = servers_.find(note.server);
    if (it != servers_.end()) {
      add_failure(it->second, note, settings_.episodes.remote_exponent, now);
      note_use(it->second, now);
    }
  }
  for (const auto& note : total.limits) {
    if (const auto it = servers_.find(note.server); it != servers_.end()) {
      set_limit(it->second, note.is_limited ? std::optional(note.per_second) : std::nullopt);
    }
  }
}

void server_board::change_relay(bool is_local) {
  is_relay_local_ = is_local;
  for (auto& [id, s] : servers_) {
    s.others_in_flight = 0;
    s.full_until = {};
  }
}

fleet::load_report server_board::take_report() {
  fleet::load_report out;
  for (auto& [id, s] : servers_) {
    const auto n = static_cast<std::uint32_t>(s.own_requests.size());
    if (n != s.reported) {
      s.reported = n;
      out.loads.push_back({id, n});
    }
  }
  out.failures = std::exchange(failures_, {});
  out.limits = std::exchange(limits_, {});
  return out;
}

fleet::load_report server_board::full_report() {
  fleet::load_report out;
  for (auto& [id, s] : servers_) {
    s.reported = static_cast<std::uint32_t>(s.own_requests.size());
    if (s.reported > 0) {
      out.loads.push_back({id, s.reported});
    }
    if (const auto& limit = s.permits.limit()) {
      out.limits.push_back({id, true, *limit, s.record.data_centre});
    }
  }
  return out;
}

} // namespace kingcupshunt::balance
