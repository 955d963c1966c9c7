#pragma once

#include <cstdint>
#include <string>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::health {

/// How one try of a request at an upstream ended.
enum class attempt_end : std::uint8_t {
  ok,                ///< whole answer, status below 500
  error_status,      ///< whole answer, status 500 or above, except a shed
  shed,              ///< refused by the backend server as not run (503 with Retry-After or 429)
  connect_failed,    ///< no connection; nothing was sent
  closed_unanswered, ///< connection ended after bytes were sent, before any byte of an answer
  truncated,         ///< connection ended within the answer
  timed_out,         ///< no answer, or a stalled one, until the deadline
  malformed,         ///< the answer is not valid HTTP
  stale_connection,  ///< an idle connection turned out dead; says nothing about the server
  cancelled          ///< the caller went away or another try won
};

/// Name of `end` for logs, metrics and traces.
const char* to_string(attempt_end end) noexcept;

/// True when the backend server certainly did not run the request.
bool is_certainly_not_run(attempt_end end) noexcept;

/// One try of a request at an upstream. Input of detection, balancing and retries.
struct attempt {
  std::string service;
  std::string route;
  std::string upstream; ///< id of the upstream, "ip:port"
  attempt_end end = attempt_end::ok;
  std::uint32_t status = 0;      ///< HTTP status, 0 without an answer
  base::duration first_byte{};   ///< from the request's last byte to the answer's first byte
  base::duration total{};        ///< from start to end of the try
  std::uint64_t fingerprint = 0; ///< of workspace, route and body; 0 when not computed
  bool was_reused = false;       ///< sent on a connection that had carried requests before
};

} // namespace kingcupshunt::health
