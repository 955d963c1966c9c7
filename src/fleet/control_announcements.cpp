// Announcements of backend servers, and what the control instances keep of those that left.

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

#include "kingcupshunt/fleet/control_core.h"

namespace kingcupshunt::fleet {

using peer::message_kind;

namespace {

constexpr base::milliseconds share_resend{250}; // covers the loss of a message
constexpr base::seconds gone_retention{60};     // of records; departures are kept for longer
constexpr base::seconds silent_retention{120};  // records without any update are removed

} // namespace

void control_core::restore(std::vector<server_record> records, base::time_point now) {
  std::erase_if(records, [&](const server_record& r) { return !is_sound(r); });
  // Departures first: a server may have left after its own record was stored.
  for (auto& r : records) {
    r.is_restored = true;
    if (r.state != server_state::ready) {
      table_.note_departed(r, now);
    }
  }
  for (auto& r : records) {
    if (r.state == server_state::ready) {
      (void)table_.merge(std::move(r), now);
    }
  }
  log("servers_restored", "count=" + std::to_string(table_.size()) +
                              " departures=" + std::to_string(table_.departures().size()));
}

std::vector<server_record> control_core::records() const {
  std::vector<server_record> out;
  for (const auto& [position, d] : table_.departures().by_position()) {
    out.push_back(d.record);
  }
  std::ranges::copy_if(table_.changed_since(0), std::back_inserter(out),
                       [&](const server_record& r) {
                         return r.home == settings_.self && r.state == server_state::ready;
                       });
  return out;
}

std::optional<server_record> control_core::leave_notice(std::string_view id) const {
  const auto* held = table_.find(id);
  if (held == nullptr) {
    return std::nullopt;
  }
  auto out = *held;
  out.state = server_state::gone;
  return out;
}

void control_core::announce(server_record record, std::function<void(bool)> done,
                            base::time_point now) {
  record.home = settings_.self;
  const bool is_leaving = record.state != server_state::ready;
  const auto started_ms = record.started_ms;
  apply_pending_document();
  if (!is_service_known(record)) {
    wait_for_service(std::move(record), now);
    done(!is_leaving && has_majority_contact(now));
    return;
  }
  waiting_.erase(record.id);
  const auto id = record.id;
  const auto* before = table_.find(id);
  const bool has_moved = before != nullptr && before->home != settings_.self;
  const auto merged = table_.merge(std::move(record), now);
  table_.note_announcement(id, now);
  if (merged == merge_result::changed) {
    const auto* held = table_.find(id);
    log("server_changed", "id=" + id + " service=" + held->service +
                              " state=" + std::to_string(static_cast<int>(held->state)));
  }
  if (is_leaving && !table_.has_left(id, started_ms, now)) {
    // A later incarnation is in use; it may be the same process, if its clock went back.
    log("leave_not_applied", "id=" + id + " started_ms=" + std::to_string(started_ms));
    done(false);
    return;
  }
  // The previous home must be notified, so that it doesn't mark the server silent. Other updates of
  // ready servers are sent to the entries only, with the next tick.
  if (!is_leaving && !(has_moved && merged == merge_result::changed)) {
    done(has_majority_contact(now));
    return;
  }
  push_changes(now);
  share(is_leaving ? departed(id, started_ms) : *table_.find(id), std::move(done), now);
}

/// The leave of an incarnation as the other instances are to merge it.
server_record control_core::departed(const std::string& id, std::uint64_t started_ms) const {
  const auto* held = table_.find(id);
  if (held != nullptr && held->started_ms == started_ms) {
    return *held;
  }
  server_record out;
  out.id = id;
  out.started_ms = started_ms;
  out.state = server_state::gone;
  return out;
}

void control_core::share(server_record record, std::function<void(bool)> done,
                         base::time_point now) {
  const bool is_leaving = record.state != server_state::ready;
  pending_share p;
  p.message.call = ++next_call_;
  p.message.records.push_back(std::move(record));
  p.until = now + settings_.share_timeout;
  p.resend = now + share_resend;
  if (is_leaving) {
    p.done = std::move(done);
  } else {
    p.acked.insert(settings_.self);
    done(has_majority_contact(now));
  }
  const auto body = peer::pack(p.message);
  for (const auto& control : controls_) {
    hooks_.send(control, message_kind::record_share, body);
  }
  const auto call = p.message.call;
  if (has_majority(p)) {
    return;
  }
  shares_.emplace(call, std::move(p));
  if (is_leaving) {
    store_records([this, call] { note_share_ack(settings_.self, call); });
  }
}

/// Calls `done` once the departures known now are on this instance's disk; never, if they could not
/// be written.
void control_core::store_records(std::function<void()> done) {
  if (!hooks_.store_records) {
    done();
    return;
  }
  hooks_.store_records([done = std::move(done)](bool is_stored) {
    if (is_stored) {
      done();
    }
  });
}

bool control_core::has_majority(const pending_share& p) const {
  const auto& voters = log_->log().voters();
  std::size_t n = 0;
  for (const auto& v : voters.voters) {
    n += p.acked.contains(v.id) ? 1 : 0;
  }
  return !voters.voters.empty() && n >= voters.majority();
}

void control_core::push_changes(base::time_point now) {
  while (pushed_position_ != table_.position()) {
    auto changes = table_.changes_since(pushed_position_, max_table_bytes, now);
    const table_part part{settings_.start, pushed_position_, changes.to, std::move(changes.records),
                          changes.has_more};
    pushed_position_ = changes.to;
    const auto body = peer::pack(part);
    for (const auto& [id, e] : entries_) {
      hooks_.send(id, message_kind::table_push, body);
    }
  }
}

/// Logs few of the odd records, since a share may be repeated.
bool control_core::is_sound(const server_record& record) {
  const auto fault = fault_of(record);
  if (!fault.empty() && std::has_single_bit(++malformed_)) {
    log("server_record_refused", fault);
  }
  return fault.empty();
}

void control_core::on_share(std::string_view from, const record_share& share,
                            base::time_point now) {
  add_control(from);
  bool is_urgent = false;
  bool is_leaving = false;
  bool is_applied = true;
  for (const auto& r : share.records) {
    if (!is_sound(r)) {
      continue;
    }
    const auto merged = table_.merge(r, now);
    if (r.state != server_state::ready) {
      is_leaving = true;
      is_applied = is_applied && table_.has_left(r.id, r.started_ms, now);
      is_urgent = is_urgent || merged == merge_result::changed;
    }
  }
  if (is_urgent) {
    push_changes(now);
  }
  if (share.call == 0 || !is_applied) {
    return;
  }
  const auto answer = [this, to = std::string(from), call = share.call] {
    hooks_.send(to, message_kind::record_share_ack, peer::pack(record_share_ack{call}));
  };
  if (is_leaving) {
    store_records(answer);
  } else {
    answer();
  }
}

void control_core::note_share_ack(std::string_view from, std::uint64_t call) {
  const auto it = shares_.find(call);
  if (it == shares_.end()) {
    return;
  }
  it->second.acked.emplace(from);
  if (has_majority(it->second)) {
    const auto done = std::move(it->second.done);
    shares_.erase(it);
    if (done) {
      done(true);
    }
  }
}

void control_core::check_shares(base::time_point now) {
  std::vector<std::function<void(bool)>> failed;
  for (auto it = shares_.begin(); it != shares_.end();) {
    auto& p = it->second;
    if (now >= p.until) {
      failed.push_back(std::move(p.done));
      it = shares_.erase(it);
      continue;
    }
    if (now >= p.resend) {
      p.resend = now + share_resend;
      const auto body = peer::pack(p.message);
      for (const auto& control : controls_) {
        if (!p.acked.contains(control)) {
          hooks_.send(control, message_kind::record_share, body);
        }
      }
    }
    ++it;
  }
  for (const auto& done : failed) {
    if (done) {
      done(false);
    }
  }
}

void control_core::ask_for_departures(std::string_view control) {
  const auto& seen = departures_seen_[std::string(control)];
  hooks_.send(control, message_kind::departures_ask,
              peer::pack(departures_ask{seen.start, seen.position}));
}

void control_core::on_departures_ask(std::string_view from, const departures_ask& ask) {
  const auto position = ask.start == settings_.start ? ask.position : 0;
  auto known = table_.departures_since(position, max_table_bytes);
  if (known.records.empty()) {
    return;
  }
  const table_part part{settings_.start, position, known.to, std::move(known.records),
                        known.has_more};
  hooks_.send(from, message_kind::departures_part, peer::pack(part));
}

/// An instance that had no part in the majority of a leave learns of it here, also one that joined
/// later: majorities of other voters must know it too.
void control_core::on_departures(std::string_view from, const table_part& part,
                                 base::time_point now) {
  auto& seen = departures_seen_[std::string(from)];
  if (seen.start != part.start) {
    seen = {part.start, 0};
  }
  if (part.from > seen.position || part.to <= seen.position) {
    return;
  }
  seen.position = part.to;
  for (const auto& r : part.records) {
    if (r.state != server_state::ready && is_sound(r)) {
      (void)table_.merge(r, now);
    }
  }
  push_changes(now);
  if (part.has_more) {
    ask_for_departures(from);
  }
}

void control_core::remove_expired_servers(base::time_point now) {
  table_.remove_gone(gone_retention, now);
  table_.remove_silent(silent_retention, now);
  const auto dropped = table_.departures().dropped();
  if (dropped != departures_dropped_) {
    departures_dropped_ = dropped;
    log("departures_dropped", "count=" + std::to_string(dropped));
  }
}

} // namespace kingcupshunt::fleet
