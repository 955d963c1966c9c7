#include <algorithm>
#include <utility>

#include "kingcupshunt/consensus/replica.h"

namespace kingcupshunt::consensus {

voter_set replica::voters_at(std::uint64_t index) const {
  for (auto i = index; i > log_.base_index(); --i) {
    if (log_.at(i).kind == entry_kind::voters) {
      if (auto set = peer::unpack<voter_set>(log_.at(i).payload)) {
        return *set;
      }
    }
  }
  return base_.voters;
}

// The state is serialized again only after as many bytes as the last snapshot had, so snapshots at
// most double the bytes written.
void replica::maybe_compact() {
  const auto entries = applied_ - base_.index;
  const auto least = std::max(settings_.compaction_bytes, base_.data ? base_.data->size() : 0);
  if (saving_ || is_installing_ || has_failed_ || entries == 0 ||
      (entries < settings_.compaction_entries && applied_bytes_ < least)) {
    return;
  }
  applied_bytes_ = 0;
  saving_ = snapshot{applied_, *log_.term_at(applied_), voters_at(applied_),
                     std::make_shared<const std::string>(hooks_.take_snapshot())};
  hooks_.save_snapshot(*saving_);
}

void replica::on_snapshot_saved(std::uint64_t index, bool is_ok, base::time_point now) {
  if (!saving_ || saving_->index != index) {
    return;
  }
  const auto saved = *std::exchange(saving_, std::nullopt);
  const bool is_install = std::exchange(is_installing_, false);
  if (!is_ok) {
    // The log still holds everything; the next threshold tries again.
    incoming_ = {};
    return;
  }
  if (is_install) {
    install(saved, now);
  } else {
    base_ = saved;
    const auto kept = static_cast<std::uint64_t>(settings_.kept_entries);
    log_.compact_to(saved.index > kept ? saved.index - kept : 0);
    while (log_.bytes() > settings_.kept_bytes && log_.base_index() < saved.index) {
      log_.compact_to(log_.base_index() + 1);
    }
  }
  start_write(now);
}

void replica::install(const snapshot& s, base::time_point now) {
  const auto sequence = incoming_.sequence;
  incoming_ = {};
  if (s.index > commit_) {
    base_ = s;
    applied_bytes_ = 0;
    if (log_.term_at(s.index) == s.term) {
      // Entries after the snapshot may have been acknowledged to the leader and stay.
      commit_ = s.index;
      durable_ = std::max(durable_, s.index);
    } else {
      log_.reset({s.index, s.term});
      pending_.entries.clear();
      pending_.truncate_from.reset();
      pending_.reset = log_position{s.index, s.term};
      has_pending_ = true;
      in_flight_last_ = 0;
      handed_over_ = s.index;
      commit_ = durable_ = s.index;
      use_voters(s.voters, s.index);
    }
    applied_ = s.index;
    verified_ = std::max(verified_, s.index);
    hooks_.restore(s.index, *s.data);
  }
  if (!leader_.empty() && std::min(commit_, durable_) >= s.index) {
    answer_snapshot(leader_, sequence, s.index, s.data->size(), true);
  }
  apply_committed(now);
}

void replica::send_snapshot(const std::string& to, progress& p, base::time_point now) {
  if (p.sending.index == 0) {
    if (!base_.data) {
      return;
    }
    p.sending = base_;
    p.snapshot_offset = 0;
  }
  const auto& data = *p.sending.data;
  snapshot_chunk m;
  m.term = state_.term;
  m.sequence = ++sequence_;
  m.index = p.sending.index;
  m.last_term = p.sending.term;
  m.voters = p.sending.voters;
  m.offset = std::min<std::uint64_t>(p.snapshot_offset, data.size());
  m.size = data.size();
  m.data = data.substr(m.offset, settings_.snapshot_chunk_bytes);
  p.sent_sequence = m.sequence;
  p.sent_at = now;
  hooks_.send(to, peer::message_kind::log_snapshot_chunk, peer::pack(m));
}

void replica::on_snapshot_chunk(std::string_view from, const snapshot_chunk& m,
                                base::time_point now) {
  if (m.term < state_.term || role_ == role::leader || !is_storage_well()) {
    return;
  }
  if (m.size > settings_.max_snapshot_bytes) {
    ++malformed_;
    return;
  }
  if (m.term > state_.term || role_ != role::follower || leader_ != from) {
    become_follower(m.term, from, now);
  }
  has_heard_leader_ = true;
  leader_heard_at_ = now;
  reset_election_timer(now);
  if (m.index <= std::min(commit_, durable_)) {
    answer_snapshot(from, m.sequence, m.index, m.size, true);
    return;
  }
  if (m.index <= commit_ || saving_) {
    return; // the leader sends the chunk again
  }
  if (incoming_.index != m.index || incoming_.last_term != m.last_term ||
      incoming_.size != m.size || incoming_from_ != from) {
    incoming_ = m;
    incoming_.data.clear();
    incoming_from_ = std::string(from);
  }
  incoming_.sequence = m.sequence;
  if (m.offset == incoming_.data.size() && m.data.size() <= m.size - m.offset) {
    incoming_.data += m.data;
  }
  if (incoming_.data.size() < m.size) {
    answer_snapshot(from, m.sequence, m.index, incoming_.data.size(), false);
    return;
  }
  is_installing_ = true;
  saving_ = snapshot{m.index, m.last_term, m.voters,
                     std::make_shared<const std::string>(std::move(incoming_.data))};
  incoming_.data.clear();
  hooks_.save_snapshot(*saving_);
}

void replica::answer_snapshot(std::string_view to, std::uint64_t sequence, std::uint64_t index,
                              std::uint64_t offset, bool is_installed) {
  const snapshot_answer answer{state_.term, sequence,     index,
                               offset,      is_installed, settings_.self.store};
  send_after_sync(to, peer::message_kind::log_snapshot_answer, peer::pack(answer));
}

void replica::on_snapshot_answer(std::string_view from, const snapshot_answer& m,
                                 base::time_point now) {
  const auto it = peers_.find(from);
  if (role_ != role::leader || m.term != state_.term || it == peers_.end()) {
    return;
  }
  auto& p = it->second;
  p.heard_at = now;
  if (p.store != m.store || p.sending.index != m.index) {
    return;
  }
  if (!m.is_installed && m.sequence != p.sent_sequence) {
    // Answering each copy with a chunk would let doubled messages multiply.
    return;
  }
  p.sent_sequence = 0;
  if (m.is_installed) {
    p.match = std::max(p.match, m.index);
    p.next = std::max(p.next, m.index + 1);
    p.sending = {};
    advance_commit(now);
  } else {
    p.snapshot_offset = m.offset;
  }
  if (role_ == role::leader) {
    send_append(it->first, p, false, now);
  }
}

} // namespace kingcupshunt::consensus
