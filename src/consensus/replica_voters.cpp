#include <algorithm>
#include <utility>

#include "kingcupshunt/consensus/replica.h"

namespace kingcupshunt::consensus {

bool replica::is_same_store(const voter& v, const progress& p) const noexcept {
  return v.store.empty() || v.store == p.store;
}

void replica::refresh_progress(base::time_point now) {
  const auto is_wanted = [&](const std::string& id) {
    return id != settings_.self.id &&
           (voters_.find(id) != nullptr ||
            std::ranges::find(voters_.joining, id) != voters_.joining.end());
  };
  std::erase_if(peers_, [&](const auto& p) { return !is_wanted(p.first); });
  const auto add = [&](const std::string& id) {
    if (is_wanted(id) && !peers_.contains(id)) {
      auto& p = peers_[id];
      p.next = log_.last_index() + 1;
      p.heard_at = now;
    }
  };
  for (const auto& v : voters_.voters) {
    add(v.id);
  }
  for (const auto& id : voters_.joining) {
    add(id);
  }
}

std::optional<base::time_point> replica::last_heard(std::string_view id) const {
  const auto it = peers_.find(id);
  return it == peers_.end() ? std::nullopt : std::optional(it->second.heard_at);
}

replica_result<void> replica::may_change_voters() const {
  if (role_ != role::leader || !transfer_to_.empty()) {
    return replica_error::not_leader;
  }
  if (commit_ < term_start_) {
    return replica_error::not_ready;
  }
  if (voters_index_ > commit_) {
    return replica_error::change_pending;
  }
  return base::success();
}

replica_result<void> replica::propose_voters(const voter_set& next, base::time_point now) {
  BOOST_OUTCOME_TRY(may_change_voters());
  append_entry(entry_kind::voters, peer::pack(next));
  refresh_progress(now);
  start_write(now);
  send_appends(now);
  return base::success();
}

replica_result<void> replica::add_voter(std::string_view id, base::time_point now) {
  auto next = voters_;
  if (next.find(id) != nullptr || std::ranges::find(next.joining, id) != next.joining.end()) {
    return replica_error::unknown_voter;
  }
  next.joining.emplace_back(id);
  return propose_voters(next, now);
}

replica_result<void> replica::remove_voter(std::string_view id, base::time_point now) {
  auto next = voters_;
  const auto n = std::erase_if(next.voters, [&](auto& v) { return v.id == id; }) +
                 std::erase_if(next.joining, [&](auto& other) { return other == id; });
  if (n == 0 || next.voters.empty()) {
    return replica_error::unknown_voter;
  }
  return propose_voters(next, now);
}

// Entries keep coming while an instance joins, so it has caught up when it reaches a former commit
// index soon enough.
bool replica::has_caught_up(progress& p, base::time_point now) const noexcept {
  const bool is_in_time = p.join_mark != 0 && now - p.join_marked_at < settings_.election_timeout;
  if (is_in_time || (p.join_mark != 0 && p.match < p.join_mark)) {
    return is_in_time && p.match >= p.join_mark;
  }
  p.join_mark = commit_;
  p.join_marked_at = now;
  return false;
}

// A voter that came back with another data folder is removed and joins again, in two changes: the
// majorities before and after a single exchange need not share a voter.
void replica::advance_voter_changes(base::time_point now) {
  if (!may_change_voters()) {
    return;
  }
  for (const auto& v : voters_.voters) {
    const auto it = peers_.find(v.id);
    if (it != peers_.end() && !it->second.store.empty() && it->second.store != v.store) {
      auto next = voters_;
      std::erase_if(next.voters, [&](auto& other) { return other.id == v.id; });
      next.joining.push_back(v.id);
      (void)propose_voters(next, now);
      return;
    }
  }
  for (const auto& id : voters_.joining) {
    const auto it = peers_.find(id);
    if (it != peers_.end() && !it->second.store.empty() &&
        now - it->second.heard_at < settings_.election_timeout && has_caught_up(it->second, now)) {
      auto next = voters_;
      std::erase(next.joining, id);
      next.voters.push_back({id, it->second.store});
      std::ranges::sort(next.voters, {}, &voter::id);
      (void)propose_voters(next, now);
      return;
    }
  }
}

} // namespace kingcupshunt::consensus
