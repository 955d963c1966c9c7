#include "kingcupshunt/state/server.h"

#include <algorithm>
#include <utility>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::state {

server::server(server_settings settings, server_hooks hooks, consensus::recovered_state recovered,
               base::time_point now)
    : settings_(std::move(settings)), hooks_(std::move(hooks)),
      machine_(settings_.machine, hooks_.on_delta),
      replica_(settings_.replica, replica_hooks_for(hooks_), std::move(recovered), now) {}

consensus::replica_hooks server::replica_hooks_for(server_hooks& hooks) {
  consensus::replica_hooks out;
  out.send = hooks.send;
  out.persist = hooks.persist;
  out.save_snapshot = hooks.save_snapshot;
  out.apply = [this](const consensus::entry& e) { on_entry(e); };
  out.take_snapshot = [this] { return machine_.save(); };
  out.restore = [this](std::uint64_t, std::string_view data) {
    if (!machine_.restore(data)) {
      ++malformed_;
      return;
    }
    if (hooks_.on_restored) {
      hooks_.on_restored();
    }
  };
  out.on_role = [this] { on_role_change(); };
  return out;
}

void server::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                     base::time_point now) {
  if (kind != peer::message_kind::state_propose) {
    replica_.receive(from, kind, body, now);
    return;
  }
  if (const auto m = peer::unpack<propose_message>(body)) {
    on_propose(from, *m, now);
  } else {
    ++malformed_;
  }
}

void server::tick(base::time_point now) {
  replica_.tick(now);
}

// Log time of a leader continues from the greatest time in its log and advances with its own clock.
// Without a leader it stands still, which only keeps records longer.
std::uint64_t server::log_time_ms(base::time_point now) {
  if (stamp_term_ != replica_.term()) {
    stamp_term_ = replica_.term();
    stamp_base_ms_ = machine_.time_ms();
    stamp_since_ = now;
  }
  return stamp_base_ms_ + static_cast<std::uint64_t>(base::to_ms(now - stamp_since_));
}

void server::on_propose(std::string_view from, const propose_message& m, base::time_point now) {
  if (!replica_.is_ready()) {
    answer(from, m.call_id, proposal_status::not_leader, {});
    return;
  }
  if (m.is_read) {
    on_read(from, m.call_id, now);
    return;
  }
  const auto call = std::pair(std::string(from), m.call_id);
  if (calls_.contains(call)) {
    return; // resent while the first copy waits for the log
  }
  if (pending_.size() >= settings_.max_pending) {
    answer(from, m.call_id, proposal_status::overloaded, {});
    return;
  }
  const auto index = replica_.propose(peer::pack(command{log_time_ms(now), m.kind, m.body}), now);
  if (!index) {
    const bool is_refused = index.error() == consensus::replica_error::too_large;
    command_result result;
    result.code = outcome::too_large;
    const auto status = index.error() == consensus::replica_error::overloaded
                            ? proposal_status::overloaded
                            : proposal_status::not_leader;
    answer(from, m.call_id, is_refused ? proposal_status::answered : status,
           is_refused ? result : command_result{});
    return;
  }
  calls_.emplace(call, index.value());
  pending_.emplace(index.value(), waiting{replica_.term(), call.first, m.call_id});
}

void server::on_read(std::string_view from, std::uint64_t call_id, base::time_point now) {
  replica_.read_index(
      [this, from = std::string(from), call_id](bool is_ok) {
        command_result result;
        result.revision = machine_.revision();
        result.version = machine_.view().version;
        answer(from, call_id, is_ok ? proposal_status::answered : proposal_status::not_leader,
               std::move(result));
      },
      now);
}

void server::on_entry(const consensus::entry& e) {
  auto result = machine_.apply(e.payload);
  const auto it = pending_.find(e.index);
  if (it == pending_.end()) {
    return;
  }
  const auto call = std::exchange(it->second, {});
  pending_.erase(it);
  calls_.erase({call.from, call.call_id});
  if (call.term == e.term) {
    answer(call.from, call.call_id, proposal_status::answered, std::move(result));
  }
}

// The former leader does not know what became of its proposals. The callers resend to the next
// leader, where the request id or the attempt makes a second copy harmless.
void server::on_role_change() {
  if (!replica_.is_leader()) {
    const auto lost = std::exchange(pending_, {});
    calls_.clear();
    for (const auto& [index, call] : lost) {
      answer(call.from, call.call_id, proposal_status::not_leader, {});
    }
  }
  if (hooks_.on_role) {
    hooks_.on_role();
  }
}

void server::answer(std::string_view to, std::uint64_t call_id, proposal_status status,
                    command_result result) {
  const proposal_answer m{call_id, status,
                          status == proposal_status::not_leader ? replica_.leader() : "",
                          std::move(result)};
  hooks_.send(to, peer::message_kind::state_proposal_answer, peer::pack(m));
}

} // namespace kingcupshunt::state
