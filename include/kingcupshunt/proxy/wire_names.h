#pragma once

#include <string>

namespace kingcupshunt::proxy {

/// Header names and habits of one deployment's callers and backend servers. The defaults are the
/// project's own interface. An empty name leaves the header and what depends on it out.
struct wire_names {
  std::string key_scheme = "bearer"; ///< scheme of Authorization, lower case
  std::string request_id = "X-Request-Id";
  std::string caller_timeout; ///< from the caller: its patience, ms
  std::string upstream_timeout =
      "X-Kingcupshunt-Deadline-Ms"; ///< to the upstream: what is left, ms
  std::string workspace = "X-Kingcupshunt-Workspace";
  std::string expected_instance; ///< to the upstream: id of the instance that is meant
  std::string not_run;           ///< from the upstream: it has not run the request
  std::string signature;         ///< from the upstream: required on every success

  /// The caller's request id is forwarded as it is, and answers must echo it.
  bool is_request_id_echoed = false;
  /// 408, 421, 429 and 503 promise that the request has not run, and nothing else does.
  bool has_not_run_statuses = false;
  /// Retry-After in seconds with fractions instead of whole seconds.
  bool has_fractional_retry_after = false;
  /// An answer without a length may end with its connection.
  bool may_answer_end_with_connection = false;
  /// A try that an upstream refused as full counts against the retry budget.
  bool is_shed_budgeted = false;
};

} // namespace kingcupshunt::proxy
