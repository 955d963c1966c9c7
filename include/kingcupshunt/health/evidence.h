#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/health/attempt.h"
#include "kingcupshunt/health/verdict.h"

namespace kingcupshunt::health {

/// Number of latency buckets. Each spans half an octave: bucket b holds about 2^(b/2) microseconds.
inline constexpr std::uint8_t latency_buckets = 64;

/// Bucket of a latency. The last bucket has no upper bound.
std::uint8_t latency_bucket(base::duration d) noexcept;

/// What an attempt's outcome shows about the server.
enum class evidence_kind : std::uint8_t {
  none,       ///< no evidence: shed or stale connection
  good,       ///< complete response in time
  soft_error, ///< complete response with an error status
  hard_error, ///< no connection, or no complete and valid response
  censored    ///< cancelled before its end: the latency is a lower bound
};

evidence_kind kind_of(attempt_end end) noexcept;

/// Attempts of one route at one server since the previous evidence message.
struct route_evidence {
  std::string route;
  std::vector<std::uint8_t> first_byte; ///< bucket of each good attempt's time to first byte
  std::vector<std::uint8_t> total;      ///< bucket of its total time, in the same order
  std::uint32_t soft_errors = 0;
  std::uint32_t hard_errors = 0;
  std::uint32_t refused = 0;          ///< hard errors for which no connection was established
  std::vector<std::uint8_t> censored; ///< bucket of the age at which an attempt was cancelled
  std::vector<std::uint8_t> open;     ///< buckets of the current ages of unfinished attempts

  MSGPACK_DEFINE_MAP(route, first_byte, total, soft_errors, hard_errors, refused, censored, open)
};

struct upstream_evidence {
  std::string upstream;
  std::uint32_t sheds = 0;
  std::vector<route_evidence> routes;

  MSGPACK_DEFINE_MAP(upstream, sheds, routes)
};

/// Outcome of a probe of the health path.
enum class probe_outcome : std::uint8_t {
  ok = 0,
  bad_status = 1, ///< response with status 400 or above
  failed = 2      ///< no connection, or no response in time
};

struct probe_evidence {
  std::string upstream;
  std::uint8_t outcome = 0; ///< probe_outcome

  MSGPACK_DEFINE_MAP(upstream, outcome)
};

/// Body of health_evidence, from an instance to the owner of the service.
struct evidence_message {
  std::string service;
  std::string data_centre;   ///< of the sending instance
  std::uint64_t sent_us = 0; ///< sender's clock; echoed, never compared with other clocks
  std::vector<upstream_evidence> upstreams;
  std::vector<probe_evidence> probes;
  std::vector<server_verdict> held; ///< ejections and probations in effect at the sender

  MSGPACK_DEFINE_MAP(service, data_centre, sent_us, upstreams, probes, held)
};

/// Body of health_verdicts, from the owner to one instance. Replaces all earlier verdicts.
struct verdicts_message {
  std::string service;
  std::uint64_t view_version = 0;
  std::uint64_t sequence = 0; ///< increases with each message of one owner
  std::uint64_t echo_us = 0;  ///< sent_us of the evidence from which the lifetimes run
  std::vector<server_verdict> verdicts;
  std::vector<std::string> probes; ///< servers that the instance probes on receipt
  /// The receiver fails at servers that are healthy for other instances.
  bool is_faulty_instance = false;
  std::string fault_evidence;

  MSGPACK_DEFINE_MAP(service, view_version, sequence, echo_us, verdicts, probes, is_faulty_instance,
                     fault_evidence)
};

} // namespace kingcupshunt::health
