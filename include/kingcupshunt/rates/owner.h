#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/config/snapshot.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/observe/decision.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/rates/bucket.h"
#include "kingcupshunt/rates/limit.h"
#include "kingcupshunt/rates/messages.h"
#include "kingcupshunt/rates/ownership.h"

namespace kingcupshunt::rates {

struct owner_settings {
  std::string self;              ///< id of this instance
  std::uint64_t incarnation = 1; ///< differs for each start of the process, not 0
  /// Number of past views kept, from which the owner determines how long it has owned a workspace.
  std::size_t view_history = 8;
};

struct owner_hooks {
  peer::send_function send; ///< must also deliver messages to `self`
  limit_function limit_of;
  std::function<bool()> is_fresh;
  /// Whether a majority is known to hold the view of this version. The wait of a new owner starts
  /// at that time, because the former owner can stay fresh until a majority holds the new view.
  /// Unset: every view given to set_view counts as held.
  std::function<bool(std::uint64_t version)> is_view_held;
  std::function<void(const observe::decision&)> on_decision;            ///< may be unset
  std::function<void(std::string_view name, std::uint64_t n)> on_count; ///< may be unset
};

/// Owner side of the rate limits: keeps the buckets of the workspaces that the view assigns to this
/// instance and grants their tokens. When a view moves workspaces away from a running owner, it
/// hands their buckets over to the next owners, which then need not wait.
class owner {
public:
  owner(owner_settings settings, owner_hooks hooks);

  /// Applies a newer view. Buckets of workspaces that it moves away are removed. A view whose
  /// version is not the current one plus 1 restarts the wait for every workspace, because a view in
  /// between may have assigned it to another owner.
  void set_view(const membership::fleet_view& view, base::time_point now);
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  /// Time at which a tick would serve a queued request; empty when none is queued.
  std::optional<base::time_point> next_due() const;

  std::size_t bucket_count() const noexcept { return buckets_.size(); }
  /// Bucket of a workspace for operators' pages, null when there is none.
  const bucket* find_bucket(std::string_view workspace) const;

private:
  using bucket_map = std::unordered_map<std::string, bucket, config::string_hash, std::equal_to<>>;
  struct past_view {
    owner_map map;
    base::time_point set_at;
    std::optional<base::time_point> held_at; ///< when a majority was first known to hold this view
  };

  struct gain {
    std::size_t index = 0; ///< index of the view that assigned the workspace to this instance
    std::string former;    ///< owner in the view before
  };

  void note_held_view(base::time_point now);
  std::optional<base::time_point> ready_at(std::string_view workspace) const;
  void hand_over(const std::string& workspace, const bucket& b);
  void add_claims(base::time_point now);
  void note_handovers(std::string_view from, const handover_frame& frame, base::time_point now);
  std::optional<gain> find_gain(std::string_view workspace) const;
  bool is_covered_by_claim(std::string_view workspace, const gain& g) const;
  void drop_handovers(base::time_point now);
  bucket* use_handover(std::string_view workspace, const limit& l, base::time_point now);
  bool has_just_moved(std::string_view workspace, base::time_point now) const;
  bucket* find_or_make(std::string_view workspace, const limit& l, base::time_point ready,
                       base::time_point now);
  void handle(std::string_view from, const token_request& frame, const token_request_item& item,
              base::time_point now);
  void answer(std::string_view to, std::uint64_t incarnation, grant_item item);
  void serve(const std::string& workspace, bucket& b, base::time_point now);
  void recall(const std::string& workspace, bucket& b, base::time_point now);
  void flush();
  void count(std::string_view name, std::uint64_t n = 1);

  owner_settings settings_;
  owner_hooks hooks_;
  std::deque<past_view> views_; ///< oldest first; the last one is current
  bucket_map buckets_;
  struct received_handover {
    handover state;
    base::time_point at;
    bool is_used = false;
  };
  struct received_claim {
    std::uint64_t since = 0;
    std::uint64_t version = 0;
    base::time_point at;
  };
  std::unordered_map<std::string, received_claim> claims_; ///< by former owner
  std::unordered_map<std::string, received_handover, config::string_hash, std::equal_to<>>
      handovers_;
  std::map<std::pair<std::string, std::uint64_t>, grant> out_;
  std::map<std::string, handover_frame> handovers_out_;
};

} // namespace kingcupshunt::rates
