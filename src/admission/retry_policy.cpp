#include "kingcupshunt/admission/retry_policy.h"

#include <optional>
#include <string>
#include <utility>

namespace kingcupshunt::admission {

namespace {

constexpr base::seconds decision_interval{10};

// Statuses by which a gateway or a starting server says that it could not serve the request. Other
// server errors are answers of the application and are passed on.
bool is_retried_status(std::uint32_t status) {
  return status == 502 || status == 503 || status == 504;
}

std::optional<retry_reason> reason_of(const health::attempt& a) {
  using health::attempt_end;
  switch (a.end) {
  case attempt_end::connect_failed:
    return retry_reason::connect_failed;
  case attempt_end::shed:
    return retry_reason::shed;
  case attempt_end::closed_unanswered:
    return retry_reason::closed;
  case attempt_end::stale_connection:
    return retry_reason::stale_connection;
  case attempt_end::timed_out:
    return retry_reason::timed_out;
  case attempt_end::truncated:
    return retry_reason::truncated;
  case attempt_end::malformed:
    return retry_reason::malformed;
  case attempt_end::error_status:
    return is_retried_status(a.status) ? std::optional(retry_reason::error_status) : std::nullopt;
  case attempt_end::ok:
  case attempt_end::cancelled:
    break;
  }
  return std::nullopt;
}

} // namespace

const char* to_string(retry_reason reason) noexcept {
  switch (reason) {
  case retry_reason::connect_failed:
    return "connect_failed";
  case retry_reason::shed:
    return "shed";
  case retry_reason::closed:
    return "closed";
  case retry_reason::stale_connection:
    return "stale_connection";
  case retry_reason::timed_out:
    return "timed_out";
  case retry_reason::truncated:
    return "truncated";
  case retry_reason::malformed:
    return "malformed";
  case retry_reason::error_status:
    return "error_status";
  case retry_reason::hedge:
    return "hedge";
  }
  return "unknown";
}

const char* to_string(retry_denial denial) noexcept {
  switch (denial) {
  case retry_denial::none:
    return "none";
  case retry_denial::not_a_failure:
    return "not_a_failure";
  case retry_denial::may_have_run:
    return "may_have_run";
  case retry_denial::tries_used:
    return "tries_used";
  case retry_denial::no_time:
    return "no_time";
  case retry_denial::budget_spent:
    return "budget_spent";
  }
  return "unknown";
}

retry_policy::retry_policy(retry_settings settings, retry_hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)), budget_(settings.budget) {}

retry_denial retry_policy::check(const retry_request& request, const health::attempt& last,
                                 base::time_point now) const {
  if (!reason_of(last) || !request.is_answer_unsent) {
    return retry_denial::not_a_failure;
  }
  if (!request.is_repeatable && !health::is_certainly_not_run(last.end)) {
    return retry_denial::may_have_run;
  }
  if (request.tries >= settings_.max_tries) {
    return retry_denial::tries_used;
  }
  if (now >= request.deadline || request.deadline - now < request.expected) {
    return retry_denial::no_time;
  }
  return retry_denial::none;
}

retry_decision retry_policy::decide(const retry_request& request, const health::attempt& last,
                                    base::time_point now) {
  retry_decision out;
  out.denial = check(request, last, now);
  if (out.denial == retry_denial::none && !budget_.withdraw(request.workspace, now)) {
    out.denial = retry_denial::budget_spent;
    report_budget_spent(request.workspace, now);
  }
  if (out.denial != retry_denial::none) {
    if (out.denial != retry_denial::not_a_failure && hooks_.on_denial) {
      hooks_.on_denial(to_string(out.denial));
    }
    return out;
  }
  out.is_allowed = true;
  out.reason = *reason_of(last);
  if (hooks_.on_retry) {
    hooks_.on_retry(to_string(out.reason));
  }
  return out;
}

bool retry_policy::take_hedge(std::string_view workspace, bool is_repeatable,
                              base::time_point now) {
  if (!is_repeatable || !budget_.withdraw(workspace, now)) {
    return false;
  }
  if (hooks_.on_retry) {
    hooks_.on_retry(to_string(retry_reason::hedge));
  }
  return true;
}

void retry_policy::note(std::string_view workspace, const health::attempt& a,
                        base::time_point now) {
  if (a.end == health::attempt_end::ok) {
    budget_.deposit(workspace, now);
  }
}

void retry_policy::report_budget_spent(std::string_view workspace, base::time_point now) {
  ++denied_since_last_;
  const bool is_due =
      last_decision_ == base::time_point{} || now - last_decision_ >= decision_interval;
  if (hooks_.on_decision && is_due) {
    last_decision_ = now;
    hooks_.on_decision({"retry.budget_spent", "workspace", std::string(workspace), "not_retried",
                        "denied_since_last=" + std::to_string(denied_since_last_), 0});
    denied_since_last_ = 0;
  }
}

} // namespace kingcupshunt::admission
