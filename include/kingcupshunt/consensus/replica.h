#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/consensus/log.h"
#include "kingcupshunt/consensus/messages.h"
#include "kingcupshunt/consensus/types.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::consensus {

enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

enum class replica_error : std::uint8_t {
  not_leader,     ///< this replica does not lead, or is handing its leadership over
  not_ready,      ///< the leader has not committed an entry of its term yet
  change_pending, ///< the former change of the voters is not committed
  unknown_voter,  ///< the id is not, or already is, a voter
  too_large,      ///< the payload exceeds max_payload_bytes
  overloaded,     ///< too many bytes are uncommitted
};

/// Short fixed text for `error`.
const char* message_of(replica_error error) noexcept;

template <class T>
using replica_result = base::result<T, replica_error>;

/// Greatest payload of an entry in bytes; an append with one such entry fits into a frame.
inline constexpr std::size_t max_payload_bytes = 768U << 10U;

struct replica_settings {
  voter self;
  std::vector<std::string> initial_voters;                    ///< used only while the log is empty
  base::duration election_timeout = base::milliseconds(1000); ///< a random 1 to 2 times this
  /// Before the first election of a process, also times 1 to 2; 0: as any other.
  base::duration first_election_timeout{0};
  base::duration heartbeat_interval = base::milliseconds(150);
  base::duration storage_bound = base::milliseconds(1500); ///< a slower write stops this voter
  std::size_t append_bytes = 512U << 10U;
  std::size_t uncommitted_bytes = 32U << 20U; ///< proposals beyond this are refused
  std::size_t compaction_bytes = 16U << 20U;  ///< payload after which a snapshot is taken
  std::size_t compaction_entries = 20000;     ///< entries after which a snapshot is taken
  std::size_t kept_entries = 1000;            ///< kept before a snapshot for slow voters
  std::size_t kept_bytes = 8U << 20U;         ///< payload of these entries; the newer ones stay
  std::size_t snapshot_chunk_bytes = 512U << 10U;
  std::size_t max_snapshot_bytes = 1U << 30U; ///< a snapshot of more is not received
  std::uint64_t seed = 1;
  /// Greatest format of commands that this instance applies; told to the leader.
  std::uint32_t format = 0;
};

struct replica_hooks {
  peer::send_function send;
  /// Starts one durable write; at most one is outstanding. Answered by on_persisted.
  std::function<void(write_batch)> persist;
  /// Starts saving a snapshot beside the log; at most one is outstanding. Answered by
  /// on_snapshot_saved.
  std::function<void(const snapshot&)> save_snapshot;
  /// Applies a committed command. Called in the order of the log, once per start.
  std::function<void(const entry&)> apply;
  /// Serialized state machine after the last applied entry.
  std::function<std::string()> take_snapshot;
  /// Replaces the state machine.
  std::function<void(std::uint64_t index, std::string_view data)> restore;
  /// Role, term or known leader changed. May be empty.
  std::function<void()> on_role;
};

/// One voter of the replicated log, without input or output.
///
/// An entry counts as held here only after the storage reported it synced. A replica whose write
/// fails, or takes longer than storage_bound, neither answers nor votes, and gives up leadership.
class replica {
public:
  replica(replica_settings settings, replica_hooks hooks, recovered_state recovered,
          base::time_point now);

  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  /// The write `sequence` is durable, or failed.
  void on_persisted(std::uint64_t sequence, bool is_ok, base::time_point now);
  /// The snapshot at `index` is durable, or failed.
  void on_snapshot_saved(std::uint64_t index, bool is_ok, base::time_point now);

  /// Adds a command to the log of the leader and returns its index. It took effect when apply is
  /// called for this index with the present term; whether it did is unknown after a loss of
  /// leadership.
  replica_result<std::uint64_t> propose(std::string payload, base::time_point now);

  /// Adds several commands, one after another with none in between, and returns the index of the
  /// last one. They become durable and take effect one by one.
  replica_result<std::uint64_t> propose_all(std::vector<std::string> payloads,
                                            base::time_point now);

  /// Leader only: least format of commands that the instances apply which have answered since it
  /// leads. The others may have any.
  std::uint32_t least_format() const noexcept;

