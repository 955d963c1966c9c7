#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "kingcupshunt/consensus/replica.h"
#include "kingcupshunt/state/machine.h"
#include "kingcupshunt/state/messages.h"

namespace kingcupshunt::state {

struct server_settings {
  consensus::replica_settings replica;
  machine_settings machine;
  std::size_t max_pending = 20000; ///< proposals waiting for the log
};

struct server_hooks {
  /// Also used to answer a client on this instance: messages to the own id are delivered locally.
  peer::send_function send;
  std::function<void(consensus::write_batch)> persist;
  std::function<void(const consensus::snapshot&)> save_snapshot;
  /// A new revision, on every voter. May be empty.
  std::function<void(const delta&)> on_delta;
  /// The state was replaced by a snapshot. May be empty.
  std::function<void()> on_restored;
  /// Role or known leader changed. May be empty.
  std::function<void()> on_role;
};

/// What a voter runs: the replicated log, the state machine, and the answers to proposals.
class server {
public:
  server(server_settings settings, server_hooks hooks, consensus::recovered_state recovered,
         base::time_point now);
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// Takes the log_* messages and state_propose.
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  consensus::replica& log() noexcept { return replica_; }
  const consensus::replica& log() const noexcept { return replica_; }
  const machine& current() const noexcept { return machine_; }
  std::uint64_t malformed_messages() const noexcept { return malformed_; }
  /// Proposals that wait for the log.
  std::size_t pending() const noexcept { return pending_.size(); }

private:
  struct waiting {
    std::uint64_t term = 0;
    std::string from;
    std::uint64_t call_id = 0;
  };

  consensus::replica_hooks replica_hooks_for(server_hooks& hooks);
  void on_propose(std::string_view from, const propose_message& m, base::time_point now);
  void on_read(std::string_view from, std::uint64_t call_id, base::time_point now);
  void on_entry(const consensus::entry& e);
  void on_role_change();
  void answer(std::string_view to, std::uint64_t call_id, proposal_status status,
              command_result result);
  std::uint64_t log_time_ms(base::time_point now);

  server_settings settings_;
  server_hooks hooks_;
  machine machine_;
  std::map<std::uint64_t, waiting> pending_;                             ///< by log index
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> calls_; ///< to the log index
  std::uint64_t stamp_term_ = 0;
  std::uint64_t stamp_base_ms_ = 0;
  base::time_point stamp_since_;
  std::uint64_t malformed_ = 0;
  consensus::replica replica_; ///< last: its constructor calls back into the machine
};

} // namespace kingcupshunt::state
