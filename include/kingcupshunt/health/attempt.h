#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::health {

/// Outcome of one attempt of a request at an upstream.
enum class attempt_end : std::uint8_t {
  ok,                ///< complete response, status below 500
  error_status,      ///< complete response, status 500 or above, except `shed`
  shed,              ///< rejected by the backend server unprocessed: 429, or 503 with Retry-After
  connect_failed,    ///< no connection was established; nothing was sent
  closed_unanswered, ///< closed after bytes were sent, before the first byte of a response
  truncated,         ///< closed within the response
  timed_out,         ///< no complete response by the deadline
  malformed,         ///< the response is not valid HTTP
  stale_connection,  ///< a pooled connection was already closed; no evidence about the server
  cancelled          ///< the caller disconnected or another attempt finished first
};

/// Name of `end` for logs, metrics and traces.
const char* to_string(attempt_end end) noexcept;

/// True when the backend server cannot have executed the request.
bool is_certainly_not_run(attempt_end end) noexcept;

/// What an answer says about the request rate that its server accepts.
enum class limit_notice : std::uint8_t {
  unknown, ///< no usable answer, a failure without a limit, or an unreadable limit
  none,    ///< the server accepts any rate
  limited  ///< the server accepts `attempt::server_limit`
};

/// One attempt of a request at an upstream: input to failure detection, balancing and retries.
struct attempt {
  std::string service;
  std::string route;
  std::string upstream; ///< id of the upstream, "ip:port"
  attempt_end end = attempt_end::ok;
  std::uint32_t status = 0;      ///< HTTP status; 0 without a response
  base::duration first_byte{};   ///< from the request's last byte to the response's first byte
  base::duration total{};        ///< from start to end of the attempt
  std::uint64_t fingerprint = 0; ///< hash of workspace, route and body; 0 when not computed
  bool was_reused = false;       ///< sent on a connection that had carried earlier requests
  limit_notice limit = limit_notice::unknown;
  double server_limit = 0; ///< requests per second from all instances together, when `limited`
  bool is_leaving = false; ///< an answer to it said that its server leaves
  /// Time for which the server wants no request, from its 503 with Retry-After. Zero: none.
  base::duration pause{};
  /// Time for which the server remains cold, counted from the end of the attempt; zero: it is not
  /// cold. Empty: the answer does not say.
  std::optional<base::duration> cold_left;
};

} // namespace kingcupshunt::health
