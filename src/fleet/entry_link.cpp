#include "kingcupshunt/fleet/entry_link.h"

#include <algorithm>
#include <bit>
#include <utility>

#include <nlohmann/json.hpp>

#include "kingcupshunt/base/rendezvous.h"
#include "kingcupshunt/fleet/document_log.h"
#include "kingcupshunt/peer/handle.h"

namespace kingcupshunt::fleet {

using peer::message_kind;

namespace {

constexpr std::size_t max_pending_queries = 16; // the oldest unanswered one is dropped beyond this
/// Below the lease, so that a return to a build without evacuations does not end the lease.
constexpr base::seconds knowing_sender_retention{2};
constexpr base::seconds gone_retention{60}; // of records; departures are kept for longer
constexpr base::seconds cleanup_interval{10};
constexpr std::size_t max_newer_versions = 64; // a further one is noted when it is named again

} // namespace

entry_link::entry_link(entry_link_settings settings, entry_link_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)), lease_(settings_.lease),
      fetcher_({settings_.self, settings_.fetch_timeout}, {hooks_.send, hooks_.log}) {}

void entry_link::set_seeds(std::vector<std::string> seeds) {
  if (seeds == seeds_) {
    return;
  }
  seeds_ = std::move(seeds);
  for (const auto& id : seeds_) {
    controls_.try_emplace(id);
  }
  hooks_.on_controls();
}

std::set<std::string, std::less<>> entry_link::controls() const {
  std::set<std::string, std::less<>> out;
  for (const auto& [id, c] : controls_) {
    out.insert(id);
  }
  return out;
}

std::string entry_link::relay(base::time_point now) const {
  std::vector<std::string> reachable;
  std::vector<std::string> local;
  for (const auto& [id, c] : controls_) {
    if (c.received_at != base::time_point{} && now - c.received_at < settings_.relay_timeout) {
      reachable.push_back(id);
      if (c.data_centre == settings_.data_centre) {
        local.push_back(id);
      }
    }
  }
  if (!local.empty() && entry_count_ > max_single_relay_entries) {
    reachable = std::move(local);
  }
  const auto at = base::rendezvous_pick("load", reachable);
  return at < reachable.size() ? reachable[at] : std::string();
}

bool entry_link::is_relay_local(std::string_view relay) const {
  const auto it = controls_.find(relay);
  return entry_count_ > max_single_relay_entries && it != controls_.end() &&
         it->second.data_centre == settings_.data_centre;
}

void entry_link::tick(base::time_point now) {
  if (now >= query_at_) {
    query_at_ = now + (is_fresh() ? settings_.query_interval : settings_.initial_query_interval);
    query_all(now);
  }
  const bool is_now_fresh = is_fresh();
  if (is_now_fresh != was_fresh_ && hooks_.log) {
    hooks_.log(is_now_fresh ? "control_regained" : "control_lost",
               "applied=" + std::to_string(lease_.applied()) +
                   " version=" + std::to_string(version_));
  }
  was_fresh_ = is_now_fresh;
  if (!arriving_) {
    fetcher_.tick(version_, now);
  }
  if (now >= cleanup_at_) {
    cleanup_at_ = now + cleanup_interval;
    table_.remove_gone(gone_retention, now);
  }
}

