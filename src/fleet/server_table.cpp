#include "kingcupshunt/fleet/server_table.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace kingcupshunt::fleet {

namespace {

/// A server that counts down its cold time states a slightly different end with each announcement.
/// Differences up to this are not sent on.
constexpr base::milliseconds cold_tolerance{250};

/// Keys, numbers and headers of an encoded record.
constexpr std::size_t record_overhead_bytes = 80;

/// Upper bound of the bytes that `record` takes in a message.
std::size_t encoded_bytes(const server_record& record) noexcept {
  return record_overhead_bytes + record.id.size() + record.service.size() + record.address.size() +
         record.data_centre.size() + record.home.size();
}

/// Compares the members that affect routing.
bool has_same_content(const server_record& a, const server_record& b) {
  return a.service == b.service && a.address == b.address && a.data_centre == b.data_centre &&
         a.slots == b.slots && a.state == b.state && a.started_ms == b.started_ms &&
         a.home == b.home && a.is_silent == b.is_silent && a.is_restored == b.is_restored;
}

server_record listed(const departure_list::departure& d) {
  auto out = d.record;
  out.is_restored = true;
  return out;
}

} // namespace

const server_record* server_table::find(std::string_view id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second.record;
}

void server_table::touch(entry& e, base::time_point now) {
  e.position = ++position_;
  e.changed_at = now;
  e.record.cold_left_ms = cold_left_ms(e, now);
}

std::uint32_t server_table::cold_left_ms(const entry& e, base::time_point now) {
  const auto left = std::chrono::ceil<base::milliseconds>(e.cold_until - now);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 0));
}

/// Returns whether the server is to be cold for longer than known. An earlier end than known is not
/// a change: the time ends by itself, and answers of the server tell its users sooner.
bool server_table::note_cold(entry& e, const server_record& record, bool is_new,
                             base::time_point now) {
  const auto until = now + base::milliseconds(record.cold_left_ms);
  const auto known = std::max(e.cold_until, now);
  if (!is_new && until <= known + cold_tolerance) {
    return false;
  }
  e.cold_until = until;
  return true;
}

/// A delayed announcement may name an address that a later incarnation has since taken over.
bool server_table::is_superseded(const server_record& record) const {
  const auto holder = holders_.find(record.address);
  if (holder == holders_.end() || holder->second == record.id) {
    return false;
  }
  const auto* other = find(holder->second);
  return other != nullptr && other->started_ms > record.started_ms;
}

bool server_table::has_left(std::string_view id, std::uint64_t started_ms,
                            base::time_point now) const {
  return departures_.has_left(id, started_ms, now);
}

void server_table::note_departed(const server_record& record, base::time_point now) {
  position_ += departures_.note(record, position_ + 1, now) ? 1 : 0;
}

void server_table::supersede_address(const server_record& record, base::time_point now) {
  if (record.address.empty()) {
    return;
  }
  auto& holder = holders_[record.address];
  if (!holder.empty() && holder != record.id) {
    const auto former = entries_.find(holder);
    if (former != entries_.end() && former->second.record.state != server_state::gone) {
      former->second.record.state = server_state::gone;
      touch(former->second, now);
    }
  }
  holder = record.id;
}

merge_result server_table::merge(server_record record, base::time_point now) {
  const auto it = entries_.find(record.id);
  if (record.state == server_state::ready) {
    if (has_left(record.id, record.started_ms, now)) {
      return merge_result::stale;
    }
  } else if (record.is_restored && it != entries_.end() &&
             it->second.record.started_ms != record.started_ms) {
    // That an incarnation left some time ago says nothing about another one.
    note_departed(record, now);
    return merge_result::stale;
  } else {
    const auto* held = it == entries_.end() ? nullptr : &it->second.record;
    const bool is_of_former = held != nullptr && held->state == server_state::ready &&
                              record.started_ms < held->started_ms;
    if (is_of_former) {
      return merge_result::stale;
    }
    note_departed(record, now);
  }
  if (record.state != server_state::gone && is_superseded(record)) {
    record.state = server_state::gone;
  }
  if (it == entries_.end()) {
    if (record.state != server_state::gone) {
      supersede_address(record, now);
    }
    auto& e = entries_[record.id];
    note_cold(e, record, true, now);
    e.record = std::move(record);
    e.received_at = now;
    touch(e, now);
    return merge_result::changed;
  }
  return merge_known(it->second, std::move(record), now);
}

merge_result server_table::merge_known(entry& e, server_record record, base::time_point now) {
  auto& held = e.record;
  const bool is_former = record.started_ms < held.started_ms;
  const bool is_same = record.started_ms == held.started_ms;
  const bool is_restored_copy = record.is_restored && record.state <= held.state;
  if (is_former || (is_same && (held.state == server_state::gone || is_restored_copy))) {
    return merge_result::stale;
  }
  if (is_same) {
    // A leave notice carries no sequence, and that of a draining server may arrive after a later
    // announcement. The state never goes back within an incarnation.
    const bool is_leave_notice = record.state == server_state::gone;
    const bool is_late_leave =
        record.state > held.state && (record.sequence < held.sequence || record.is_restored);
    if (is_leave_notice || is_late_leave) {
      held.state = record.state;
      touch(e, now);
      return merge_result::changed;
    }
    if (record.sequence < held.sequence || record.state < held.state) {
      return merge_result::stale;
    }
    // The home may differ at equal sequence: a copy from another instance names the server's new
    // home.
    const bool is_copy = record.sequence == held.sequence && has_same_content(record, held);
    if (is_copy) {
      return merge_result::stale;
    }
  }
  const bool is_later_copy = is_same && record.sequence == held.sequence; // of another home
  const bool is_colder = !is_later_copy && note_cold(e, record, !is_same, now);
  const bool is_change = is_colder || !has_same_content(record, held);
  if (is_change && record.state != server_state::gone) {
    supersede_address(record, now);
  }
  held = std::move(record);
  if (!is_change) {
    return merge_result::repeated;
  }
  touch(e, now);
  return merge_result::changed;
}

