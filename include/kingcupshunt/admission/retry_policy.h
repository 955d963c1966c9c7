#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "kingcupshunt/admission/retry_budget.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/health/attempt.h"
#include "kingcupshunt/observe/decision.h"

namespace kingcupshunt::admission {

/// Why a further try was allowed.
enum class retry_reason : std::uint8_t {
  connect_failed,   ///< nothing was sent
  shed,             ///< the server refused it as not run
  closed,           ///< the connection ended without an answer; repeatable
  stale_connection, ///< an idle connection was dead; repeatable
  timed_out,        ///< no answer in time; repeatable
  truncated,        ///< the answer broke off; repeatable
  malformed,        ///< the answer is not HTTP; repeatable
  error_status,     ///< status 502, 503 or 504; repeatable
  hedge             ///< sent beside a try that is late
};

const char* to_string(retry_reason reason) noexcept;

/// Why a further try was not allowed.
enum class retry_denial : std::uint8_t {
  none,
  not_a_failure, ///< the answer is final
  may_have_run,  ///< not repeatable and not certainly not run
  tries_used,    ///< the bound on tries of one request
  no_time,       ///< the deadline leaves no time for another try
  budget_spent   ///< the budget of the workspace or of the instance is empty
};

const char* to_string(retry_denial denial) noexcept;

/// What the policy needs to know about a request.
struct retry_request {
  std::string_view workspace;
  bool is_repeatable = false;
  std::uint32_t tries = 1; ///< tries so far, the failed one included
  base::time_point deadline;
  /// Time that the next try is expected to need, 0 when not known.
  base::duration expected{};
  /// No byte of the answer has been passed to the caller.
  bool is_answer_unsent = true;
};

struct retry_decision {
  bool is_allowed = false;
  retry_reason reason = retry_reason::closed; ///< when allowed
  retry_denial denial = retry_denial::none;   ///< when not
};

struct retry_settings {
  std::uint32_t max_tries = 3; ///< of one request, the first included
  retry_budget_settings budget;
};

struct retry_hooks {
  std::function<void(std::string_view reason)> on_retry;     ///< counts by reason; may be unset
  std::function<void(std::string_view denial)> on_denial;    ///< counts by denial; may be unset
  std::function<void(const observe::decision&)> on_decision; ///< may be unset
};

/// Decides whether a failed request is tried again on another server.
class retry_policy {
public:
  retry_policy(retry_settings settings, retry_hooks hooks);

  /// Whether to try again after `last`. Takes from the budget when allowed. The caller of this
  /// excludes the servers tried so far from the next choice.
  retry_decision decide(const retry_request& request, const health::attempt& last,
                        base::time_point now);

  /// Takes a hedge from the same budget. False when there is none left or the request may not be
  /// repeated.
  bool take_hedge(std::string_view workspace, bool is_repeatable, base::time_point now);

  /// Tells how a try ended; successes fill the budget.
  void note(std::string_view workspace, const health::attempt& a, base::time_point now);

  /// Gives a try back that was allowed but found no server.
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
