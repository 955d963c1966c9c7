#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "kingcupshunt/fleet/evacuation.h"
#include "kingcupshunt/fleet/server_record.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::fleet {

/// Up to this many entry instances share one load relay, which forwards each failure to them at
/// once. Larger fleets use one relay in each data centre, which bounds the relay's work and the
/// bytes between data centres.
inline constexpr std::size_t max_single_relay_entries = 24;

/// Number of entries that a control instance names to an entry that may need a tunnel.
inline constexpr std::size_t max_listed_tunnels = 8;

/// Greatest part of a server table in one message; the rest follows in further ones.
inline constexpr std::size_t max_table_bytes = peer::max_body_bytes / 2;

/// Query of an entry instance to a control instance, also its heartbeat (entry_ask).
struct entry_ask {
  std::uint64_t sequence = 0; ///< increases with each query of one process
  std::string entry_address;  ///< "ip:port" for callers
  std::string data_centre;
  bool is_ready = false;
  bool is_leaving = false;
  std::uint64_t applied = 0;        ///< log index whose document is in effect at the sender
  std::uint64_t table_start = 0;    ///< start of the control instance that `table_position` is of
  std::uint64_t table_position = 0; ///< of its server table, as applied by the sender
  std::uint64_t voters_index = 0;   ///< log index that set the voters known to the sender
  std::string tunnel_address;    ///< "ip:port" for entries that cannot reach servers; may be empty
  bool is_cut_off = false;       ///< does not reach servers directly
  bool needs_tunnels = false;    ///< the answer should list entries that offer tunnels
  std::uint64_t evacuations = 0; ///< number of the evacuations in effect at the sender
  bool has_no_path = false; ///< cut off, and does not reach servers through other entries either

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("q", sequence), MSGPACK_NVP("e", entry_address),
                     MSGPACK_NVP("z", data_centre), MSGPACK_NVP("r", is_ready),
                     MSGPACK_NVP("l", is_leaving), MSGPACK_NVP("a", applied),
                     MSGPACK_NVP("ts", table_start), MSGPACK_NVP("tp", table_position),
                     MSGPACK_NVP("vi", voters_index), MSGPACK_NVP("ta", tunnel_address),
                     MSGPACK_NVP("co", is_cut_off), MSGPACK_NVP("nt", needs_tunnels),
                     MSGPACK_NVP("ev", evacuations), MSGPACK_NVP("np", has_no_path))
};

/// Changes of one control instance's server table (in entry_answer, or alone as table_push), or of
/// the departures in it (departures_part).
struct table_part {
  std::uint64_t start = 0; ///< random number of the control instance's process
  std::uint64_t from = 0;  ///< position that precedes these changes
  std::uint64_t to = 0;
  std::vector<server_record> records;
  bool has_more = false; ///< the sender has later changes

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", start), MSGPACK_NVP("f", from), MSGPACK_NVP("t", to),
                     MSGPACK_NVP("r", records), MSGPACK_NVP("m", has_more))
};

/// Requests the departures that the receiver lists after those known (departures_ask).
struct departures_ask {
  std::uint64_t start = 0; ///< of the receiver's process that `position` is of
  std::uint64_t position = 0;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", start), MSGPACK_NVP("p", position))
};

/// Answer to entry_ask (entry_answer).
struct entry_answer {
  std::uint64_t sequence = 0;       ///< of the query
  bool is_voter = false;            ///< the sender votes with its current data folder
  std::uint64_t held = 0;           ///< last log index that it holds, committed or not
  std::uint64_t applied = 0;        ///< last log index that it has applied
  std::uint64_t document = 0;       ///< version of the document after `applied`
  std::vector<std::string> voters;  ///< empty: as known to the querying instance
  std::string data_centre;          ///< of the sender
  std::uint64_t voters_index = 0;   ///< log index that set the voters
  std::uint32_t entries = 1;        ///< entry instances that sent a query within the entry timeout
  std::vector<std::string> tunnels; ///< "ip:port" of entries that offer tunnels, when asked for
  table_part table;
  bool knows_evacuations = false; ///< false: a build that ignores the orders in its log
  evacuation_set evacuations; ///< after `applied`; only the number when the query names the same
  std::uint32_t format = 0;   ///< of the log entries that the sender applies
  std::uint64_t newest = 0;   ///< as in commit_notice

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("q", sequence), MSGPACK_NVP("v", is_voter), MSGPACK_NVP("h", held),
                     MSGPACK_NVP("a", applied), MSGPACK_NVP("d", document),
                     MSGPACK_NVP("vs", voters), MSGPACK_NVP("z", data_centre),
                     MSGPACK_NVP("vi", voters_index), MSGPACK_NVP("n", entries),
                     MSGPACK_NVP("tu", tunnels), MSGPACK_NVP("t", table),
                     MSGPACK_NVP("ke", knows_evacuations), MSGPACK_NVP("ev", evacuations),
                     MSGPACK_NVP("fo", format), MSGPACK_NVP("nw", newest))
};

