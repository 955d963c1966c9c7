#include "kingcupshunt/consensus/replica.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::consensus {

namespace {

voter_set initial_set(const replica_settings& settings) {
  voter_set out;
  for (const auto& id : settings.initial_voters) {
    out.voters.push_back({id, ""});
  }
  std::ranges::sort(out.voters, {}, &voter::id);
  return out;
}

log log_after(const snapshot& base, std::vector<entry> entries) {
  std::erase_if(entries, [&](const entry& e) { return e.index <= base.index; });
  return {{base.index, base.term}, std::move(entries)};
}

} // namespace

const char* message_of(replica_error error) noexcept {
  switch (error) {
  case replica_error::not_leader:
    return "this voter does not lead";
  case replica_error::not_ready:
    return "the leader has not committed an entry of its term yet";
  case replica_error::change_pending:
    return "the former change of the voters is not committed";
  case replica_error::unknown_voter:
    return "the id is not, or already is, a voter";
  case replica_error::too_large:
    return "the payload is too large";
  case replica_error::overloaded:
    return "too many bytes are uncommitted";
  }
  return "unknown error";
}

replica::replica(replica_settings settings, replica_hooks hooks, recovered_state recovered,
                 base::time_point now)
    : settings_(std::move(settings)), hooks_(std::move(hooks)), rng_(settings_.seed),
      state_(recovered.state), log_(log_after(recovered.base, std::move(recovered.entries))),
      base_(std::move(recovered.base)), durable_state_(state_) {
  commit_ = applied_ = base_.index;
  durable_ = handed_over_ = log_.last_index();
  if (base_.index > 0) {
    hooks_.restore(base_.index, *base_.data);
  } else {
    base_.voters = initial_set(settings_);
  }
  use_voters(voters_at(log_.last_index()), log_.last_index());
  reset_election_timer(now);
  if (settings_.first_election_timeout > base::duration{}) {
    const auto first = settings_.first_election_timeout.count();
    election_at_ = now + settings_.first_election_timeout +
                   base::duration(static_cast<base::duration::rep>(
                       rng_.below(static_cast<std::uint64_t>(first))));
  }
}

template <class T, class F>
void replica::dispatch(std::string_view body, F&& handle) {
  if (auto m = peer::unpack<T>(body)) {
    handle(*m);
  } else {
    ++malformed_;
  }
}

void replica::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                      base::time_point now) {
  switch (kind) {
  case peer::message_kind::log_append:
    dispatch<append>(body, [&](append& m) { on_append(from, std::move(m), now); });
    break;
  case peer::message_kind::log_append_answer:
    dispatch<append_answer>(body, [&](auto& m) { on_append_answer(from, m, now); });
    break;
  case peer::message_kind::log_vote:
    dispatch<vote>(body, [&](auto& m) { on_vote(from, m, now); });
    break;
  case peer::message_kind::log_vote_answer:
    dispatch<vote_answer>(body, [&](auto& m) { on_vote_answer(from, m, now); });
    break;
  case peer::message_kind::log_snapshot_chunk:
    dispatch<snapshot_chunk>(body, [&](auto& m) { on_snapshot_chunk(from, m, now); });
    break;
  case peer::message_kind::log_snapshot_answer:
    dispatch<snapshot_answer>(body, [&](auto& m) { on_snapshot_answer(from, m, now); });
    break;
  case peer::message_kind::log_timeout_now:
    dispatch<timeout_now>(body, [&](auto& m) { on_timeout_now(from, m, now); });
    break;
  default:
    ++malformed_;
    return;
  }
  start_write(now);
}

void replica::tick(base::time_point now) {
  check_storage(now);
  if (role_ == role::leader) {
    if (!has_quorum_contact(now)) {
      become_follower(state_.term, "", now);
    } else {
      if (!transfer_to_.empty() && now >= transfer_until_) {
        transfer_to_.clear();
      }
      advance_voter_changes(now);
      send_appends(now);
    }
  } else if (now >= election_at_ && is_voter() && is_storage_well()) {
    start_election(true, false, now);
  }
  start_write(now);
}

replica_result<std::uint64_t> replica::propose(std::string payload, base::time_point now) {
  std::vector<std::string> payloads;
  payloads.push_back(std::move(payload));
  return propose_all(std::move(payloads), now);
}

replica_result<std::uint64_t> replica::propose_all(std::vector<std::string> payloads,
                                                   base::time_point now) {
  if (role_ != role::leader || !transfer_to_.empty()) {
    return replica_error::not_leader;
  }
  std::size_t total = 0;
  for (const auto& payload : payloads) {
    if (payload.size() > max_payload_bytes) {
      return replica_error::too_large;
    }
    total += payload.size();
  }
  if (uncommitted_bytes_ + total > settings_.uncommitted_bytes) {
    return replica_error::overloaded;
  }
  for (auto& payload : payloads) {
    append_entry(entry_kind::command, std::move(payload));
  }
  start_write(now);
  send_appends(now);
  return log_.last_index();
}

std::uint32_t replica::least_format() const noexcept {
  auto out = settings_.format;
  for (const auto& [id, p] : peers_) {
    out = p.store.empty() ? out : std::min(out, p.format);
  }
  return out;
}

bool replica::is_ready() const noexcept {
  return role_ == role::leader && applied_ >= term_start_;
}

bool replica::is_voter() const noexcept {
  const auto* self = voters_.find(settings_.self.id);
  return self != nullptr && (self->store.empty() || self->store == settings_.self.store);
}

void replica::use_voters(voter_set set, std::uint64_t index) {
  voters_ = std::move(set);
  voters_index_ = index;
}

// A follower applies an entry only after its own sync, so that no instance ever shows a state that
// its own disk could lose.
void replica::apply_committed(base::time_point now) {
  if (is_applying_) {
    return;
  }
  is_applying_ = true;
  while (applied_ < std::min(commit_, durable_)) {
    const auto& e = log_.at(++applied_);
    applied_bytes_ += e.payload.size();
    if (e.kind == entry_kind::command) {
      hooks_.apply(e);
    }
  }
  is_applying_ = false;
  finish_reads();
  if (role_ == role::leader && !is_voter() && commit_ >= voters_index_) {
    become_follower(state_.term, "", now);
  }
  maybe_compact();
}

} // namespace kingcupshunt::consensus
