#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/fleet/cold_relay.h"
#include "kingcupshunt/fleet/demand_sums.h"
#include "kingcupshunt/fleet/document_history.h"
#include "kingcupshunt/fleet/document_log.h"
#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/fleet/server_table.h"
#include "kingcupshunt/rates/permit_issuer.h"

namespace kingcupshunt::fleet {

struct control_settings {
  std::string self; ///< id of this instance, by which the others reach it
  std::string store;
  std::string data_centre;
  std::uint64_t start = 1;                                 ///< random number of this process, not 0
  base::duration beat_interval = base::milliseconds(1500); ///< of announcements
  base::duration share_timeout = base::milliseconds(900);  ///< for a majority's acknowledgement
  base::duration entry_timeout =
      base::milliseconds(1800); ///< callers get no entry silent for longer
  base::duration contact_timeout =
      base::milliseconds(2500);                         ///< majority contact expires after this
  base::duration voter_timeout_even = base::seconds(6); ///< removal, even number of voters
  base::duration voter_timeout_odd = base::seconds(30); ///< removal, odd number of voters
  rates::cold_bound cold_bound;                         ///< requests to a server that is cold
};

struct control_hooks {
  peer::send_function send;
  /// Parses the text of a document. Called in `run_aside` too.
  std::function<document_result<config::record_list>(const std::string& text)> parse;
  /// Runs `work` beside the event loop, then `done` on it. May be empty: then long texts are parsed
  /// at once.
  std::function<void(std::function<void()> work, std::function<void()> done)> run_aside;
  /// Called when a document takes effect on this instance. May be empty.
  std::function<void(const config::record_list& content)> on_content;
  std::function<bool(std::string_view peer)> is_connected;
  /// Writes `records()` to disk and calls `done` with whether it is there now. May be empty: then
  /// nothing is stored.
  std::function<void(std::function<void(bool)> done)> store_records;
  std::function<void(std::string_view event, std::string_view detail)> log; ///< may be empty
};

/// An entry instance as a control instance knows it.
struct known_entry {
  std::string address; ///< "ip:port" for callers
  std::string data_centre;
  bool is_ready = false;
  bool is_leaving = false;
  std::string tunnel_address; ///< "ip:port" for other entries; may be empty
  bool is_cut_off = false;    ///< does not reach backend servers directly
  bool has_no_path = false;   ///< does not reach them through other entries either
  base::time_point received_at{};
  std::uint64_t sent_position = 0; ///< of the server table, as last sent in an answer
  base::time_point sent_at{};
  std::uint64_t unsendable_version = 0; ///< last document that was too long for its build
};

/// The part of a control instance outside the replicated log, without I/O: receives the
/// announcements of backend servers, updates the entry instances, provides callers with the
/// addresses of entry instances, relays load, and maintains the set of voters.
class control_core {
public:
  control_core(control_settings settings, control_hooks hooks);

  /// Connects the log; called once before anything else.
  void set_log(document_log* log) { log_ = log; }

  /// The log has a newer document. Parsing is deferred to the next tick or query, so that a restart
  /// parses only the newest document. Until it is in force here, this instance answers with the log
  /// index before it.
  void on_document(const versioned_document& document);

  /// The log has newer evacuations. The entries are notified with the next tick or query.
  void on_evacuations(const evacuation_set& evacuations);
  const evacuation_set& evacuations() const noexcept { return evacuations_; }

  /// Loads the records that this instance persisted before a restart.
  void restore(std::vector<server_record> records, base::time_point now);
  /// Records to persist: the departures known here, then the ready servers that announce themselves
  /// to this instance.
  std::vector<server_record> records() const;

  /// Processes an announcement. `done(true)`: the announcement is accepted; for a leaving server,
  /// a majority of the control instances has stored it, so that no new request is sent to the
  /// server, also after a restart of all of them.
  /// `done(false)`: this instance can't guarantee that.
  void announce(server_record record, std::function<void(bool)> done, base::time_point now);

  /// Record for a leave notice that names only the id; empty when the id is not known here.
  std::optional<server_record> leave_notice(std::string_view id) const;

  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  /// Addresses, for callers, of the entry instances that can serve; see choose_addresses for those
  /// that are cut off from the servers.
  std::vector<std::string> entry_addresses(base::time_point now) const;

  /// Ids of the other control instances known.
  std::vector<std::string> control_ids() const;
  void add_control(std::string_view id);

  /// In contact with a majority of the control instances within contact_timeout: leads or has
  /// received messages of the leader.
  bool has_majority_contact(base::time_point now) const;

