#include <utility>

#include "kingcupshunt/fleet/control_core.h"

namespace kingcupshunt::fleet {

using peer::message_kind;

void control_core::on_pulse(std::string_view from, const load_report& report,
                            base::time_point now) {
  loads_.reported_at.insert_or_assign(std::string(from), now);
  if (report.is_full) {
    remove_load(from);
  }
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
}

void control_core::on_failure_share(const load_report& report) {
  if (!loads_.reported_at.empty()) {
    loads_.failures.insert(loads_.failures.end(), report.failures.begin(), report.failures.end());
  }
}

/// Sends failures to the other relays, since entries of another data centre use the servers of this
/// one when their local servers are full. Failures are few; load is not sent to other relays.
void control_core::share_failures(base::time_point now) {
  load_report out;
  out.failures = std::exchange(loads_.to_share, {});
  if (out.failures.empty() || loads_.reported_at.size() >= count_entries(now)) {
    return;
  }
  const auto body = peer::pack(out);
  for (const auto& control : controls_) {
    hooks_.send(control, message_kind::failure_share, body);
  }
}

/// Sends the same message to all entries that report to this instance. The sums include the
/// receiver's own load, which it can subtract.
void control_core::flush_loads() {
  if (loads_.changed.empty() && loads_.failures.empty()) {
    return;
  }
  load_report out;
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
  loads_.changed.clear();
  const auto body = peer::pack(out);
  for (const auto& [id, at] : loads_.reported_at) {
    hooks_.send(id, message_kind::load_total, body);
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