void server_table::note_announcement(std::string_view id, base::time_point now) {
  const auto it = entries_.find(id);
  if (it != entries_.end()) {
    it->second.received_at = now;
  }
}

std::size_t server_table::mark_silent(std::string_view home, base::duration limit,
                                      base::time_point now) {
  std::size_t n = 0;
  for (auto& [id, e] : entries_) {
    const bool is_due = e.record.home == home && !e.record.is_silent &&
                        e.record.state != server_state::gone && now - e.received_at > limit;
    if (is_due) {
      e.record.is_silent = true;
      touch(e, now);
      ++n;
    }
  }
  return n;
}

void server_table::remove_holder(const server_record& record) {
  const auto holder = holders_.find(record.address);
  if (holder != holders_.end() && holder->second == record.id) {
    holders_.erase(holder);
  }
}

void server_table::remove_gone(base::duration gone_retention, base::time_point now) {
  // So that the table is stored without them.
  position_ += departures_.remove_expired(now) ? 1 : 0;
  std::erase_if(entries_, [&](const auto& item) {
    const auto& e = item.second;
    const bool is_due = e.record.state == server_state::gone && now - e.changed_at > gone_retention;
    if (is_due) {
      remove_holder(e.record);
    }
    return is_due;
  });
}

void server_table::remove_silent(base::duration silent_retention, base::time_point now) {
  std::erase_if(entries_, [&](const auto& item) {
    const auto& e = item.second;
    const bool is_due = now - std::max(e.received_at, e.changed_at) > silent_retention;
    if (is_due) {
      remove_holder(e.record);
    }
    return is_due;
  });
}

std::vector<server_record> server_table::changed_since(std::uint64_t position,
                                                       base::time_point now) const {
  return changes_since(position, std::numeric_limits<std::size_t>::max(), now).records;
}

std::vector<server_record> server_table::changed_since(std::uint64_t position) const {
  std::vector<server_record> out;
  for (const auto* e : entries_since(position)) {
    out.push_back(e->record);
  }
  return out;
}

std::vector<const server_table::entry*> server_table::entries_since(std::uint64_t position) const {
  std::vector<const entry*> out;
  for (const auto& [id, e] : entries_) {
    if (e.position > position) {
      out.push_back(&e);
    }
  }
  std::ranges::sort(out, {}, &entry::position);
  return out;
}

/// Whether the record of the server itself says as much as its departure.
bool server_table::is_listed(const departure_list::departure& d) const {
  const auto* held = find(d.record.id);
  return held != nullptr && held->started_ms == d.record.started_ms &&
         held->state >= d.record.state;
}

table_changes server_table::changes_since(std::uint64_t position, std::size_t max_bytes,
                                          base::time_point now) const {
  const auto changed = entries_since(position);
  const auto& departures = departures_.by_position();
  auto entry_at = changed.begin();
  auto departure_at = departures.upper_bound(position);
  table_changes out;
  out.to = position;
  std::size_t n = 0;
  while (entry_at != changed.end() || departure_at != departures.end()) {
    const bool is_departure =
        departure_at != departures.end() &&
        (entry_at == changed.end() || departure_at->first < (*entry_at)->position);
    if (is_departure && is_listed(departure_at->second)) {
      ++departure_at;
      continue;
    }
    auto record = is_departure ? listed(departure_at->second) : (*entry_at)->record;
    if (!is_departure) {
      record.cold_left_ms = cold_left_ms(**entry_at, now);
    }
    n += encoded_bytes(record);
    if (n > max_bytes && !out.records.empty()) {
      out.has_more = true;
      return out;
    }
    out.records.push_back(std::move(record));
    if (is_departure) {
      out.to = departure_at->first;
      ++departure_at;
    } else {
      out.to = (*entry_at)->position;
      ++entry_at;
    }
  }
  out.to = position_;
  return out;
}

table_changes server_table::departures_since(std::uint64_t position, std::size_t max_bytes) const {
  const auto& departures = departures_.by_position();
  table_changes out;
  out.to = position;
  std::size_t n = 0;
  for (auto it = departures.upper_bound(position); it != departures.end(); ++it) {
    n += encoded_bytes(it->second.record);
    if (n > max_bytes && !out.records.empty()) {
      out.has_more = true;
      return out;
    }
    out.to = it->first;
    out.records.push_back(listed(it->second));
  }
  out.to = position_;
  return out;
}

} // namespace kingcupshunt::fleet
