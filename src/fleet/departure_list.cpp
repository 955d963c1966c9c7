#include "kingcupshunt/fleet/departure_list.h"

namespace kingcupshunt::fleet {

namespace {

/// What has to be kept of a record. Of a draining server the whole: its requests still run, and an
/// entry that only learned that it is gone would give them up.
server_record kept_of(const server_record& record) {
  if (record.state != server_state::gone) {
    return record;
  }
  server_record out;
  out.id = record.id;
  out.started_ms = record.started_ms;
  out.state = server_state::gone;
  out.is_restored = record.is_restored;
  return out;
}

} // namespace

bool departure_list::note(const server_record& record, std::uint64_t position,
                          base::time_point now) {
  const incarnation key{record.id, record.started_ms};
  if (const auto it = by_incarnation_.find(key); it != by_incarnation_.end()) {
    const auto known = by_position_.find(it->second);
    if (known->second.record.state >= record.state) {
      return false;
    }
    by_position_.erase(known);
  }
  by_incarnation_.insert_or_assign(key, position);
  by_position_.emplace(position, departure{kept_of(record), position, now});
  if (by_incarnation_.size() > retention_.max_count) {
    remove(by_position_.begin());
    ++dropped_;
  }
  return true;
}

bool departure_list::has_left(std::string_view id, std::uint64_t started_ms,
                              base::time_point now) const {
  auto it = by_incarnation_.lower_bound({std::string(id), started_ms});
  if (it != by_incarnation_.end() && it->first.first == id && it->first.second == started_ms) {
    return true;
  }
  for (; it != by_incarnation_.end() && it->first.first == id; ++it) {
    const auto& d = by_position_.at(it->second);
    // When one left that was stored before a restart is not known.
    if (!d.record.is_restored && now - d.left_at <= retention_.former) {
      return true;
    }
  }
  return false;
}

bool departure_list::remove_expired(base::time_point now) {
  const auto before = by_incarnation_.size();
  for (auto it = by_position_.begin(); it != by_position_.end();) {
    const auto& d = it->second;
    const auto limit = d.record.started_ms == 0 ? retention_.former : retention_.exact;
    const auto current = it++;
    if (now - d.left_at > limit) {
      remove(current);
    }
  }
  return by_incarnation_.size() != before;
}

void departure_list::remove(std::map<std::uint64_t, departure>::iterator it) {
  by_incarnation_.erase({it->second.record.id, it->second.record.started_ms});
  by_position_.erase(it);
}

} // namespace kingcupshunt::fleet
