#include "kingcupshunt/fleet/server_table.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::fleet {

namespace {

/// A server that counts down its cold time states a slightly different end with each announcement.
/// Differences up to this are not sent on.
constexpr base::milliseconds cold_tolerance{250};

/// Compares the members that affect routing.
bool has_same_content(const server_record& a, const server_record& b) {
  return a.service == b.service && a.address == b.address && a.data_centre == b.data_centre &&
         a.slots == b.slots && a.state == b.state && a.started_ms == b.started_ms &&
         a.home == b.home && a.is_silent == b.is_silent && a.is_restored == b.is_restored;
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
  if (record.state != server_state::gone && is_superseded(record)) {
    record.state = server_state::gone;
  }
  const auto it = entries_.find(record.id);
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
  auto& held = it->second.record;
  const bool is_former = record.started_ms < held.started_ms;
  const bool is_same = record.started_ms == held.started_ms;
  if (is_former || (is_same && (held.state == server_state::gone || record.is_restored))) {
    return merge_result::stale;
  }
  if (is_same) {
    // A leave notice carries no sequence. The state never goes back within an incarnation.
    const bool is_leave_notice = record.state == server_state::gone;
    if (!is_leave_notice && (record.sequence < held.sequence || record.state < held.state)) {
      return merge_result::stale;
    }
    if (is_leave_notice) {
      held.state = server_state::gone;
      touch(it->second, now);
      return merge_result::changed;
    }
    // The home may differ at equal sequence: a copy from another instance names the server's new
    // home.
    const bool is_copy = record.sequence == held.sequence && has_same_content(record, held);
    if (is_copy) {
      return merge_result::stale;
    }
  }
  const bool is_later_copy = is_same && record.sequence == held.sequence; // of another home
  const bool is_colder = !is_later_copy && note_cold(it->second, record, !is_same, now);
  const bool is_change = is_colder || !has_same_content(record, held);
  if (is_change && record.state != server_state::gone) {
    supersede_address(record, now);
  }
  held = std::move(record);
  if (!is_change) {
    return merge_result::repeated;
  }
  touch(it->second, now);
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

void server_table::remove_expired(base::duration gone_retention, base::duration silent_retention,
                                  base::time_point now) {
  std::erase_if(entries_, [&](const auto& item) {
    const auto& e = item.second;
    const bool is_due =
        (e.record.state == server_state::gone && now - e.changed_at > gone_retention) ||
        (now - std::max(e.received_at, e.changed_at) > silent_retention);
    if (is_due) {
      const auto holder = holders_.find(e.record.address);
      if (holder != holders_.end() && holder->second == item.first) {
        holders_.erase(holder);
      }
    }
    return is_due;
  });
}

std::vector<server_record> server_table::changed_since(std::uint64_t position,
                                                       base::time_point now) const {
  auto out = changed_since(position);
  for (auto& record : out) {
    record.cold_left_ms = cold_left_ms(entries_.find(record.id)->second, now);
  }
  return out;
}

std::vector<server_record> server_table::changed_since(std::uint64_t position) const {
  std::vector<const entry*> found;
  for (const auto& [id, e] : entries_) {
    if (e.position > position) {
      found.push_back(&e);
    }
  }
  std::ranges::sort(found, {}, &entry::position);
  std::vector<server_record> out;
  out.reserve(found.size());
  for (const auto* e : found) {
    out.push_back(e->record);
  }
  return out;
}

} // namespace kingcupshunt::fleet