/// A control instance has learned of a further document, has put it in force, or has applied other
/// evacuations (commit_notice).
struct commit_notice {
  std::uint64_t document = 0; ///< version in force at the sender, which others can fetch
  evacuation_set evacuations;
  std::uint64_t newest = 0; ///< version that is committed, perhaps not in force there yet
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("d", document), MSGPACK_NVP("ev", evacuations),
                     MSGPACK_NVP("nw", newest))
};

/// Requests the newest document, or the next piece of one (document_fetch). Builds that do not read
/// pieces send only the first two members.
struct document_fetch {
  std::uint64_t held = 0; ///< version that the requesting instance holds, 0: none
  /// The requesting instance reads the cold terms of services; earlier builds refuse a document
  /// that has them.
  bool reads_cold_terms = false;
  bool reads_pieces = false;
  std::string hash{};       ///< of the packed document that is being fetched; empty: none
  std::uint64_t offset = 0; ///< bytes of it that the requesting instance has
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("h", held), MSGPACK_NVP("c", reads_cold_terms),
                     MSGPACK_NVP("p", reads_pieces), MSGPACK_NVP("x", hash),
                     MSGPACK_NVP("o", offset))
};

/// Part of a packed document (document_piece). Without `size`, the sender has none that is newer
/// than the one held.
struct document_piece {
  std::uint64_t applied = 0; ///< log index after which `version` is in force; 0: it is overtaken
  std::uint64_t version = 0;
  std::uint64_t base = 0;         ///< version to which the changes apply; 0: the whole document
  std::uint64_t evacuations = 0;  ///< number of the evacuations after `applied`
  std::string hash;               ///< see packed_document
  std::uint64_t size = 0;         ///< bytes of the packed document
  std::uint64_t content_size = 0; ///< bytes of its content
  std::uint64_t offset = 0;       ///< of `data`
  std::string data;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("a", applied), MSGPACK_NVP("v", version), MSGPACK_NVP("b", base),
                     MSGPACK_NVP("ev", evacuations), MSGPACK_NVP("x", hash), MSGPACK_NVP("s", size),
                     MSGPACK_NVP("n", content_size), MSGPACK_NVP("o", offset),
                     MSGPACK_NVP("d", data))
};

/// A document, or the changes since the version named in the request, for builds that do not read
/// pieces (document_content).
struct document_content {
  std::uint64_t applied = 0; ///< log index
  std::uint64_t version = 0;
  std::uint64_t base = 0;         ///< version that `text` is a delta to; 0: the whole document
  std::string text;               ///< JSON of config::make_delta
  bool knows_evacuations = false; ///< as in entry_answer
  std::uint64_t evacuations = 0;  ///< number of the evacuations after `applied`
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("a", applied), MSGPACK_NVP("v", version), MSGPACK_NVP("b", base),
                     MSGPACK_NVP("t", text), MSGPACK_NVP("ke", knows_evacuations),
                     MSGPACK_NVP("ev", evacuations))
};

/// Announcements for the other control instances (record_share).
struct record_share {
  std::uint64_t call = 0; ///< 0: no acknowledgement requested
  std::vector<server_record> records;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("c", call), MSGPACK_NVP("r", records))
};

/// The records of a share are merged, and stored when servers leave (record_share_ack).
struct record_share_ack {
  std::uint64_t call = 0;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("c", call))
};

/// Request of a control instance that has no leader to be added to the voters (control_join).
struct control_join {
  std::string store; ///< id of its data folder, for the log line only
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", store))
};

/// Answer to control_join: the instances among which the sender of the request finds the leader
/// (control_join_answer).
struct control_join_answer {
  std::vector<std::string> voters; ///< as known to the answering instance, joining ones included
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("vs", voters))
};

/// How an attempt failed, for failures that make other entry instances avoid the server.
enum class failure_kind : std::uint8_t {
  reset = 0, ///< the connection was refused, or ended without a complete answer
  error = 1, ///< the answer was an error
  late = 2   ///< no answer for several times the usual time
};

} // namespace kingcupshunt::fleet

MSGPACK_ADD_ENUM(kingcupshunt::fleet::failure_kind)

