#include <bit>
#include <utility>

#include "kingcupshunt/fleet/control_core.h"

namespace kingcupshunt::fleet {

namespace {

constexpr std::size_t max_waiting = 1000; // another writer may name any number of ids
constexpr int waiting_announcements = 3;  // without a further one, a server has ended

} // namespace

/// False for a server of a service that the newest known document doesn't name: it may be from
/// another writer, and would take its address, or its id, from a server that is in use.
bool control_core::is_service_known(const server_record& record) const {
  if (record.state == server_state::gone || documents_.is_empty()) {
    return true;
  }
  const auto service = config::record_id(config::record_kind::service, record.service);
  if (config::find_record(documents_.records(), service) != nullptr) {
    return true;
  }
  // The service may have been removed while its servers still run.
  const auto* held = table_.find(record.id);
  return held != nullptr && held->service == record.service &&
         held->started_ms == record.started_ms;
}

/// Keeps the announcement for a document that is still on its way here.
void control_core::wait_for_service(server_record record, base::time_point now) {
  const auto it = waiting_.find(record.id);
  if (it == waiting_.end() && waiting_.size() >= max_waiting) {
    if (std::has_single_bit(++malformed_)) {
      log("server_not_kept", record.id);
    }
    return;
  }
  if (it == waiting_.end()) {
    log("service_unknown", "id=" + record.id + " service=" + record.service);
  }
  auto id = record.id;
  waiting_.insert_or_assign(std::move(id), waiting_server{std::move(record), now});
}

void control_core::place_waiting(base::time_point now) {
  std::vector<server_record> known;
  std::erase_if(waiting_, [&](const auto& item) {
    const auto& w = item.second;
    if (now - w.received_at > settings_.beat_interval * waiting_announcements) {
      return true;
    }
    const bool is_known = is_service_known(w.record);
    if (is_known) {
      known.push_back(w.record);
    }
    return is_known;
  });
  for (auto& record : known) {
    announce(
        std::move(record), [](bool) {}, now); // acknowledged when it came
  }
}

} // namespace kingcupshunt::fleet
