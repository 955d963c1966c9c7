#include <utility>

#include "kingcupshunt/fleet/control_core.h"

namespace kingcupshunt::fleet {

using peer::message_kind;

void control_core::on_pulse(std::string_view from, const load_report& report,
                            base::time_point now) {
  if (loads_.reported_at.insert_or_assign(std::string(from), now).second) {
    send_limits(from, now);
  }
  cold_.on_report(from, report, now);
  if (report.is_full) {
    remove_load(from);
  }
  loads_.demands.apply(from, report.demands, now);
  for (const auto& load : report.loads) {
    auto& entries = loads_.by_server[load.server];
    if (load.in_flight == 0) {
      entries.erase(std::string(from));
    } else {
      entries.insert_or_assign(std::string(from), load.in_flight);
    }
    loads_.changed.insert(load.server);
  }
  for (const auto& note : report.failures) {
    loads_.failures.push_back(note);
    loads_.failures.back().reporter = from;
    loads_.to_share.push_back(loads_.failures.back());
  }
  for (const auto& note : report.limits) {
    if (set_limit(note, now)) {
      loads_.limits_to_share.push_back(note);
    }
  }
}

void control_core::on_failure_share(const load_report& report, base::time_point now) {
  if (loads_.reported_at.empty()) {
    return;
  }
  loads_.failures.insert(loads_.failures.end(), report.failures.begin(), report.failures.end());
  for (const auto& note : report.limits) {
    set_limit(note, now);
  }
  cold_.on_share(report.cold, now);
}

/// Returns whether the limit is new here; the entries are then told with the next load totals.
bool control_core::set_limit(const limit_note& note, base::time_point now) {
  const auto limit = note.is_limited ? std::optional(note.per_second) : std::nullopt;
  const bool is_changed = loads_.permits.set_limit(note.server, limit, now);
  if (is_changed) {
    loads_.limits.push_back(note);
  }
  if (note.is_limited) {
    loads_.limited_in.insert_or_assign(note.server, note.data_centre);
  } else {
    loads_.limited_in.erase(note.server);
  }
  return is_changed;
}

/// Sends all limits and cold servers to an entry that has just begun to report here.
void control_core::send_limits(std::string_view to, base::time_point now) {
  load_report out;
  out.cold = cold_.notes(now);
  for (const auto& [server, per_second] : loads_.permits.limits()) {
    out.limits.push_back({server, true, per_second, loads_.limited_in[server]});
  }
  if (!out.limits.empty() || !out.cold.empty()) {
    for (const auto& part : in_messages(std::move(out))) {
      hooks_.send(to, message_kind::load_total, peer::pack(part));
    }
  }
}

/// Sends permits to the entries that report here. Where each data centre has a relay, entries use
/// the servers of their own data centre first, so a server's permits go to these. Every relay
/// derives its part of a limit from the entries that all control instances know, so that the parts
/// add up to one.
void control_core::issue_permits(base::time_point now) {
  if (loads_.permits.is_empty()) {
    return;
  }
  const bool is_local = count_entries(now) > max_single_relay_entries;
  struct group {
    std::size_t usable = 0;
    std::vector<std::string> reporting;
  };
  std::map<std::string, group, std::less<>> by_data_centre; // empty name: all entries
  for (const auto& [id, e] : entries_) {
    const bool takes_requests =
        (e.is_ready || e.is_leaving) && now - e.received_at < settings_.entry_timeout;
    if (!takes_requests) {
      continue;
    }
    for (auto* g : {&by_data_centre[""], &by_data_centre[e.data_centre]}) {
      ++g->usable;
      if (loads_.reported_at.contains(id)) {
        g->reporting.push_back(id);
      }
    }
  }
  if (by_data_centre.empty()) {
    return;
  }
  const auto recipients_of = [&](std::string_view server) {
    const auto limited = loads_.limited_in.find(server);
    const bool is_known = is_local && limited != loads_.limited_in.end();
    auto it = is_known ? by_data_centre.find(limited->second) : by_data_centre.end();
    it = it == by_data_centre.end() ? by_data_centre.find("") : it;
    const auto& g = it->second;
    const auto n = static_cast<double>(g.reporting.size());
    return rates::permit_recipients{g.reporting, n / static_cast<double>(g.usable)};
  };
  std::map<std::string, permit_grant> grants;
  for (auto& p : loads_.permits.issue(recipients_of, now)) {
    grants[p.recipient].permits.push_back({std::move(p.server), p.permits});
  }
  for (auto& [to, grant] : grants) {
    for (const auto& part : in_messages(std::move(grant))) {
      hooks_.send(to, message_kind::permit_grant, peer::pack(part));
    }
  }
}

/// Sends failures to the other relays, since entries of another data centre use the servers of this
/// one when their local servers are full. Failures are few; load is not sent to other relays.
void control_core::share_failures(base::time_point now) {
  load_report out;
  out.failures = std::exchange(loads_.to_share, {});
  out.limits = std::exchange(loads_.limits_to_share, {});
  out.cold = cold_.take_share(now);
  const bool is_empty = out.failures.empty() && out.limits.empty() && out.cold.empty();
  if (is_empty || loads_.reported_at.size() >= count_entries(now)) {
    return;
  }
  for (const auto& part : in_messages(std::move(out))) {
    const auto body = peer::pack(part);
    for (const auto& control : controls_) {
      hooks_.send(control, message_kind::failure_share, body);
    }
  }
}

/// Sends the same message to all entries that report to this instance. The sums include the
/// receiver's own load, which it can subtract.
void control_core::flush_loads(base::time_point now) {
  load_report out;
  out.demands = loads_.demands.take(now);
  if (loads_.changed.empty() && loads_.failures.empty() && loads_.limits.empty() &&
      !cold_.has_news() && out.demands.empty()) {
    return;
  }
  out.cold = cold_.take_news(now);
  for (const auto& server : loads_.changed) {
    const auto it = loads_.by_server.find(server);
    std::uint32_t n = 0;
    if (it != loads_.by_server.end()) {
      for (const auto& [entry, in_flight] : it->second) {
        n += in_flight;
      }
      if (it->second.empty()) {
        loads_.by_server.erase(it);
      }
    }
    out.loads.push_back({server, n});
  }
  out.failures = std::exchange(loads_.failures, {});
  out.limits = std::exchange(loads_.limits, {});
  loads_.changed.clear();
  for (const auto& part : in_messages(std::move(out))) {
    const auto body = peer::pack(part);
    for (const auto& [id, at] : loads_.reported_at) {
      hooks_.send(id, message_kind::load_total, body);
    }
  }
}

/// Removes the load of an entry instance that has stopped reporting to this instance, or that is
/// about to report all of its load anew.
void control_core::remove_load(std::string_view id) {
  for (auto& [server, entries] : loads_.by_server) {
    const auto it = entries.find(std::string(id));
    if (it != entries.end()) {
      entries.erase(it);
      loads_.changed.insert(server);
    }
  }
}

} // namespace kingcupshunt::fleet
