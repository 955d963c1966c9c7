#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/membership/freshness_messages.h"
#include "kingcupshunt/membership/group_counter.h"
#include "kingcupshunt/membership/held_counter.h"
#include "kingcupshunt/membership/sample_table.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::membership {

struct freshness_settings {
  std::string self_id;
  std::uint32_t incarnation = 0; ///< differs from that of every former process with this id
  base::time_point started_at{}; ///< of this process
  base::duration lifetime = base::seconds(2);
  base::duration period = base::milliseconds(400);
  std::size_t flat_limit = 64; ///< greatest view that exchanges a sample of every member
  std::size_t fan_out = 4;     ///< members queried per period up to flat_limit
  std::uint64_t seed = 1;
};

struct freshness_hooks {
  /// A peer has applied a revision that this instance has not.
  std::function<void(std::string_view peer, std::uint64_t revision)> on_behind;
  /// This instance became synced in this incarnation.
  std::function<void()> on_synced;
  /// A majority holds this revision.
  std::function<void(std::uint64_t revision)> on_held;
};

struct freshness_counters {
  std::uint64_t malformed = 0;       ///< messages that could not be parsed
  std::uint64_t unknown_senders = 0; ///< messages from instances outside the view
  std::uint64_t unexpected = 0;      ///< answers to no known query
};

/// Tells whether this instance has applied every acknowledged revision, without comparing clocks
/// of different instances.
class freshness {
public:
  freshness(freshness_settings settings, peer::send_function send, freshness_hooks hooks);

  /// Follows the next view. Call it once for each version, in order, before set_applied of the
  /// revision that brought the view. After a skipped version or a start with a version above 1,
  /// no revision counts as held until set_previous_view states the version before.
  void set_view(const fleet_view& view, base::time_point now);

  /// States the view that preceded the present one, for an instance that took a whole state.
  void set_previous_view(const fleet_view& previous);

  /// States that this instance has applied everything up to `revision`. Lower values are ignored.
  void set_applied(std::uint64_t revision, base::time_point now);

  /// States that the applied revision was at or above a read index that the log's leader confirmed
  /// with a quorum after this process started.
  void set_synced(base::time_point now);

  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  bool is_synced() const noexcept { return is_synced_; }
  bool is_fresh(base::time_point now) const noexcept;

  /// End of the present freshness, or `never`. Rises while answers arrive.
  base::time_point fresh_until() const noexcept;

  /// Greatest revision reported by a synced member.
  std::uint64_t greatest_heard_revision() const noexcept { return greatest_heard_; }

  /// Whether a majority of synced members of the view, and of the former view while the change
  /// of the view is not itself held, is known to hold `revision`.
  bool is_held_by_majority(std::uint64_t revision) const noexcept { return revision <= held_; }

  /// Whether a majority of the old and the new view holds the present view, so that the next
  /// change of the view may be proposed.
  bool is_view_settled() const noexcept;

  const freshness_counters& counters() const noexcept { return counters_; }

private:
  struct query_record {
    std::uint32_t member = 0;
    base::time_point sent_at = never;
  };

  bool is_flat() const noexcept { return view_.members.size() <= settings_.flat_limit; }
  std::optional<std::size_t> index_of(std::string_view id) const noexcept;
  bool has_view_revision() const noexcept { return view_revision_.has_value(); }

  void send_queries(base::time_point now);
  void query_flat(base::time_point now);
  void query_by_group(base::time_point now);
  void query(std::size_t member, base::time_point now);

  void receive_query(std::string_view from, const freshness_query& message, base::time_point now);
  void receive_answer(std::size_t from, const freshness_answer& message, base::time_point now);
  void add_relayed(const relayed_samples& samples, const freshness_answer& message,
                   base::time_point sent_at, base::time_point now);
  void add_sample(std::size_t member, const revision_sample& sample);
  void fill_samples(freshness_answer& out, bool is_same_view, base::time_point now) const;

  void refresh(base::time_point now);
  void count_groups(base::time_point now);
  void refresh_held(base::time_point now);
  void raise_held(std::uint64_t revision);
  void note_peer_revision(std::string_view peer, std::uint64_t revision);

  freshness_settings settings_;
  peer::send_function send_;
  freshness_hooks hooks_;
  freshness_counters counters_;
  base::rng rng_;

  fleet_view view_;
  std::optional<fleet_view> previous_view_;
  bool is_previous_known_ = true;
  std::optional<std::uint64_t> view_revision_; ///< empty between set_view and set_applied
  std::optional<std::size_t> self_;
  std::vector<std::optional<std::size_t>> previous_index_; ///< by index in the view

  std::uint64_t applied_ = 0;
  bool is_synced_ = false;
  std::uint64_t greatest_heard_ = 0;
  std::uint64_t held_ = 0;

  sample_table table_;
  held_counter held_counter_;
  group_counter groups_;
  applied_watermark certificates_;
  base::time_point covered_at_ = never; ///< a majority held nothing unapplied at this time

  std::vector<std::uint32_t> order_; ///< shuffled members still to be queried
  std::deque<query_record> queries_;
  std::uint32_t first_call_id_ = 1;
  base::time_point next_query_at_ = never;
  std::uint64_t round_ = 0;
};

} // namespace kingcupshunt::membership
