#include "kingcupshunt/fleet/control_core.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "kingcupshunt/base/rendezvous.h"
#include "kingcupshunt/config/document.h"
#include "kingcupshunt/fleet/address_choice.h"
#include "kingcupshunt/peer/handle.h"

namespace kingcupshunt::fleet {

using peer::message_kind;

namespace {

constexpr std::size_t max_documents = 24;             // rapid successive changes are sent as deltas
constexpr base::milliseconds table_resend{600};       // an answer of 20 KB on a link of 5 Mbit/s
constexpr base::milliseconds share_resend{250};       // covers the loss of a message
constexpr base::milliseconds slow_tick_interval{200}; // for timeouts of seconds
constexpr base::milliseconds flush_interval{50};      // maximum age of load sums
constexpr base::milliseconds load_report_timeout{2500}; // entries report at least every second
constexpr base::seconds gone_retention{60};    // delayed announcements are refused until then
constexpr base::seconds silent_retention{120}; // records without any update are removed
constexpr int max_missed_announcements = 3;    // more missed announcements mark a server silent

} // namespace

control_core::control_core(control_settings settings, control_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {}

void control_core::log(std::string_view event, std::string_view detail) const {
  if (hooks_.log) {
    hooks_.log(event, detail);
  }
}

void control_core::on_document(const versioned_document& document) {
  // A reopened log applies its entries again.
  const bool is_old = !documents_.empty() && document.version <= documents_.back().version;
  if (!is_old) {
    pending_document_ = document;
  }
}

void control_core::restore(std::vector<server_record> records, base::time_point now) {
  std::erase_if(records, [&](const server_record& r) { return !is_sound(r); });
  for (auto& r : records) {
    r.is_restored = true;
    (void)table_.merge(std::move(r), now); // the table is empty
  }
  log("servers_restored", "count=" + std::to_string(table_.size()));
}

std::vector<server_record> control_core::records() const {
  auto out = table_.changed_since(0);
  std::erase_if(out, [&](const server_record& r) {
    return r.home != settings_.self || r.state != server_state::ready;
  });
  return out;
}

void control_core::apply_pending_document() {
  announce_evacuations();
  if (!pending_document_) {
    return;
  }
  const auto document = *std::exchange(pending_document_, std::nullopt);
  auto parsed = hooks_.parse(document.text);
  if (!parsed) {
    // Documents are validated before they are proposed, so this indicates a bug.
    log("document_unreadable", parsed.error().message);
    return;
  }
  documents_.push_back({document.version, std::move(parsed.value())});
  newest_texts_.clear();
  newest_plain_texts_.clear();
  if (documents_.size() > max_documents) {
    documents_.pop_front();
  }
  log("document_in_force", "version=" + std::to_string(document.version));
  if (hooks_.on_content) {
    hooks_.on_content(documents_.back().content);
  }
  const auto notice = peer::pack(commit_notice{document.version, evacuations_});
  for (const auto& [id, e] : entries_) {
    hooks_.send(id, message_kind::commit_notice, notice);
  }
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
  // The previous home must be notified, so that it doesn't mark the server silent. Other updates of
  // ready servers are sent to the entries only, with the next tick.
  if (!is_leaving && !(has_moved && merged == merge_result::changed)) {
    done(has_majority_contact(now));
    return;
  }
  push_changes();
  share(id, is_leaving, std::move(done), now);
}

void control_core::share(const std::string& id, bool is_leaving, std::function<void(bool)> done,
                         base::time_point now) {
  pending_share p;
  p.message.call = ++next_call_;
  p.message.records.push_back(*table_.find(id));
  p.until = now + settings_.share_timeout;
  p.resend = now + share_resend;
  p.acked.insert(settings_.self);
  const auto body = peer::pack(p.message);
  for (const auto& control : controls_) {
    hooks_.send(control, message_kind::record_share, body);
  }
  if (!is_leaving) {
    done(has_majority_contact(now));
  } else {
    p.done = std::move(done);
  }
  if (has_majority(p)) {
    if (p.done) {
      p.done(true);
    }
    return;
  }
  shares_.emplace(p.message.call, std::move(p));
}

bool control_core::has_majority(const pending_share& p) const {
  const auto& voters = log_->log().voters();
  std::size_t n = 0;
  for (const auto& v : voters.voters) {
    n += p.acked.contains(v.id) ? 1 : 0;
  }
  return !voters.voters.empty() && n >= voters.majority();
}

void control_core::push_changes() {
  if (pushed_position_ == table_.position()) {
    return;
  }
  const table_part part{settings_.start, pushed_position_, table_.position(),
                        table_.changed_since(pushed_position_)};
  pushed_position_ = table_.position();
  const auto body = peer::pack(part);
  for (const auto& [id, e] : entries_) {
    hooks_.send(id, message_kind::table_push, body);
  }
}

void control_core::receive(std::string_view from, message_kind kind, std::string_view body,
                           base::time_point now) {
  bool is_ok = false;
  switch (kind) {
  case message_kind::entry_ask:
    is_ok = peer::handle<entry_ask>(body, [&](const auto& m) { on_query(from, m, now); });
    break;
  case message_kind::document_fetch:
    is_ok = peer::handle<document_fetch>(body, [&](const auto& m) { on_fetch(from, m); });
    break;
  case message_kind::record_share:
    is_ok = peer::handle<record_share>(body, [&](const auto& m) { on_share(from, m, now); });
    break;
  case message_kind::record_share_ack:
    is_ok = peer::handle<record_share_ack>(body, [&](const auto& m) { on_share_ack(from, m); });
    break;
  case message_kind::control_join:
    is_ok = peer::handle<control_join>(body, [&](const auto& m) { on_join(from, m, now); });
    break;
  case message_kind::control_join_answer:
    is_ok = peer::handle<control_join_answer>(body, [&](const auto& m) { on_join_answer(m); });
    break;
  case message_kind::load_pulse:
    is_ok = peer::handle<load_report>(body, [&](const auto& m) { on_pulse(from, m, now); });
    break;
  case message_kind::failure_share:
    is_ok = peer::handle<load_report>(body, [&](const auto& m) { on_failure_share(m, now); });
    break;
  default:
    break;
  }
  malformed_ += is_ok ? 0 : 1;
}

void control_core::on_query(std::string_view from, const entry_ask& query, base::time_point now) {
  apply_pending_document();
  auto it = entries_.find(from);
  if (it == entries_.end()) {
    it = entries_.emplace(std::string(from), known_entry{}).first;
    log("entry_found", from);
  }
  auto& e = it->second;
  e.address = query.entry_address;
  e.data_centre = query.data_centre;
  e.is_ready = query.is_ready;
  e.is_leaving = query.is_leaving;
  e.tunnel_address = query.tunnel_address;
  if (e.is_cut_off != query.is_cut_off) {
    log(query.is_cut_off ? "entry_cut_off" : "entry_reaches_servers", from);
  }
  if (query.has_no_path && !e.has_no_path) {
    log("entry_without_path", from);
  }
  e.is_cut_off = query.is_cut_off;
  e.has_no_path = query.has_no_path;
  e.received_at = now;
  log_->note_evacuations(query.evacuations, now);
  const auto& replica = log_->log();
  entry_answer answer;
  answer.sequence = query.sequence;
  answer.is_voter = replica.is_voter() && replica.is_storage_well();
  answer.held = replica.last_index();
  answer.applied = replica.applied_index();
  answer.document = documents_.empty() ? 0 : documents_.back().version;
  answer.data_centre = settings_.data_centre;
  answer.voters_index = replica.voters_index();
  if (query.voters_index != answer.voters_index) {
    for (const auto& v : replica.voters().voters) {
      answer.voters.push_back(v.id);
    }
  }
  answer.knows_evacuations = true;
  answer.evacuations.number = evacuations_.number;
  if (query.evacuations != evacuations_.number) {
    answer.evacuations = evacuations_;
  }
  answer.entries = static_cast<std::uint32_t>(count_entries(now));
  if (query.needs_tunnels) {
    answer.tunnels = tunnels_for(from, now);
  }
  answer.table.start = settings_.start;
  answer.table.from = query.table_start == settings_.start ? query.table_position : 0;
  answer.table.to = table_.position();
  // Repeating changes that are still in transit with each query would saturate a slow link.
  const bool is_in_transit = e.sent_position > answer.table.from && now - e.sent_at < table_resend;
  if (is_in_transit) {
    answer.table.to = answer.table.from;
  } else if (answer.table.to > answer.table.from) {
    answer.table.records = table_.changed_since(answer.table.from, now);
    e.sent_position = answer.table.to;
    e.sent_at = now;
  }
  hooks_.send(from, message_kind::entry_answer, peer::pack(answer));
}

std::size_t control_core::count_entries(base::time_point now) const {
  return static_cast<std::size_t>(std::ranges::count_if(entries_, [&](const auto& item) {
    return now - item.second.received_at < settings_.entry_timeout;
  }));
}

void control_core::on_fetch(std::string_view from, const document_fetch& fetch) {
  apply_pending_document();
  if (documents_.empty()) {
    return;
  }
  const auto& newest = documents_.back();
  const auto base = std::ranges::find(documents_, fetch.held, &past_document::version);
  document_content out;
  out.applied = log_->log().applied_index();
  out.version = newest.version;
  out.knows_evacuations = true;
  out.evacuations = evacuations_.number;
  out.base = fetch.held != 0 && base != documents_.end() ? fetch.held : 0;
  auto& text = (fetch.reads_cold_terms ? newest_texts_ : newest_plain_texts_)[out.base];
  if (text.empty()) {
    const auto content_of = [&](const past_document& d) {
      return fetch.reads_cold_terms ? d.content : without_cold_terms(d.content);
    };
    const auto content = content_of(newest);
    text = out.base == 0 ? content.dump() : config::make_delta(content_of(*base), content).dump();
  }
  out.text = text;
  hooks_.send(from, message_kind::document_content, peer::pack(out));
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
  for (const auto& r : share.records) {
    if (!is_sound(r)) {
      continue;
    }
    const auto merged = table_.merge(r, now);
    is_urgent = is_urgent || (merged == merge_result::changed && r.state != server_state::ready);
  }
  if (is_urgent) {
    push_changes();
  }
  if (share.call != 0) {
    hooks_.send(from, message_kind::record_share_ack, peer::pack(record_share_ack{share.call}));
  }
}

void control_core::on_share_ack(std::string_view from, const record_share_ack& ack) {
  const auto it = shares_.find(ack.call);
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

void control_core::add_control(std::string_view id) {
  if (id != settings_.self) {
    controls_.emplace(id);
  }
}

std::vector<std::string> control_core::control_ids() const {
  return {controls_.begin(), controls_.end()};
}

bool control_core::has_majority_contact(base::time_point now) const {
  return majority_contact_at_ != base::time_point{} &&
         now - majority_contact_at_ < settings_.contact_timeout;
}

void control_core::tick(base::time_point now) {
  apply_pending_document();
  place_waiting(now);
  check_shares(now);
  // With few entries, failures are sent at once, so that entries avoid the server soon; load alone
  // waits for the interval.
  if (now >= flush_at_ ||
      (!loads_.failures.empty() && loads_.reported_at.size() <= max_single_relay_entries)) {
    flush_at_ = now + flush_interval;
    share_failures(now);
    flush_loads(now);
    issue_permits(now);
    issue_cold_permits(now);
  }
  if (now >= push_at_) {
    push_at_ = now + flush_interval;
    push_changes();
  }
  if (now < slow_tick_at_) {
    return;
  }
  slow_tick_at_ = now + slow_tick_interval;
  maintain_voters(now);
  const auto silent =
      table_.mark_silent(settings_.self, settings_.beat_interval * max_missed_announcements, now);
  if (silent > 0) {
    log("servers_silent", "count=" + std::to_string(silent));
  }
  std::erase_if(loads_.reported_at, [&](const auto& item) {
    const bool is_lost = now - item.second > load_report_timeout;
    if (is_lost) {
      remove_load(item.first);
    }
    return is_lost;
  });
  if (loads_.reported_at.empty()) {
    loads_.permits.clear(); // another relay issues permits now
    loads_.limited_in.clear();
  }
  table_.remove_expired(gone_retention, silent_retention, now);
  std::erase_if(entries_, [&](const auto& item) {
    const bool is_lost = now - item.second.received_at > settings_.entry_timeout * 2;
    if (is_lost) {
      log("entry_lost", item.first);
    }
    return is_lost;
  });
}

bool control_core::is_usable(std::string_view id, const known_entry& e,
                             base::time_point now) const {
  return e.is_ready && !e.is_leaving && now - e.received_at < settings_.entry_timeout &&
         (!hooks_.is_connected || hooks_.is_connected(id));
}

/// Entries that reach the servers themselves. Each asking entry gets others, so that they share the
/// load of many entries that are cut off.
std::vector<std::string> control_core::tunnels_for(std::string_view entry,
                                                   base::time_point now) const {
  std::vector<std::string> candidates;
  for (const auto& [id, e] : entries_) {
    if (id != entry && is_usable(id, e, now) && !e.is_cut_off && !e.tunnel_address.empty()) {
      candidates.push_back(e.tunnel_address);
    }
  }
  std::vector<std::string> out;
  for (const auto i : base::rendezvous_order(entry, candidates)) {
    if (out.size() < max_listed_tunnels) {
      out.push_back(candidates[i]);
    }
  }
  return out;
}

std::vector<std::string> control_core::entry_addresses(base::time_point now) const {
  std::vector<address_candidate> candidates;
  for (const auto& [id, e] : entries_) {
    if (is_usable(id, e, now)) {
      const auto reach = e.has_no_path  ? entry_reach::none
                         : e.is_cut_off ? entry_reach::tunnelled
                                        : entry_reach::direct;
      candidates.push_back({e.address, reach});
    }
  }
  return choose_addresses(candidates);
}

} // namespace kingcupshunt::fleet