  /// Calls `done(true)` once this replica has confirmed with a quorum after this call that it
  /// leads, and has applied all entries committed before it. `done(false)`: it does not lead.
  void read_index(std::function<void(bool)> done, base::time_point now);

  /// Starts replicating to `id` and makes it a voter once it has caught up.
  replica_result<void> add_voter(std::string_view id, base::time_point now);
  replica_result<void> remove_voter(std::string_view id, base::time_point now);

  /// Hands leadership to the voter that holds most. Refuses proposals until done or given up after
  /// an election timeout. Does nothing on another role.
  void transfer_leadership(base::time_point now);

  role current_role() const noexcept { return role_; }
  bool is_leader() const noexcept { return role_ == role::leader; }
  /// Leads and has applied an entry of its own term, so its state machine holds all that was
  /// acknowledged before.
  bool is_ready() const noexcept;
  std::uint64_t term() const noexcept { return state_.term; }
  /// Id of the leader; empty when unknown.
  const std::string& leader() const noexcept { return leader_; }
  std::uint64_t commit_index() const noexcept { return commit_; }
  std::uint64_t applied_index() const noexcept { return applied_; }
  std::uint64_t last_index() const noexcept { return log_.last_index(); }
  const voter_set& voters() const noexcept { return voters_; }
  /// Index of the entry that set the voters.
  std::uint64_t voters_index() const noexcept { return voters_index_; }
  /// This replica votes, with its present data folder.
  bool is_voter() const noexcept;
  /// Leads, or has heard the leader within an election timeout.
  bool hears_leader(base::time_point now) const noexcept;
  /// Leader only: when `id` was last heard; empty for unknown ids.
  std::optional<base::time_point> last_heard(std::string_view id) const;
  /// The last change of the voters is committed.
  bool may_change_voters_now() const noexcept {
    return role_ == role::leader && voters_index_ <= commit_ && commit_ >= term_start_;
  }
  /// The last change of the voters is committed and none is joining. Only then may a second data
  /// folder be replaced.
  bool are_voters_settled() const noexcept {
    return voters_index_ <= commit_ && voters_.joining.empty();
  }
  /// A write failed; the data folder must be opened again by a restart.
  bool has_failed() const noexcept { return has_failed_; }
  /// Writes finish within the bound.
  bool is_storage_well() const noexcept { return !has_failed_ && !is_stalled_; }
  std::uint64_t malformed_messages() const noexcept { return malformed_; }

private:
  struct progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0; ///< durable there
    std::uint64_t acked_sequence = 0;
    std::uint64_t sent_sequence = 0; ///< 0: nothing outstanding
    base::time_point sent_at;
    base::time_point heard_at;
    std::string store;        ///< empty: not heard since this instance leads
    std::uint32_t format = 0; ///< of commands that it applies
    snapshot sending;         ///< index not 0: this snapshot is being sent
    std::uint64_t snapshot_offset = 0;
    std::uint64_t join_mark = 0; ///< joining: commit index to reach within an election timeout
    base::time_point join_marked_at;
  };
  struct pending_read {
    std::uint64_t after_sequence = 0;
    std::uint64_t index = 0;
    bool is_confirmed = false;
    std::function<void(bool)> done;
  };
  struct queued_answer {
    std::uint64_t after_write = 0;
    std::uint64_t term = 0;
    std::string to;
    peer::message_kind kind{};
    std::string body;
  };

  // replica.cpp
  void apply_committed(base::time_point now);
  void use_voters(voter_set set, std::uint64_t index);
  template <class T, class F>
  void dispatch(std::string_view body, F&& handle);

  // replica_election.cpp
  void become_follower(std::uint64_t term, std::string_view leader, base::time_point now);
  void start_election(bool is_pre_vote, bool is_transfer, base::time_point now);
  void count_votes(base::time_point now);
  void become_leader(base::time_point now);
  void on_vote(std::string_view from, const vote& m, base::time_point now);
  void on_vote_answer(std::string_view from, const vote_answer& m, base::time_point now);
  void on_timeout_now(std::string_view from, const timeout_now& m, base::time_point now);
  void reset_election_timer(base::time_point now);
  bool has_quorum_contact(base::time_point now) const;
  void fail_reads();

  // replica_append.cpp
  void on_append(std::string_view from, append m, base::time_point now);
  void on_append_answer(std::string_view from, const append_answer& m, base::time_point now);
  void accept_entries(std::vector<entry> entries);
  void answer_append(bool is_matching, std::uint64_t next);
  void send_append(const std::string& to, progress& p, bool is_heartbeat, base::time_point now);
  void send_appends(base::time_point now);
  void append_entry(entry_kind kind, std::string payload);
  void advance_commit(base::time_point now);
  std::uint64_t held_by_majority() const;
  void confirm_reads(base::time_point now);
  void finish_reads();
  void finish_transfer();

  // replica_voters.cpp
  void advance_voter_changes(base::time_point now);
  replica_result<void> propose_voters(const voter_set& next, base::time_point now);
  replica_result<void> may_change_voters() const;
  void refresh_progress(base::time_point now);
  bool has_caught_up(progress& p, base::time_point now) const noexcept;
  bool is_same_store(const voter& v, const progress& p) const noexcept;

  // replica_storage.cpp
  void start_write(base::time_point now);
  void store_state();
  void check_storage(base::time_point now);
  void send_after_sync(std::string_view to, peer::message_kind kind, std::string body);
  void flush_answers();
  void truncate_from(std::uint64_t index);

  // replica_snapshot.cpp
  void maybe_compact();
  void send_snapshot(const std::string& to, progress& p, base::time_point now);
  void on_snapshot_chunk(std::string_view from, const snapshot_chunk& m, base::time_point now);
  void on_snapshot_answer(std::string_view from, const snapshot_answer& m, base::time_point now);
  void answer_snapshot(std::string_view to, std::uint64_t sequence, std::uint64_t index,
                       std::uint64_t offset, bool is_installed);
  void install(const snapshot& s, base::time_point now);
  voter_set voters_at(std::uint64_t index) const;

  replica_settings settings_;
  replica_hooks hooks_;
  base::rng rng_;
  hard_state state_;
  log log_;
  voter_set voters_;
  std::uint64_t voters_index_ = 0; ///< index of the entry that set voters_
  snapshot base_;                  ///< last durable snapshot
  role role_ = role::follower;
  std::string leader_;
  std::uint64_t commit_ = 0;
  std::uint64_t applied_ = 0;
  std::uint64_t verified_ = 0; ///< follower: equals the leader's log up to here
  std::uint64_t last_sequence_read_ = 0;
  base::time_point leader_heard_at_;
  base::time_point election_at_;
  base::time_point heartbeat_at_;
  bool has_heard_leader_ = false;
  std::map<std::string, std::string, std::less<>> granted_; ///< voter id to its store
  std::map<std::string, progress, std::less<>> peers_;
  std::uint64_t sequence_ = 0;
  std::uint64_t term_start_ = 0; ///< index of the leader's first entry
  std::size_t uncommitted_bytes_ = 0;
  std::size_t applied_bytes_ = 0; ///< since the last snapshot
  bool is_applying_ = false;
  std::vector<pending_read> reads_;
  std::string transfer_to_;
  base::time_point transfer_until_;

  bool is_write_in_flight_ = false;
  std::uint64_t in_flight_last_ = 0; ///< last index that the write makes durable
  base::time_point write_started_;
  write_batch pending_;
  bool has_pending_ = false;
  std::uint64_t write_sequence_ = 0;
  std::uint64_t handed_over_ = 0; ///< last index given to the storage
  std::uint64_t durable_ = 0;     ///< last index synced here
  hard_state durable_state_;
  std::optional<hard_state> in_flight_state_;
  std::vector<queued_answer> queued_;
  bool has_failed_ = false;
  bool is_stalled_ = false;

  std::optional<snapshot> saving_;
  bool is_installing_ = false;
  snapshot_chunk incoming_; ///< data holds what has arrived so far
  std::string incoming_from_;
  std::uint64_t malformed_ = 0;
};

} // namespace kingcupshunt::consensus