void entry_link::query_all(base::time_point now) {
  entry_ask query;
  query.sequence = ++sequence_;
  query.entry_address = settings_.entry_address;
  query.data_centre = settings_.data_centre;
  query.is_ready = hooks_.is_ready();
  query.is_leaving = hooks_.is_leaving();
  query.applied = lease_.applied();
  query.voters_index = lease_.voters_index();
  query.evacuations = evacuations_.number;
  query.tunnel_address = settings_.tunnel_address;
  query.is_cut_off = hooks_.is_cut_off && hooks_.is_cut_off();
  query.has_no_path = hooks_.has_no_path && hooks_.has_no_path();
  query.needs_tunnels =
      !settings_.tunnel_address.empty() && (query.is_cut_off || is_short_of_tunnels() ||
                                            now - tunnels_at_ > settings_.tunnel_list_lifetime);
  const auto is_wanted = [&](const std::string& id, const control& c) {
    return std::ranges::find(seeds_, id) != seeds_.end() ||
           std::ranges::find(lease_.voters(), id) != lease_.voters().end() ||
           now - c.received_at < settings_.control_retention;
  };
  const auto is_dropped = [&](const auto& item) {
    const bool out = !is_wanted(item.first, item.second);
    if (out) {
      fetcher_.forget(item.first);
    }
    return out;
  };
  if (std::erase_if(controls_, is_dropped) > 0) {
    hooks_.on_controls();
  }
  for (auto& [id, c] : controls_) {
    query.table_start = c.table_start;
    query.table_position = c.table_position;
    c.pending_queries[query.sequence] = base::boot_clock::now();
    if (c.pending_queries.size() > max_pending_queries) {
      c.pending_queries.erase(c.pending_queries.begin());
    }
    hooks_.send(id, message_kind::entry_ask, peer::pack(query));
  }
}

/// True also while the other entries of the fleet are still starting.
bool entry_link::is_short_of_tunnels() const {
  return tunnels_.size() < std::min<std::size_t>(max_listed_tunnels, entry_count_ - 1);
}

void entry_link::drop_tunnel(std::string_view address) {
  std::erase(tunnels_, address);
  if (tunnels_.empty()) {
    query_now();
  }
}

void entry_link::receive(std::string_view from, message_kind kind, std::string_view body,
                         base::time_point now) {
  bool is_ok = false;
  switch (kind) {
  case message_kind::entry_answer:
    is_ok = peer::handle<entry_answer>(body, [&](const auto& m) { on_answer(from, m, now); });
    break;
  case message_kind::table_push:
    is_ok = peer::handle<table_part>(body, [&](const auto& m) {
      const auto it = controls_.find(from);
      if (it != controls_.end()) {
        apply_table(it->second, m, now);
      }
    });
    break;
  case message_kind::commit_notice:
    is_ok = peer::handle<commit_notice>(body, [&](const auto& m) {
      apply_evacuations(m.evacuations);
      note_newest(std::max(m.document, m.newest), now);
      fetch(from, m.document, now);
    });
    break;
  case message_kind::document_content:
    is_ok = peer::handle<document_content>(body, [&](const auto& m) { on_content(m, now); });
    break;
  case message_kind::document_piece:
    is_ok = peer::handle<document_piece>(body, [&](const auto& m) { on_piece(from, m, now); });
    break;
  default:
    break;
  }
  malformed_ += is_ok ? 0 : 1;
}

void entry_link::on_answer(std::string_view from, const entry_answer& answer,
                           base::time_point now) {
  const auto it = controls_.find(from);
  if (it == controls_.end()) {
    return;
  }
  auto& c = it->second;
  const auto query = c.pending_queries.find(answer.sequence);
  if (query == c.pending_queries.end()) {
    return;
  }
  const auto sent = query->second;
  c.pending_queries.erase(c.pending_queries.begin(), std::next(query));
  c.received_at = now;
  c.data_centre = answer.data_centre;
  apply_table(c, answer.table, now);
  const auto known = lease_.voters_index();
  lease_.set_voters(answer.voters, answer.voters_index);
  if (answer.is_voter && c.is_table_known) {
    lease_.note_answer(from, sent, answer.held);
  }
  apply_evacuations(answer.evacuations);
  const bool has_evacuations = is_applied(answer.evacuations.number, answer.knows_evacuations, now);
  if (answer.document == version_ && has_evacuations && knows_document(answer.format, now)) {
    lease_.set_applied(answer.applied);
  }
  entry_count_ = std::max<std::uint32_t>(answer.entries, 1);
  if (!answer.tunnels.empty()) {
    tunnels_ = answer.tunnels;
    tunnels_at_ = now;
  }
  if (lease_.voters_index() != known) {
    for (const auto& id : lease_.voters()) {
      controls_.try_emplace(id);
    }
    hooks_.on_controls();
  }
  note_newest(std::max(answer.document, answer.newest), now);
  fetch(from, answer.document, now);
}

