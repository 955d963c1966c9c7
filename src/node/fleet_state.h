#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "kingcupshunt/config/snapshot.h"
#include "kingcupshunt/membership/detector.h"
#include "kingcupshunt/membership/freshness.h"
#include "kingcupshunt/node/view_planner.h"
#include "kingcupshunt/state/client.h"
#include "kingcupshunt/state/distribution.h"
#include "kingcupshunt/state/follower.h"
#include "runtime.h"
#include "voter.h"

namespace kingcupshunt::node {

struct fleet_state_hooks {
  std::function<void(base::time_point)> on_configuration; ///< the snapshot in force changed
  std::function<void(const membership::fleet_view&, base::time_point)> on_view;
  std::function<void(const membership::path_fault&)> on_path_fault;
  std::function<void(base::duration)> on_disk_time;
  /// Whether the last try to connect to a peer failed.
  std::function<bool(std::string_view peer)> is_unreachable;
};

/// Answer to an operator's change.
struct change_outcome {
  bool has_answer = false; ///< false: unknown whether the change took effect
  bool is_held = false;    ///< in force wherever an instance still accepts requests
  state::command_result result;
};

/// The replicated state as one instance has it: configuration and fleet view in force, freshness,
/// failure detection, and on voters the log.
class fleet_state {
public:
  /// Opens the disk of a voter. The error is a line for operators.
  static base::result<std::unique_ptr<fleet_state>, std::string>
  open(const runtime& rt, fleet_state_hooks hooks, base::time_point now);

  /// Takes messages of membership, freshness, log and state. False: another kind.
  bool receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  const config::snapshot& configuration() const noexcept { return *configuration_; }
  const membership::fleet_view& view() const noexcept { return view_; }
  std::uint64_t revision() const noexcept { return follower_->revision(); }
  bool is_fresh(base::time_point now) const { return freshness_->is_fresh(now); }
  /// Whether every change held by a majority up to `age` ago is applied here; stricter than
  /// is_fresh.
  bool is_fresh_within(base::duration age, base::time_point now) const;
  bool is_synced() const { return freshness_->is_synced(); }
  bool is_view_held(std::uint64_t version) const;
  bool is_leaving() const noexcept { return is_leaving_; }
  const membership::detector& detector() const noexcept { return *detector_; }
  const membership::freshness& freshness() const noexcept { return *freshness_; }
  state::client& client() noexcept { return *client_; }
  const voter* local_voter() const noexcept { return voter_.get(); }

  /// Proposes a change of files and calls `done` once when it is held by a majority of the fleet,
  /// refused, or at `deadline`.
  void change(const state::change_files& c, base::time_point deadline,
              std::function<void(const change_outcome&)> done, base::time_point now);

  /// Starts a planned leave: the instance gives its roles up and, as leader, the log.
  void leave(base::time_point now);

private:
  struct waiting_change {
    std::uint64_t revision = 0;
    base::time_point deadline;
    change_outcome outcome;
    std::function<void(const change_outcome&)> done;
  };

  fleet_state(const runtime& rt, fleet_state_hooks hooks) : rt_(rt), hooks_(std::move(hooks)) {}
  void make_components(base::time_point now);
  void make_follower();
  bool apply_delta(const state::delta& d);
  bool apply_image(const state::image& i);
  void apply_view(base::time_point now);
  void advance(base::time_point now);
  void sync(base::time_point now);
  void send_join(base::time_point now);
  void plan_view_change(base::time_point now);
  std::vector<observed_member> observe_members(base::time_point now) const;
  void finish_changes(base::time_point now);
  void record_change(const membership::member_change& change);

  runtime rt_;
  fleet_state_hooks hooks_;
  std::unique_ptr<config::snapshot> configuration_ = std::make_unique<config::snapshot>();
  membership::fleet_view view_;
  std::uint64_t view_revision_ = 0;
  std::unique_ptr<membership::freshness> freshness_;
  std::unique_ptr<membership::detector> detector_;
  std::unique_ptr<state::distribution> distribution_;
  std::unique_ptr<state::follower> follower_;
  std::unique_ptr<state::client> client_;
  std::unique_ptr<voter> voter_;
  std::map<std::string, membership::fleet_member> joining_; ///< asked to join, by id
  std::map<std::string, base::time_point> changed_at_;      ///< last change of status, by member
  std::vector<waiting_change> waiting_;
  bool is_reading_ = false;       ///< a read for the first sync is outstanding
  bool has_target_ = false;       ///< the revision for the first sync is known
  bool is_changing_view_ = false; ///< a proposal of a view is outstanding
  bool is_leaving_ = false;
  base::time_point next_join_{};
};

} // namespace kingcupshunt::node