  const server_table& servers() const noexcept { return table_; }
  const std::map<std::string, known_entry, std::less<>>& entries() const noexcept {
    return entries_;
  }
  std::uint64_t malformed_messages() const noexcept { return malformed_; }

private:
  struct pending_share {
    std::set<std::string, std::less<>> acked;
    base::time_point until{};
    base::time_point resend{};
    record_share message;
    std::function<void(bool)> done;
  };
  /// How much is known of the departures that another control instance lists.
  struct seen_departures {
    std::uint64_t start = 0; ///< of its process
    std::uint64_t position = 0;
  };
  /// Announcement of a server whose service no known document names.
  struct waiting_server {
    server_record record;
    base::time_point received_at{};
  };
  struct relayed_load {
    std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>>
        by_server; ///< server to entry to requests in flight
    std::set<std::string, std::less<>> changed;
    std::vector<failure_note> failures;      ///< for the entries that report to this instance
    std::vector<failure_note> to_share;      ///< for the other relays
    std::vector<limit_note> limits;          ///< changed, for the entries that report here
    std::vector<limit_note> limits_to_share; ///< changed, for the other relays
    demand_sums demands;
    rates::permit_issuer permits;
    std::map<std::string, std::string, std::less<>> limited_in;       ///< server to its data centre
    std::map<std::string, base::time_point, std::less<>> reported_at; ///< last report of each entry
  };

  void on_query(std::string_view from, const entry_ask& query, base::time_point now);
  void apply_pending_document();
  void put_in_force(std::uint64_t version, document_result<config::record_list> content);
  std::uint64_t settled_index() const;
  void announce_newest();
  void notify_entries();
  std::uint64_t newest_version() const;
  void announce_evacuations(); // control_evacuations.cpp
  void on_fetch(std::string_view from, const document_fetch& fetch, base::time_point now);
  void send_piece(std::string_view to, const document_fetch& fetch, base::time_point now);
  void send_text(std::string_view to, const document_fetch& fetch);
  bool is_sound(const server_record& record);
  void on_share(std::string_view from, const record_share& share, base::time_point now);
  void note_share_ack(std::string_view from, std::uint64_t call);
  void store_records(std::function<void()> done);
  server_record departed(const std::string& id, std::uint64_t started_ms) const;
  void ask_for_departures(std::string_view control);
  void on_departures_ask(std::string_view from, const departures_ask& ask);
  void on_departures(std::string_view from, const table_part& part, base::time_point now);
  void remove_expired_servers(base::time_point now);
  void on_join(std::string_view from, const control_join& join, base::time_point now);
  void on_join_answer(const control_join_answer& answer);
  void on_pulse(std::string_view from, const load_report& report, base::time_point now);
  bool is_service_known(const server_record& record) const;
  void wait_for_service(server_record record, base::time_point now);
  void place_waiting(base::time_point now);
  void share(server_record record, std::function<void(bool)> done, base::time_point now);
  void push_changes(base::time_point now);
  void on_failure_share(const load_report& report, base::time_point now);
  bool set_limit(const limit_note& note, base::time_point now);
  void send_limits(std::string_view to, base::time_point now);
  void issue_permits(base::time_point now);
  void issue_cold_permits(base::time_point now); // control_cold.cpp
  void flush_loads(base::time_point now);
  void share_failures(base::time_point now);
  void remove_load(std::string_view id);
  void check_shares(base::time_point now);
  void maintain_voters(base::time_point now);
  void ask_to_join();
  void remove_lost_voter(base::time_point now);
  bool has_majority(const pending_share& p) const;
  std::size_t count_entries(base::time_point now) const;
  bool is_usable(std::string_view id, const known_entry& e, base::time_point now) const;
  std::vector<std::string> tunnels_for(std::string_view entry, base::time_point now) const;
  void log(std::string_view event, std::string_view detail) const;

  control_settings settings_;
  control_hooks hooks_;
  document_log* log_ = nullptr;
  server_table table_;
  std::map<std::string, waiting_server, std::less<>> waiting_;
  std::uint64_t pushed_position_ = 0; ///< table position that was pushed to the entries
  std::map<std::string, known_entry, std::less<>> entries_;
  std::set<std::string, std::less<>> controls_;
  document_history documents_;
  std::optional<versioned_document> pending_document_;
  bool is_parsing_ = false;
  /// Log index before the oldest applied document that is not in force here yet.
  std::optional<std::uint64_t> settled_index_;
  std::uint64_t announced_newest_ = 0; ///< version named to the entries before it was in force
  evacuation_set evacuations_;
  evacuation_set announced_evacuations_; ///< as last logged and sent to the entries
  std::map<std::uint64_t, pending_share> shares_;
  std::uint64_t next_call_ = 0;
  std::map<std::string, seen_departures, std::less<>> departures_seen_;
  std::uint64_t departures_dropped_ = 0; ///< as last logged
  base::time_point departures_at_{};
  base::time_point cleanup_at_{};
  std::map<std::string, base::time_point, std::less<>> join_requests_;
  relayed_load loads_;
  cold_relay cold_{settings_.cold_bound};
  std::size_t cold_logged_ = 0; ///< cold servers in the last log line
  base::time_point cold_log_at_{};
  base::time_point majority_contact_at_{};
  base::time_point join_at_{};
  std::size_t asked_to_join_ = 0; ///< control instances asked since a leader was last heard
  base::time_point flush_at_{};
  base::time_point push_at_{};
  base::time_point slow_tick_at_{};
  std::uint64_t malformed_ = 0;
};

} // namespace kingcupshunt::fleet
