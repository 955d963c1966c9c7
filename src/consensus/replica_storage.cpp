#include <algorithm>
#include <utility>

#include "kingcupshunt/consensus/replica.h"

namespace kingcupshunt::consensus {

void replica::store_state() {
  pending_.state = state_;
  has_pending_ = true;
}

void replica::start_write(base::time_point now) {
  if (is_write_in_flight_ || !has_pending_ || has_failed_) {
    return;
  }
  auto batch = std::exchange(pending_, {});
  has_pending_ = false;
  batch.sequence = ++write_sequence_;
  is_write_in_flight_ = true;
  write_started_ = now;
  in_flight_state_ = batch.state;
  in_flight_last_ = 0;
  if (batch.reset) {
    handed_over_ = batch.reset->index;
  }
  if (!batch.entries.empty()) {
    in_flight_last_ = handed_over_ = batch.entries.back().index;
  }
  hooks_.persist(std::move(batch));
}

void replica::on_persisted(std::uint64_t sequence, bool is_ok, base::time_point now) {
  if (!is_write_in_flight_ || sequence != write_sequence_) {
    return;
  }
  is_write_in_flight_ = false;
  if (!is_ok) {
    // After a failed sync the kernel may drop the dirty pages, so a retry could report success
    // for data that was lost. Only a restart that reads the folder again may go on.
    has_failed_ = true;
    queued_.clear();
    become_follower(state_.term, "", now);
    return;
  }
  is_stalled_ = false;
  durable_ = std::max(durable_, in_flight_last_);
  if (in_flight_state_) {
    durable_state_ = *in_flight_state_;
  }
  flush_answers();
  if (role_ == role::candidate && durable_state_ == state_) {
    granted_[settings_.self.id] = settings_.self.store;
    count_votes(now);
  }
  if (role_ == role::leader) {
    advance_commit(now);
  }
  apply_committed(now);
  if (role_ == role::follower && in_flight_last_ > 0 && verified_ > 0) {
    answer_append(true, 0);
  }
  start_write(now);
}

void replica::check_storage(base::time_point now) {
  if (is_write_in_flight_ && now - write_started_ > settings_.storage_bound) {
    is_stalled_ = true;
    if (role_ != role::follower) {
      become_follower(state_.term, "", now);
    }
  }
}

void replica::send_after_sync(std::string_view to, peer::message_kind kind, std::string body) {
  if (!has_pending_ && !is_write_in_flight_) {
    if (!has_failed_) {
      hooks_.send(to, kind, std::move(body));
    }
    return;
  }
  const auto after = write_sequence_ + (has_pending_ ? 1 : 0);
  queued_.push_back({after, state_.term, std::string(to), kind, std::move(body)});
}

void replica::flush_answers() {
  auto waiting = std::exchange(queued_, {});
  for (auto& a : waiting) {
    if (a.after_write > write_sequence_) {
      queued_.push_back(std::move(a));
    } else if (a.term == state_.term) {
      hooks_.send(a.to, a.kind, std::move(a.body));
    }
  }
}

void replica::truncate_from(std::uint64_t index) {
  log_.truncate_from(index);
  durable_ = std::min(durable_, index - 1);
  in_flight_last_ = std::min(in_flight_last_, index - 1);
  verified_ = std::min(verified_, index - 1);
  std::erase_if(pending_.entries, [&](const entry& e) { return e.index >= index; });
  if (index <= handed_over_) {
    pending_.truncate_from = std::min(index, pending_.truncate_from.value_or(index));
    handed_over_ = index - 1;
    has_pending_ = true;
  }
  if (voters_index_ >= index) {
    use_voters(voters_at(index - 1), index - 1);
  }
}

} // namespace kingcupshunt::consensus