void entry_link::apply_evacuations(const evacuation_set& evacuations) {
  if (evacuations.number <= evacuations_.number) {
    return;
  }
  const auto before = std::exchange(evacuations_, evacuations);
  if (hooks_.on_evacuations) {
    hooks_.on_evacuations(evacuations_);
  }
  if (hooks_.log) {
    hooks_.log("evacuations_changed", "number=" + std::to_string(evacuations_.number) +
                                          " data_centres=" + evacuations_.describe() +
                                          " before=" + before.describe());
  }
}

/// Whether the evacuations up to the log index of a message are in effect here. A control instance
/// of a build that ignores orders can't tell: its log index may be that of an order. Its messages
/// count before the first order, and while no instance that knows orders is heard, since older
/// fleets have no others.
bool entry_link::is_applied(std::uint64_t evacuations, bool knows_evacuations,
                            base::time_point now) {
  if (knows_evacuations) {
    evacuations_known_at_ = now;
    return evacuations <= evacuations_.number;
  }
  return evacuations_.number == 0 || now - evacuations_known_at_ > knowing_sender_retention;
}

/// Whether a control instance that applies log entries of `format` can tell which document is the
/// newest at its log index. One of a build that ignores parts of documents may take an older one
/// for it. Its messages count while no instance that applies parts is heard, since no others write
/// them.
bool entry_link::knows_document(std::uint32_t format, base::time_point now) {
  if (format >= format_with_parts) {
    parts_known_at_ = now;
    return true;
  }
  return now - parts_known_at_ > knowing_sender_retention;
}

/// Logs few of the odd records, since each answer may repeat them.
bool entry_link::is_sound(const server_record& record) {
  const auto fault = fault_of(record);
  if (!fault.empty() && std::has_single_bit(++malformed_) && hooks_.log) {
    hooks_.log("server_record_refused", fault);
  }
  return fault.empty();
}

/// Ignores changes that leave a gap after the applied position; the next answer repeats them.
void entry_link::apply_table(control& c, const table_part& part, base::time_point now) {
  if (part.start != c.table_start) {
    if (part.from != 0) {
      return;
    }
    c.table_start = part.start;
    c.table_position = 0;
    c.is_table_known = false;
  }
  if (part.from > c.table_position) {
    return;
  }
  c.is_table_known = c.is_table_known || !part.has_more;
  if (part.to <= c.table_position) {
    return;
  }
  c.table_position = part.to;
  if (part.has_more) {
    query_now();
  }
  for (const auto& r : part.records) {
    if (is_sound(r) && table_.merge(r, now) == merge_result::changed) {
      hooks_.on_server(*table_.find(r.id));
    }
  }
}

void entry_link::fetch(std::string_view from, std::uint64_t version, base::time_point now) {
  fetcher_.note(from, version);
  if (!arriving_) {
    fetcher_.tick(version_, now);
  }
}

void entry_link::note_newest(std::uint64_t version, base::time_point now) {
  if (version <= version_) {
    return;
  }
  newer_named_at_ = now;
  if (newer_.empty() || (version > newer_.rbegin()->first && newer_.size() < max_newer_versions)) {
    newer_.emplace(version, now);
  }
}

bool entry_link::is_outdated(base::time_point now) const noexcept {
  return !newer_.empty() && now - newer_.begin()->second > settings_.apply_time &&
         now - newer_named_at_ < settings_.relay_timeout;
}

