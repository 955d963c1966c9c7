#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/peer/handshake.h"
#include "kingcupshunt/proxy/wire_names.h"

namespace kingcupshunt::proxy {

/// Least memory of a caller's connection, with its smallest read buffer.
inline constexpr std::size_t connection_bytes = std::size_t{8} * 1024;

/// Limits of the entry. Timeouts are upper bounds; a request's own deadline may be earlier.
struct entry_settings {
  std::string address = "127.0.0.1"; ///< IP address to listen on
  std::uint16_t port = 0;            ///< 0: any free port

  std::size_t max_connections = 10000;           ///< open caller connections; idle ones give way
  std::size_t max_connections_per_caller = 1000; ///< open connections of one IP address
  std::size_t max_head_bytes = std::size_t{16} * 1024; ///< request line and headers
  std::size_t max_header_fields = 100;                 ///< header fields of one request
  std::size_t max_answer_head_bytes =
      std::size_t{32} * 1024; ///< status line and headers of an upstream
  /// Longest body of an answer. A server in trouble may send a body without end.
  std::uint64_t max_answer_body_bytes = std::uint64_t{64} << 20U;
  /// Greatest size of all answers to other requests that are read before the own one.
  std::size_t max_skipped_answer_bytes = std::size_t{256} * 1024;
  unsigned max_interim_answers = 16; ///< answers with a status below 200 before the final one
  std::size_t max_replay_bytes = std::size_t{64} * 1024; ///< largest request body kept for retries
  /// Chunked bodies are read whole, up to max_replay_bytes, so that the request can be repeated.
  bool must_read_chunked_whole = false;
  /// Requests of one connection that are served at once, in the order of their answers.
  std::size_t max_pipelined_requests = 8;
  /// Bytes of later requests that are read before a connection's present one is answered. Beyond
  /// this its socket is not read.
  std::size_t max_read_ahead_bytes = std::size_t{16} * 1024;
  std::size_t max_stored_answer_bytes =
      std::size_t{64} * 1024; ///< largest answer stored for resends
  /// Long heads and the bodies of all answers on their way. Short of it, answers are passed on as
  /// they arrive, and long heads are failures; each answer then holds 36 KiB at most.
  std::size_t max_answer_memory_bytes = std::size_t{64} << 20U;
  /// What callers make the entry hold: connections, heads, bodies and requests read ahead.
  std::size_t max_caller_memory_bytes = std::size_t{256} << 20U;
  /// Part of it for one address, workspace or route.
  double single_caller_share = 0.5;
  /// Under memory pressure, heads and bodies that arrive more slowly are dropped.
  double least_body_rate = 4096;                         ///< bytes per second
  std::size_t max_drain_bytes = std::size_t{256} * 1024; ///< read from the rest of a refused body
  unsigned max_tries = 4;                                ///< tries of one request, including hedges

  base::milliseconds idle_timeout{60000};  ///< caller connection between two requests
  base::milliseconds head_timeout{10000};  ///< from a request's first byte to its head's end
  base::milliseconds total_timeout{60000}; ///< whole request, also when its route allows more
  base::milliseconds write_timeout{5000};  ///< writing a refusal
  base::milliseconds drain_timeout{1000};  ///< reading the rest of a refused body

  /// Open connections to one upstream: its 330 connections divided among 17 instances.
  std::size_t connections_per_upstream = 19;
  std::size_t max_upstream_connections = 0; ///< to all upstreams together; 0: not limited
  /// Receive buffers of connections, bytes; 0: the system's. Bytes in them count toward the memory
  /// of the process.
  int caller_receive_bytes = 0;
  int upstream_receive_bytes = 0;
  base::milliseconds connect_timeout{1000}; ///< TCP connection to an upstream
  /// Direct connection attempt, before the connection is attempted through another instance.
  base::milliseconds direct_head_start{100};
  peer::handshake_settings tunnel_handshake;       ///< with other instances
  base::milliseconds upstream_idle_timeout{30000}; ///< pooled connection without a request
  base::milliseconds verified_for{1000};    ///< a connection stays verified after a whole answer
  base::milliseconds silence_timeout{1000}; ///< reused connection without an answer, before a check
  /// Additional wait after the deadline for the upstream's own answer that the deadline passed.
  base::milliseconds answer_grace{0};
  /// Bodies of at least this size are written while the entry waits for the answer, so that an
  /// answer sent before the body was read is received at once.
  std::size_t parallel_write_bytes = std::size_t{2} * 1024;

  wire_names names;
};

/// Connections for which max_caller_memory_bytes suffices: they take up to half of it.
constexpr std::size_t most_connections_of(const entry_settings& s) {
  return s.max_caller_memory_bytes / 2 / connection_bytes;
}

} // namespace kingcupshunt::proxy
