#pragma once

#include <cstdint>

namespace kingcupshunt::peer {

/// Kind of a message between instances. Values are part of the protocol and are never reused.
enum class message_kind : std::uint16_t {
  membership_probe = 1,
  membership_probe_ack = 2,
  membership_probe_request = 3,
  membership_join = 5,
  freshness_query = 10,
  freshness_answer = 11,
  freshness_aggregate = 12,
  log_append = 20,
  log_append_answer = 21,
  log_vote = 22,
  log_vote_answer = 23,
  log_snapshot_chunk = 24,
  log_snapshot_answer = 25,
  log_timeout_now = 26,
  state_propose = 30,
  state_proposal_answer = 31,
  state_fetch_delta = 32,
  state_delta = 33,
  state_held_revision = 34,
  rate_ask = 40,
  rate_grant = 41,
  health_evidence = 50,
  health_verdicts = 51,
  registry_update = 60,
  registry_digest = 61,
  crash_suspects = 70,
  load_report = 71,
  transport_hello = 80,
  transport_proof = 81,
  transport_heartbeat = 82,
  transport_relay = 83,
  condition_report = 90,
  entry_ask = 100,
  entry_answer = 101,
  table_push = 102,
  commit_notice = 103,
  document_fetch = 104,
  document_content = 105,
  record_share = 106,
  record_share_ack = 107,
  control_join = 108,
  load_pulse = 109,
  load_total = 110,
  failure_share = 111,
  permit_grant = 112,
  limit_report = 113,
  control_join_answer = 114,
  departures_ask = 115,
  departures_part = 116,
  document_piece = 117,
};

/// Fixed text for logs and metrics.
const char* name_of(message_kind kind) noexcept;

} // namespace kingcupshunt::peer