/// A document from a control instance that sends no pieces.
void entry_link::on_content(const document_content& content, base::time_point now) {
  if (content.version <= version_ || (content.base != 0 && content.base != version_)) {
    return;
  }
  fetcher_.reset();
  const auto parsed = nlohmann::json::parse(content.text, nullptr, false);
  auto changes = parsed.is_discarded() ? config::result<config::change_set>(config::error{})
                                       : config::read_changes(parsed);
  if (!changes) {
    refuse_document(changes.error(), now);
    return;
  }
  // Later changes may come from an instance that sends pieces.
  config::issue_keys_named_by_hash(changes.value());
  put_in_force(content.version, content.base, changes.value(), "pieces=0");
  if (is_applied(content.evacuations, content.knows_evacuations, now) && knows_document(0, now)) {
    lease_.set_applied(content.applied);
  }
}

void entry_link::on_piece(std::string_view from, const document_piece& piece,
                          base::time_point now) {
  if (arriving_) {
    return;
  }
  auto fetched = fetcher_.receive(from, piece, version_, now);
  if (!fetched) {
    return;
  }
  auto content = unpack_document(fetched->document);
  if (!content) {
    refuse_document({config::error_code::wrong_type, "", "", "the content is damaged"}, now);
    return;
  }
  fetched->document.bytes.clear();
  arriving_ = std::make_unique<arriving_document>(
      arriving_document{std::move(*fetched), config::block_reader(std::move(*content)), {}});
  read_arriving(now);
}

/// Reads a block of the document that has arrived, so that requests are served between two blocks.
void entry_link::read_arriving(base::time_point now) {
  auto& a = *arriving_;
  while (!a.reader.is_done()) {
    if (const auto read = a.reader.next(a.changes); !read) {
      refuse_document(read.error(), now);
      return;
    }
    if (!a.reader.is_done() && hooks_.defer) {
      hooks_.defer([this] { read_arriving(base::clock::now()); });
      return;
    }
  }
  const auto done = std::exchange(arriving_, nullptr);
  const auto& document = done->fetched.document;
  if (document.version <= version_ || (document.base != 0 && document.base != version_)) {
    return; // overtaken by a document in one message
  }
  put_in_force(document.version, document.base, done->changes, describe(done->fetched.course, now));
  if (is_applied(done->fetched.evacuations, true, now)) {
    lease_.set_applied(done->fetched.applied);
  }
  fetcher_.tick(version_, now);
}

/// Milliseconds since a newer version than the one held was named here. Together with the log of
/// the control instances, they show where a document that came late has spent its time.
std::string entry_link::describe(const fetch_course& course, base::time_point now) const {
  const auto start = newer_.empty() ? course.asked_at : newer_.begin()->second;
  const auto ms = [&](base::time_point at) {
    return std::to_string(std::chrono::duration_cast<base::milliseconds>(at - start).count());
  };
  return "pieces=" + std::to_string(course.pieces) +
         " requests=" + std::to_string(course.requests) + " asked_ms=" + ms(course.asked_at) +
         " first_ms=" + ms(course.first_at) + " whole_ms=" + ms(course.whole_at) +
         " in_force_ms=" + ms(now);
}

void entry_link::put_in_force(std::uint64_t version, std::uint64_t base,
                              const config::change_set& changes, std::string_view origin) {
  auto next = base == 0 ? config::snapshot{} : configuration_;
  next.apply(changes);
  configuration_ = std::move(next);
  version_ = version;
  newer_.erase(newer_.begin(), newer_.upper_bound(version_));
  hooks_.on_document(configuration_);
  if (hooks_.log) {
    hooks_.log("document_in_force", "version=" + std::to_string(version_) + " base=" +
                                        std::to_string(base) + ' ' + std::string(origin));
  }
}

void entry_link::refuse_document(const config::error& error, base::time_point now) {
  ++malformed_;
  arriving_.reset();
  fetcher_.reject(now);
  if (hooks_.log) {
    hooks_.log("document_unreadable", config::describe(error));
  }
}

} // namespace kingcupshunt::fleet
