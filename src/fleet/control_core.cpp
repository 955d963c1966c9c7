#include "kingcupshunt/fleet/control_core.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "kingcupshunt/base/rendezvous.h"
#include "kingcupshunt/fleet/address_choice.h"
#include "kingcupshunt/peer/handle.h"

namespace kingcupshunt::fleet {

using peer::message_kind;

namespace {

/// Greatest text in a document_content: the other members take a few bytes.
constexpr std::size_t max_text_bytes = peer::max_body_bytes - 256;
constexpr base::milliseconds table_resend{600};         // an answer of 20 KB on a link of 5 Mbit/s
constexpr base::seconds cleanup_interval{1};            // of records past their retention
constexpr base::milliseconds departures_interval{1500}; // a few bytes where none are new
constexpr base::milliseconds slow_tick_interval{200};   // for timeouts of seconds
constexpr base::milliseconds flush_interval{50};        // maximum age of load sums
constexpr base::milliseconds load_report_timeout{2500}; // entries report at least every second
constexpr int max_missed_announcements = 3; // more missed announcements mark a server silent

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
  if (document.version <= documents_.version()) {
    return;
  }
  pending_document_ = document;
  if (!settled_index_) {
    const auto applied = log_ == nullptr ? 0 : log_->log().applied_index();
    settled_index_ = applied - std::min<std::uint64_t>(applied, 1);
  }
}

std::uint64_t control_core::settled_index() const {
  return settled_index_.value_or(log_->log().applied_index());
}

void control_core::apply_pending_document() {
  announce_evacuations();
  if (!pending_document_) {
    return;
  }
  if (is_parsing_) {
    announce_newest();
    return;
  }
  auto document = *std::exchange(pending_document_, std::nullopt);
  const auto version = document.version;
  log("document_committed",
      "version=" + std::to_string(version) + " bytes=" + std::to_string(document.text.size()));
  if (!hooks_.run_aside || document.text.size() <= max_inline_text_bytes) {
    put_in_force(version, hooks_.parse(document.text));
    return;
  }
  announce_newest();
  is_parsing_ = true;
  const auto result = std::make_shared<std::optional<document_result<config::record_list>>>();
  hooks_.run_aside(
      [parse = hooks_.parse, text = std::move(document.text), result] { *result = parse(text); },
      [this, version, result] {
        is_parsing_ = false;
        put_in_force(version, std::move(**result));
        apply_pending_document();
      });
}

void control_core::put_in_force(std::uint64_t version,
                                document_result<config::record_list> content) {
  if (!content) {
    // Documents are validated before they are proposed: a bug, or a document of a later build.
    log("document_unreadable", content.error().message);
    return;
  }
  if (!pending_document_) {
    settled_index_.reset();
  }
  if (version <= documents_.version()) {
    return; // a reopened log named it again while a newer one was parsed
  }
  documents_.add(version, std::move(content.value()));
  log("document_in_force", "version=" + std::to_string(version));
  if (hooks_.on_content) {
    hooks_.on_content(documents_.records());
  }
  notify_entries();
}

/// Tells the entries at once that a document is committed, however long it takes to put it in force
/// here, since they may go on with the former one for a limited time only.
void control_core::announce_newest() {
  const auto newest = newest_version();
  if (newest != announced_newest_) {
    announced_newest_ = newest;
    notify_entries();
  }
}

void control_core::notify_entries() {
  const auto notice =
      peer::pack(commit_notice{documents_.version(), evacuations_, newest_version()});
  for (const auto& [id, e] : entries_) {
    hooks_.send(id, message_kind::commit_notice, notice);
  }
}

std::uint64_t control_core::newest_version() const {
  return std::max(documents_.version(), log_ == nullptr ? 0 : log_->current().version);
}

void control_core::receive(std::string_view from, message_kind kind, std::string_view body,
                           base::time_point now) {
  bool is_ok = false;
  switch (kind) {
  case message_kind::entry_ask:
    is_ok = peer::handle<entry_ask>(body, [&](const auto& m) { on_query(from, m, now); });
    break;
  case message_kind::document_fetch:
    is_ok = peer::handle<document_fetch>(body, [&](const auto& m) { on_fetch(from, m, now); });
    break;
  case message_kind::record_share:
    is_ok = peer::handle<record_share>(body, [&](const auto& m) { on_share(from, m, now); });
    break;
  case message_kind::record_share_ack:
    is_ok =
        peer::handle<record_share_ack>(body, [&](const auto& m) { note_share_ack(from, m.call); });
    break;
  case message_kind::departures_ask:
    is_ok = peer::handle<departures_ask>(body, [&](const auto& m) { on_departures_ask(from, m); });
    break;
  case message_kind::departures_part:
    is_ok = peer::handle<table_part>(body, [&](const auto& m) { on_departures(from, m, now); });
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
  answer.applied = settled_index();
  answer.document = documents_.version();
  answer.newest = newest_version();
  answer.data_centre = settings_.data_centre;
  answer.voters_index = replica.voters_index();
  if (query.voters_index != answer.voters_index) {
    for (const auto& v : replica.voters().voters) {
      answer.voters.push_back(v.id);
    }
  }
  answer.format = format_with_parts;
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
    answer.table.has_more = true;
  } else if (answer.table.to > answer.table.from) {
    auto changes = table_.changes_since(answer.table.from, max_table_bytes, now);
    answer.table.records = std::move(changes.records);
    answer.table.to = changes.to;
    answer.table.has_more = changes.has_more;
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

void control_core::on_fetch(std::string_view from, const document_fetch& fetch,
                            base::time_point now) {
  apply_pending_document();
  if (fetch.reads_pieces) {
    send_piece(from, fetch, now);
  } else if (!documents_.is_empty()) {
    send_text(from, fetch);
  }
}

void control_core::send_piece(std::string_view to, const document_fetch& fetch,
                              base::time_point now) {
  document_piece out;
  out.version = documents_.version();
  auto document = documents_.find(fetch.hash, now);
  if (!document && documents_.version() > fetch.held) {
    document = documents_.packed_for(fetch.held, now);
  }
  if (document) {
    const bool is_newest = document->version == documents_.version();
    out.applied = is_newest ? settled_index() : 0;
    out.evacuations = evacuations_.number;
    out.version = document->version;
    out.base = document->base;
    out.hash = document->hash;
    out.size = document->bytes.size();
    out.content_size = document->content_size;
    out.offset = document->hash == fetch.hash ? std::min(fetch.offset, out.size) : 0;
    out.data = document->bytes.substr(out.offset, document_piece_bytes);
  }
  hooks_.send(to, message_kind::document_piece, peer::pack(out));
}

/// For a build that reads a document from a single message only.
void control_core::send_text(std::string_view to, const document_fetch& fetch) {
  const auto& text = documents_.text_for(fetch.held, fetch.reads_cold_terms, max_text_bytes);
  if (text.text.empty()) {
    const auto it = entries_.find(to);
    const bool is_logged =
        it != entries_.end() &&
        std::exchange(it->second.unsendable_version, documents_.version()) == documents_.version();
    if (!is_logged) {
      log("document_not_sent",
          "to=" + std::string(to) + " version=" + std::to_string(documents_.version()) +
              " bytes=" + std::to_string(text.size) + " limit=" + std::to_string(max_text_bytes) +
              " reason=its_build_reads_no_pieces");
    }
    return;
  }
  document_content out;
  out.applied = settled_index();
  out.version = documents_.version();
  out.knows_evacuations = true;
  out.evacuations = evacuations_.number;
  out.base = text.base;
  out.text = text.text;
  hooks_.send(to, message_kind::document_content, peer::pack(out));
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
    push_changes(now);
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
  if (now >= cleanup_at_) {
    cleanup_at_ = now + cleanup_interval;
    remove_expired_servers(now);
  }
  if (now >= departures_at_) {
    departures_at_ = now + departures_interval;
    for (const auto& control : controls_) {
      ask_for_departures(control);
    }
  }
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
