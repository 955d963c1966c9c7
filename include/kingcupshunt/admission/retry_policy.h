#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "kingcupshunt/admission/retry_budget.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/health/attempt.h"
#include "kingcupshunt/observe/decision.h"

namespace kingcupshunt::admission {

/// Why a retry was allowed.
enum class retry_reason : std::uint8_t {
  connect_failed,   ///< nothing was sent
  shed,             ///< the server refused the request without running it
  closed,           ///< the connection ended without an answer; repeatable
  stale_connection, ///< the server had closed the idle connection; repeatable
  timed_out,        ///< no answer within the timeout; repeatable
  truncated,        ///< the answer ended early; repeatable
  malformed,        ///< the answer is not valid HTTP; repeatable
  error_status,     ///< status 502, 503 or 504; repeatable
  hedge             ///< sent in parallel to a slow try
};

const char* to_string(retry_reason reason) noexcept;

/// Why a retry was not allowed.
enum class retry_denial : std::uint8_t {
  none,
  not_a_failure, ///< the answer is final
  may_have_run,  ///< not repeatable, and the server may have run it
  tries_used,    ///< `max_tries` reached
  no_time,       ///< not enough time left for another try
  budget_spent   ///< the budget of the workspace or of the instance is empty
};

const char* to_string(retry_denial denial) noexcept;

/// Properties of a request that the policy uses.
struct retry_request {
  std::string_view workspace;
  bool is_repeatable = false;
  std::uint32_t tries = 1; ///< tries so far, including the failed one
  base::time_point deadline;
  /// Expected duration of the next try, 0 when not known.
  base::duration expected{};
  /// No byte of the answer has been passed to the caller.
  bool is_answer_unsent = true;
};

struct retry_decision {
  bool is_allowed = false;
  retry_reason reason = retry_reason::closed; ///< when allowed
  retry_denial denial = retry_denial::none;   ///< when not allowed
};

struct retry_settings {
  std::uint32_t max_tries = 3; ///< of one request, including the first
  retry_budget_settings budget;
};

struct retry_hooks {
  std::function<void(std::string_view reason)> on_retry;     ///< counts by reason; may be unset
  std::function<void(std::string_view denial)> on_denial;    ///< counts by denial; may be unset
  std::function<void(const observe::decision&)> on_decision; ///< may be unset
};

/// Decides whether a failed request is retried on another server.
class retry_policy {
public:
  retry_policy(retry_settings settings, retry_hooks hooks);

  /// Decides whether to retry after `last`; takes from the budget when allowed. The calling code
  /// must exclude the servers tried so far from the next choice.
  retry_decision decide(const retry_request& request, const health::attempt& last,
                        base::time_point now);

  /// Takes a hedge from the same budget. False when the budget is empty or the request is not
  /// repeatable.
  bool take_hedge(std::string_view workspace, bool is_repeatable, base::time_point now);

  /// Records how a try ended; successes add to the budget.
  void note(std::string_view workspace, const health::attempt& a, base::time_point now);

  /// Returns a retry that was allowed but not sent because there was no server for it.
  void restore(std::string_view workspace) { budget_.restore(workspace); }

private:
  retry_denial check(const retry_request& request, const health::attempt& last,
                     base::time_point now) const;
  void report_budget_spent(std::string_view workspace, base::time_point now);

  retry_settings settings_;
  retry_hooks hooks_;
  retry_budget budget_;
  base::time_point last_decision_{};
  std::uint64_t denied_since_last_ = 0;
};

} // namespace kingcupshunt::admission
