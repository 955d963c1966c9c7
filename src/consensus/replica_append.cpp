#include <algorithm>
#include <functional>
#include <utility>

#include "kingcupshunt/consensus/replica.h"

namespace kingcupshunt::consensus {

namespace {

bool is_well_formed(const append& m) {
  auto index = m.prev_index;
  auto term = m.prev_term;
  for (const auto& e : m.entries) {
    if (e.index != ++index || e.term < term || e.term > m.term) {
      return false;
    }
    term = e.term;
  }
  return true;
}

} // namespace

void replica::on_append(std::string_view from, append m, base::time_point now) {
  if (!is_well_formed(m)) {
    ++malformed_;
    return;
  }
  if (m.term < state_.term) {
    const append_answer answer{state_.term, m.sequence,           false,           0, 0,
                               0,           settings_.self.store, settings_.format};
    send_after_sync(from, peer::message_kind::log_append_answer, peer::pack(answer));
    return;
  }
  if (role_ == role::leader && m.term == state_.term) {
    ++malformed_; // a second leader of one term cannot exist
    return;
  }
  if (m.term > state_.term || role_ != role::follower || leader_ != from) {
    become_follower(m.term, from, now);
  }
  has_heard_leader_ = true;
  leader_heard_at_ = now;
  last_sequence_read_ = std::max(last_sequence_read_, m.sequence);
  reset_election_timer(now);
  if (m.prev_index < commit_) {
    // Committed entries equal the leader's.
    const auto known = std::min<std::uint64_t>(commit_ - m.prev_index, m.entries.size());
    m.entries.erase(m.entries.begin(), m.entries.begin() + static_cast<std::ptrdiff_t>(known));
    m.prev_index = commit_;
    m.prev_term = log_.term_at(commit_).value_or(0);
  }
  const auto held = log_.term_at(m.prev_index);
  if (held != m.prev_term) {
    // Names the first index of the conflicting term, so that one round trip skips the whole term.
    auto next = std::min(m.prev_index, log_.last_index() + 1);
    while (held && next > commit_ + 1 && log_.term_at(next - 1) == *held) {
      --next;
    }
    answer_append(false, next);
    return;
  }
  const auto end = m.prev_index + m.entries.size();
  accept_entries(std::move(m.entries));
  verified_ = std::max(verified_, end);
  commit_ = std::max(commit_, std::min(m.commit, verified_));
  apply_committed(now);
  answer_append(true, 0);
}

void replica::accept_entries(std::vector<entry> entries) {
  for (auto& e : entries) {
    if (e.index <= log_.last_index()) {
      if (log_.term_at(e.index) == e.term) {
        continue;
      }
      truncate_from(e.index);
    }
    if (e.kind == entry_kind::voters) {
      if (auto set = peer::unpack<voter_set>(e.payload)) {
        use_voters(std::move(*set), e.index);
      }
    }
    pending_.entries.push_back(e);
    has_pending_ = true;
    log_.append(std::move(e));
  }
}

// Answers at once with what is durable by now, which keeps contact with the leader during a sync;
// on_persisted answers again.
void replica::answer_append(bool is_matching, std::uint64_t next) {
  if (!is_storage_well() || leader_.empty()) {
    return;
  }
  const append_answer answer{
      state_.term, last_sequence_read_, is_matching,          std::min(verified_, durable_),
      next,        verified_,           settings_.self.store, settings_.format};
  if (durable_state_ == state_) {
    hooks_.send(leader_, peer::message_kind::log_append_answer, peer::pack(answer));
  } else {
    send_after_sync(leader_, peer::message_kind::log_append_answer, peer::pack(answer));
  }
}

void replica::on_append_answer(std::string_view from, const append_answer& m,
                               base::time_point now) {
  if (m.term > state_.term) {
    become_follower(m.term, "", now);
    return;
  }
  const auto it = peers_.find(from);
  if (role_ != role::leader || m.term < state_.term || it == peers_.end()) {
    return;
  }
  auto& p = it->second;
  if (p.store != m.store) {
    // Another data folder: what the former one held does not count.
    p = progress{};
    p.next = log_.last_index() + 1;
    p.store = m.store;
  }
  p.heard_at = now;
  p.format = m.format;
  p.acked_sequence = std::max(p.acked_sequence, m.sequence);
  if (p.sending.index == 0 && m.sequence >= p.sent_sequence) {
    p.sent_sequence = 0;
  }
  if (m.is_matching) {
    p.match = std::max(p.match, std::min(m.match, log_.last_index()));
    p.next = std::min(std::max(p.next, m.held + 1), log_.last_index() + 1);
    if (p.sending.index != 0 && p.next > log_.base_index()) {
      p.sending = {};
      p.sent_sequence = 0;
    }
  } else if (p.sending.index == 0) {
    p.next = std::max(std::min(m.next, log_.last_index() + 1), p.match + 1);
  }
  advance_commit(now);
  confirm_reads(now);
  if (role_ != role::leader) {
    return;
  }
  finish_transfer();
  if (p.next <= log_.last_index() || p.next <= log_.base_index()) {
    send_append(it->first, p, false, now);
  }
}

void replica::send_append(const std::string& to, progress& p, bool is_heartbeat,
                          base::time_point now) {
  const bool is_waiting =
      p.sent_sequence != 0 && now - p.sent_at < 2 * settings_.heartbeat_interval;
  const bool needs_snapshot = p.next <= log_.base_index();
  if (needs_snapshot && !is_waiting) {
    send_snapshot(to, p, now);
  }
  if (!is_heartbeat && (is_waiting || needs_snapshot)) {
    return;
  }
  append m{state_.term, ++sequence_, std::max(p.next - 1, log_.base_index()), 0, commit_, {}};
  m.prev_term = log_.term_at(m.prev_index).value_or(0);
  if (!is_waiting && !needs_snapshot && p.next <= log_.last_index()) {
    m.entries = log_.slice(p.next, settings_.append_bytes);
    p.sent_sequence = m.sequence;
    p.sent_at = now;
  }
  hooks_.send(to, peer::message_kind::log_append, peer::pack(m));
}

void replica::send_appends(base::time_point now) {
  const bool is_heartbeat = now >= heartbeat_at_;
  if (is_heartbeat) {
    heartbeat_at_ = now + settings_.heartbeat_interval;
  }
  for (auto& [id, p] : peers_) {
    if (is_heartbeat || p.next <= log_.last_index()) {
      send_append(id, p, is_heartbeat, now);
    }
  }
}

void replica::append_entry(entry_kind kind, std::string payload) {
  entry e{log_.last_index() + 1, state_.term, kind, std::move(payload)};
  uncommitted_bytes_ += e.payload.size();
  if (kind == entry_kind::voters) {
    use_voters(*peer::unpack<voter_set>(e.payload), e.index);
  }
  pending_.entries.push_back(e);
  has_pending_ = true;
  log_.append(std::move(e));
}

std::uint64_t replica::held_by_majority() const {
  std::vector<std::uint64_t> held;
  for (const auto& v : voters_.voters) {
    if (v.id == settings_.self.id) {
      held.push_back(v.store == settings_.self.store ? durable_ : 0);
      continue;
    }
    const auto it = peers_.find(v.id);
    held.push_back(it != peers_.end() && is_same_store(v, it->second) ? it->second.match : 0);
  }
  if (held.empty()) {
    return 0;
  }
  std::ranges::sort(held, std::greater<>());
  return held[voters_.majority() - 1];
}

// Entries of earlier terms are committed only together with one of this term: a majority that
// holds an older entry can still be overruled by a later leader.
void replica::advance_commit(base::time_point now) {
  if (role_ != role::leader) {
    return;
  }
  const auto held = held_by_majority();
  if (held <= commit_ || log_.term_at(held) != state_.term) {
    return;
  }
  for (auto i = std::max(commit_, term_start_ - 1) + 1; i <= held; ++i) {
    uncommitted_bytes_ -= std::min(uncommitted_bytes_, log_.at(i).payload.size());
  }
  commit_ = held;
  heartbeat_at_ = now; // the others learn of it with the next tick
  apply_committed(now);
}

void replica::read_index(std::function<void(bool)> done, base::time_point now) {
  if (role_ != role::leader) {
    done(false);
    return;
  }
  reads_.push_back({sequence_, std::max(commit_, term_start_), false, std::move(done)});
  for (auto& [id, p] : peers_) {
    send_append(id, p, true, now);
  }
  confirm_reads(now);
}

void replica::confirm_reads(base::time_point) {
  for (auto& read : reads_) {
    std::size_t n = 0;
    for (const auto& v : voters_.voters) {
      const auto it = peers_.find(v.id);
      n += v.id == settings_.self.id || (it != peers_.end() && is_same_store(v, it->second) &&
                                         it->second.acked_sequence > read.after_sequence)
               ? 1
               : 0;
    }
    read.is_confirmed = read.is_confirmed || n >= voters_.majority();
  }
  finish_reads();
}

void replica::finish_reads() {
  std::vector<std::function<void(bool)>> finished;
  std::erase_if(reads_, [&](pending_read& read) {
    const bool is_done = read.is_confirmed && applied_ >= read.index;
    if (is_done) {
      finished.push_back(std::move(read.done));
    }
    return is_done;
  });
  for (auto& done : finished) {
    done(true);
  }
}

void replica::transfer_leadership(base::time_point now) {
  if (role_ != role::leader) {
    return;
  }
  std::uint64_t best = 0;
  for (const auto& [id, p] : peers_) {
    const auto* v = voters_.find(id);
    if (v != nullptr && is_same_store(*v, p) && p.match >= best) {
      best = p.match;
      transfer_to_ = id;
    }
  }
  transfer_until_ = now + settings_.election_timeout;
  finish_transfer();
}

void replica::finish_transfer() {
  const auto it = peers_.find(transfer_to_);
  if (it != peers_.end() && it->second.match == log_.last_index()) {
    hooks_.send(transfer_to_, peer::message_kind::log_timeout_now,
                peer::pack(timeout_now{state_.term}));
  }
}

} // namespace kingcupshunt::consensus
