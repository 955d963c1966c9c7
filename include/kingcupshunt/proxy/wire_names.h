#pragma once

#include <string>

namespace kingcupshunt::proxy {

/// Header names and protocol variants of one deployment's callers and backend servers. The defaults
/// are the project's own interface. An empty name disables the header and what depends on it.
struct wire_names {
  std::string key_scheme = "bearer"; ///< scheme of Authorization, lower case
  std::string request_id = "X-Request-Id";
  std::string caller_timeout; ///< from the caller: time it waits, ms
  std::string upstream_timeout = "X-Kingcupshunt-Deadline-Ms"; ///< to the upstream: time left, ms
  std::string workspace = "X-Kingcupshunt-Workspace";
  std::string expected_instance; ///< to the upstream: id of the intended instance
  std::string not_run;           ///< from the upstream: the request has not run
  std::string signature;         ///< from the upstream: required on every success
  /// From the upstream: requests per second that it accepts from all instances together, for as
  /// long as its answers name this.
  std::string server_limit = "X-Kingcupshunt-Server-Limit";
  /// From the upstream: "1" in all answers of one that leaves, which gets no further requests.
  std::string server_leaving = "X-Kingcupshunt-Server-Leaving";
  /// From the upstream: milliseconds for which it remains cold, 0 when it is not.
  std::string server_cold = "X-Kingcupshunt-Server-Cold-Ms";

  /// The caller's request id is forwarded unchanged, and answers must echo it.
  bool is_request_id_echoed = false;
  /// Exactly the statuses 408, 421, 429 and 503 state that the request has not run.
  bool has_not_run_statuses = false;
  /// Retry-After is sent in seconds with fractions instead of whole seconds.
  bool has_fractional_retry_after = false;
  /// An answer without a length may end with its connection.
  bool may_answer_end_with_connection = false;
  /// Retries after a try that an upstream refused as full count against the retry budget.
  bool is_shed_budgeted = false;
};

/// The statuses of `wire_names::has_not_run_statuses`.
constexpr bool is_not_run_status(unsigned status) noexcept {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace kingcupshunt::proxy
