#include <algorithm>
#include <utility>

#include "kingcupshunt/consensus/replica.h"

namespace kingcupshunt::consensus {

namespace {

std::string candidate_name(std::string_view id, std::string_view store) {
  return std::string(id) + "/" + std::string(store);
}

} // namespace

void replica::reset_election_timer(base::time_point now) {
  const auto base = settings_.election_timeout.count();
  election_at_ = now + settings_.election_timeout +
                 base::duration(static_cast<base::duration::rep>(
                     rng_.below(static_cast<std::uint64_t>(base))));
}

void replica::become_follower(std::uint64_t term, std::string_view leader, base::time_point now) {
  const bool was_leader = role_ == role::leader;
  const bool is_new_term = term > state_.term;
  const bool is_change = is_new_term || role_ != role::follower || leader_ != leader;
  if (is_new_term) {
    state_ = {term, ""};
    verified_ = 0;
    last_sequence_read_ = 0;
    store_state();
  }
  if (was_leader) {
    verified_ = 0;
    has_heard_leader_ = false;
    transfer_to_.clear();
    peers_.clear();
    reset_election_timer(now);
  }
  role_ = role::follower;
  leader_ = std::string(leader);
  granted_.clear();
  if (was_leader) {
    fail_reads();
  }
  if (is_change && hooks_.on_role) {
    hooks_.on_role();
  }
}

// With pre-vote the term rises only when a majority would vote, so a voter that was cut off does
// not depose a working leader when it returns.
void replica::start_election(bool is_pre_vote, bool is_transfer, base::time_point now) {
  reset_election_timer(now);
  granted_.clear();
  leader_.clear();
  const vote m{state_.term + 1,   is_pre_vote,      is_transfer,
               log_.last_index(), log_.last_term(), settings_.self.store};
  if (is_pre_vote) {
    role_ = role::pre_candidate;
    granted_[settings_.self.id] = settings_.self.store;
  } else {
    role_ = role::candidate;
    state_ = {m.term, candidate_name(settings_.self.id, settings_.self.store)};
    verified_ = 0;
    last_sequence_read_ = 0;
    store_state();
  }
  for (const auto& v : voters_.voters) {
    if (v.id != settings_.self.id) {
      send_after_sync(v.id, peer::message_kind::log_vote, peer::pack(m));
    }
  }
  if (hooks_.on_role) {
    hooks_.on_role();
  }
  count_votes(now);
}

// Before the first leader has recorded the data folders of all voters, an election needs all of
// them: otherwise two voters with empty folders, one of which lost its disk, could elect a leader
// that lacks acknowledged entries.
void replica::count_votes(base::time_point now) {
  if (role_ != role::candidate && role_ != role::pre_candidate) {
    return;
  }
  std::size_t n = 0;
  bool is_bound = true;
  for (const auto& v : voters_.voters) {
    const auto it = granted_.find(v.id);
    n += it != granted_.end() && (v.store.empty() || v.store == it->second) ? 1 : 0;
    is_bound = is_bound && !v.store.empty();
  }
  if (n < (is_bound ? voters_.majority() : voters_.voters.size())) {
    return;
  }
  if (role_ == role::pre_candidate) {
    start_election(false, false, now);
  } else {
    become_leader(now);
  }
}

void replica::become_leader(base::time_point now) {
  role_ = role::leader;
  leader_ = settings_.self.id;
  peers_.clear();
  uncommitted_bytes_ = 0;
  transfer_to_.clear();
  auto bound = voters_;
  for (auto& v : bound.voters) {
    if (v.store.empty()) {
      v.store = granted_.at(v.id);
    }
  }
  refresh_progress(now);
  if (bound == voters_) {
    append_entry(entry_kind::no_op, "");
  } else {
    append_entry(entry_kind::voters, peer::pack(bound));
  }
  term_start_ = log_.last_index();
  granted_.clear();
  if (hooks_.on_role) {
    hooks_.on_role();
  }
  heartbeat_at_ = now;
  send_appends(now);
}

bool replica::hears_leader(base::time_point now) const noexcept {
  return role_ == role::leader ||
         (has_heard_leader_ && now - leader_heard_at_ < settings_.election_timeout);
}

bool replica::has_quorum_contact(base::time_point now) const {
  std::size_t n = 0;
  for (const auto& v : voters_.voters) {
    if (v.id == settings_.self.id) {
      ++n;
      continue;
    }
    const auto it = peers_.find(v.id);
    n += it != peers_.end() && now - it->second.heard_at < settings_.election_timeout ? 1 : 0;
  }
  return n >= voters_.majority();
}

void replica::on_vote(std::string_view from, const vote& m, base::time_point now) {
  if (!is_storage_well() || (!m.is_transfer && hears_leader(now))) {
    return;
  }
  const bool is_log_current = m.last_term > log_.last_term() || (m.last_term == log_.last_term() &&
                                                                 m.last_index >= log_.last_index());
  const auto* candidate = voters_.find(from);
  if (candidate != nullptr && !candidate->store.empty() && candidate->store != m.store) {
    return;
  }
  if (!m.is_pre_vote && m.term > state_.term) {
    become_follower(m.term, "", now);
  }
  const auto name = candidate_name(from, m.store);
  bool is_granted = is_log_current;
  if (m.is_pre_vote) {
    is_granted = is_granted && m.term > state_.term;
  } else {
    is_granted = is_granted && m.term == state_.term && role_ != role::candidate &&
                 (state_.voted_for.empty() || state_.voted_for == name);
  }
  if (is_granted && !m.is_pre_vote) {
    if (state_.voted_for.empty()) {
      state_.voted_for = name;
      store_state();
    }
    reset_election_timer(now);
  }
  const vote_answer answer{is_granted ? m.term : state_.term, m.is_pre_vote, is_granted,
                           settings_.self.store, m.store};
  send_after_sync(from, peer::message_kind::log_vote_answer, peer::pack(answer));
}

void replica::on_vote_answer(std::string_view from, const vote_answer& m, base::time_point now) {
  if (!m.is_granted) {
    if (m.term > state_.term) {
      become_follower(m.term, "", now);
    }
    return;
  }
  const bool is_awaited = m.is_pre_vote ? role_ == role::pre_candidate && m.term == state_.term + 1
                                        : role_ == role::candidate && m.term == state_.term;
  if (is_awaited && m.candidate_store == settings_.self.store) {
    granted_.insert_or_assign(std::string(from), m.store);
    count_votes(now);
  }
}

void replica::on_timeout_now(std::string_view from, const timeout_now& m, base::time_point now) {
  if (m.term == state_.term && role_ == role::follower && from == leader_ && is_voter() &&
      is_storage_well()) {
    start_election(false, true, now);
  }
}

void replica::fail_reads() {
  auto failed = std::exchange(reads_, {});
  for (auto& read : failed) {
    read.done(false);
  }
}

} // namespace kingcupshunt::consensus
