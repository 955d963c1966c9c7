#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/config/record_blocks.h"
#include "kingcupshunt/config/snapshot.h"
#include "kingcupshunt/fleet/document_fetcher.h"
#include "kingcupshunt/fleet/entry_lease.h"
#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/fleet/server_table.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::fleet {

struct entry_link_settings {
  std::string self;
  std::string entry_address;
  std::string data_centre;
  std::string tunnel_address;              ///< "ip:port" for other entries; may be empty
  base::duration lease = base::seconds(3); ///< see entry_lease
  base::duration apply_time = base::milliseconds(1600); ///< see is_outdated
  base::duration query_interval = base::milliseconds(500);
  base::duration initial_query_interval = base::milliseconds(100); ///< until the lease is valid
  base::duration fetch_timeout = base::milliseconds(600);
  base::duration relay_timeout =
      base::milliseconds(1200);                         ///< a control silent this long is no relay
  base::duration control_retention = base::seconds(30); ///< one that is neither seed nor voter
  base::duration tunnel_list_lifetime =
      base::seconds(10); ///< while the servers are reached directly
};

struct entry_link_hooks {
  peer::send_function send;
  std::function<bool()> is_ready;    ///< sent to the control instances, for callers
  std::function<bool()> is_leaving;  ///< a planned stop has begun
  std::function<bool()> is_cut_off;  ///< from the backend servers; may be empty
  std::function<bool()> has_no_path; ///< to them, not even through other entries; may be empty
  std::function<void(const server_record&)> on_server;
  std::function<void(const config::snapshot&)> on_document;
  /// Other data centres are evacuated than before; may be empty.
  std::function<void(const evacuation_set&)> on_evacuations;
  std::function<void()> on_controls; ///< the control instances or voters changed
  /// Runs `step` on the event loop after what waits there. May be empty: then long work is done at
  /// once.
  std::function<void(std::function<void()> step)> defer;
  std::function<void(std::string_view event, std::string_view detail)> log; ///< may be empty
};

/// An entry instance's side of the control plane, without I/O: queries all control instances,
/// applies updates of the document and the servers, and holds the lease under which keys are
/// accepted.
class entry_link {
public:
  entry_link(entry_link_settings settings, entry_link_hooks hooks);

  /// Sets the control instances named in the settings; the voters are added to them.
  void set_seeds(std::vector<std::string> seeds);

  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);
  /// Queries all control instances with the next tick, which also notifies them of a local change.
  void query_now() noexcept { query_at_ = {}; }

  bool is_fresh() const { return lease_.is_valid(base::boot_clock::now()); }
  bool has_document() const noexcept { return version_ > 0; }
  /// A newer document was committed longer ago than apply_time, and a control instance still says
  /// so. An entry that hears none can't know, and is not outdated by that.
  bool is_outdated(base::time_point now) const noexcept;
  std::uint64_t version() const noexcept { return version_; }
  const config::snapshot& configuration() const noexcept { return configuration_; }
  /// Data centres whose servers get no requests, as last known here.
  const evacuation_set& evacuations() const noexcept { return evacuations_; }
  const entry_lease& lease() const noexcept { return lease_; }
  std::set<std::string, std::less<>> controls() const;
  /// Entry instances that the control instances know, this one included.
  std::uint32_t entry_count() const noexcept { return entry_count_; }
  /// "ip:port" of entries that connect this one to servers which it cannot reach itself.
  const std::vector<std::string>& tunnels() const noexcept { return tunnels_; }
  /// Removes a tunnel that led nowhere until a control instance names it again. The entry behind it
  /// may be cut off as well, without anyone knowing yet.
  void drop_tunnel(std::string_view address);
  /// Control instance to which this entry reports its load. All entries choose the same one; with
  /// more than max_single_relay_entries entries, those of each data centre choose one of that data
  /// centre if it has any. May be empty.
  std::string relay(base::time_point now) const;
  /// Whether the relay receives the load of its own data centre only.
  bool is_relay_local(std::string_view relay) const;
  std::uint64_t malformed_messages() const noexcept { return malformed_; }

private:
  struct control {
    std::uint64_t table_start = 0;
    std::uint64_t table_position = 0;
    /// All of its table as it was at some time has been applied. Its answers support the lease only
    /// then: a server that left may be in a part still to come.
    bool is_table_known = false;
    base::time_point received_at{};
    std::string data_centre;
    std::map<std::uint64_t, base::boot_clock::time_point>
        pending_queries; ///< sequence to sending time
  };
  /// A complete document, of which some blocks have been read.
  struct arriving_document {
    fetched_document fetched; ///< without its bytes
    config::block_reader reader;
    config::change_set changes;
  };

  void query_all(base::time_point now);
  bool is_short_of_tunnels() const;
  void on_answer(std::string_view from, const entry_answer& answer, base::time_point now);
  void on_content(const document_content& content, base::time_point now);
  void on_piece(std::string_view from, const document_piece& piece, base::time_point now);
  void read_arriving(base::time_point now);
  std::string describe(const fetch_course& course, base::time_point now) const;
  void put_in_force(std::uint64_t version, std::uint64_t base, const config::change_set& changes,
                    std::string_view origin);
  void refuse_document(const config::error& error, base::time_point now);
  void apply_evacuations(const evacuation_set& evacuations);
  bool is_applied(std::uint64_t evacuations, bool knows_evacuations, base::time_point now);
  bool knows_document(std::uint32_t format, base::time_point now);
  bool is_sound(const server_record& record);
  void apply_table(control& c, const table_part& part, base::time_point now);
  void note_newest(std::uint64_t version, base::time_point now);
  void fetch(std::string_view from, std::uint64_t version, base::time_point now);

  entry_link_settings settings_;
  entry_link_hooks hooks_;
  std::vector<std::string> seeds_;
  std::map<std::string, control, std::less<>> controls_;
  server_table table_;
  config::snapshot configuration_;
  std::uint64_t version_ = 0;
  std::map<std::uint64_t, base::time_point> newer_; ///< newer versions, when first named here
  base::time_point newer_named_at_{};               ///< when one was named last
  evacuation_set evacuations_;
  base::time_point evacuations_known_at_{}; ///< last message of a sender that knows them
  base::time_point parts_known_at_{};       ///< last message of a sender that applies parts
  entry_lease lease_;
  document_fetcher fetcher_;
  std::unique_ptr<arriving_document> arriving_;
  std::uint64_t sequence_ = 0;
  std::uint32_t entry_count_ = 1;
  std::vector<std::string> tunnels_;
  base::time_point tunnels_at_{}; ///< when the list was received
  base::time_point query_at_{};
  base::time_point cleanup_at_{};
  std::uint64_t malformed_ = 0;
  bool was_fresh_ = false;
};

} // namespace kingcupshunt::fleet