namespace kingcupshunt::fleet {

struct failure_note {
  std::string server;
  failure_kind kind = failure_kind::reset;
  std::uint64_t fingerprint = 0; ///< of the request, 0: not known
  std::string reporter;          ///< set by the relay, so that an entry doesn't count its own twice
  bool is_lost = true;           ///< the request must not be retried
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", server), MSGPACK_NVP("k", kind),
                     MSGPACK_NVP("f", fingerprint), MSGPACK_NVP("r", reporter),
                     MSGPACK_NVP("l", is_lost))
};

/// Bounds of the numbers in load messages. Their sum over all instances fits 32 bits.
inline constexpr std::uint32_t max_in_flight = 100'000; ///< requests at one server
inline constexpr std::uint32_t max_demand = 100'000;    ///< requests of one service and rank

struct server_load {
  std::string server;
  std::uint32_t in_flight = 0;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", server), MSGPACK_NVP("n", in_flight))
};

/// The request rate that a server accepts, as its answers state it.
struct limit_note {
  std::string server;
  bool is_limited = false;
  double per_second = 0;   ///< from all instances together, when limited
  std::string data_centre; ///< of the server; a control instance knows only some of the servers
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", server), MSGPACK_NVP("l", is_limited),
                     MSGPACK_NVP("p", per_second), MSGPACK_NVP("z", data_centre))
};

/// Limits that an instance has observed, for the instance that issues the permits of the servers;
/// or the end of limits, for the instances that reported them (limit_report).
struct limit_report {
  std::vector<limit_note> limits;
  void apply_bounds();
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("m", limits))
};

/// A server that is cold, whose service states a rate for cold servers.
struct cold_note {
  std::string server;
  std::uint32_t left_ms = 0; ///< 0: the sender has this from its relay and does not repeat it
  double per_second = 0;     ///< the service's rate for cold servers, from all instances together
  std::string data_centre;   ///< of the server
  bool is_wanted = false;    ///< the sender has had requests for the service lately
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", server), MSGPACK_NVP("l", left_ms),
                     MSGPACK_NVP("p", per_second), MSGPACK_NVP("z", data_centre),
                     MSGPACK_NVP("w", is_wanted))
};

/// Requests of one rank that wait for a service: at one entry instance, or at all of a relay.
struct demand_note {
  std::string service;
  std::uint32_t rank = 0;
  std::uint32_t waiting = 0;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", service), MSGPACK_NVP("r", rank), MSGPACK_NVP("n", waiting))
};

/// Load, failures and limits, in one of three messages: changed in-flight counts, new failures and
/// changed limits of an entry instance since its last report (load_pulse); the sums over all entry
/// instances of a relay, sent by the relay to each of them (load_total); or the failures and limits
/// that the entries of one relay observed, for the other relays (failure_share).
struct load_report {
  bool is_full = false; ///< servers not listed have no requests in flight
  std::vector<server_load> loads;
  std::vector<failure_note> failures;
  std::vector<limit_note> limits;
  std::vector<cold_note> cold{};
  std::uint64_t stamp = 0; ///< of an entry: its clock when it sent this; returned in permit_grant
  /// Changed values, and those above 0 again at short intervals. Sent only by entries with fleet
  /// admission; builds without it skip the member.
  std::vector<demand_note> demands = {};
  void apply_bounds();
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("a", is_full), MSGPACK_NVP("l", loads), MSGPACK_NVP("f", failures),
                     MSGPACK_NVP("m", limits), MSGPACK_NVP("c", cold), MSGPACK_NVP("t", stamp),
                     MSGPACK_NVP("d", demands))
};

/// Most notes in one load_report or permit_grant. Each has at most two texts of
/// max_record_text_bytes, so that a message with as many fits a frame.
inline constexpr std::size_t max_notes = 1500;

/// `report` in as many messages as it takes. Only the first one may be full.
std::vector<load_report> in_messages(load_report report);

struct server_permits {
  std::string server;
  std::uint32_t permits = 0;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", server), MSGPACK_NVP("n", permits))
};

/// Permits for requests to servers that limit their rate, from a relay to one entry instance
/// (permit_grant).
struct permit_grant {
  std::vector<server_permits> permits;
  std::vector<server_permits> cold{}; ///< for cold servers; the lifetime counts from their issue
  std::uint64_t stamp = 0;            ///< of the receiver's last report
  std::uint32_t age_ms = 0; ///< time from the receipt of that report to the issue of `cold`
  void apply_bounds();
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("p", permits), MSGPACK_NVP("c", cold), MSGPACK_NVP("t", stamp),
                     MSGPACK_NVP("g", age_ms))
};

/// `grant` in as many messages as it takes.
std::vector<permit_grant> in_messages(permit_grant grant);

} // namespace kingcupshunt::fleet
