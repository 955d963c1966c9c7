// Permits of a control instance for cold servers.

#include <string>
#include <utility>

#include "kingcupshunt/fleet/control_core.h"

namespace kingcupshunt::fleet {

using peer::message_kind;

namespace {

constexpr base::seconds cold_log_interval{1};

} // namespace

/// Sends the entries that report here their permits for cold servers.
void control_core::issue_cold_permits(base::time_point now) {
  for (const auto& [id, e] : entries_) {
    cold_.note_entry(id, e.data_centre, e.received_at);
  }
  for (auto& [to, grant] : cold_.issue(has_majority_contact(now), now)) {
    for (const auto& part : in_messages(std::move(grant))) {
      hooks_.send(to, message_kind::permit_grant, peer::pack(part));
    }
  }
  if (cold_.size() != cold_logged_ && now >= cold_log_at_) {
    cold_logged_ = cold_.size();
    cold_log_at_ = now + cold_log_interval;
    log("cold_servers", "count=" + std::to_string(cold_logged_));
  }
}

} // namespace kingcupshunt::fleet
