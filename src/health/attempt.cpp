#include "kingcupshunt/health/attempt.h"

namespace kingcupshunt::health {

const char* to_string(attempt_end end) noexcept {
  switch (end) {
  case attempt_end::ok:
    return "ok";
  case attempt_end::error_status:
    return "error_status";
  case attempt_end::shed:
    return "shed";
  case attempt_end::connect_failed:
    return "connect_failed";
  case attempt_end::closed_unanswered:
    return "closed_unanswered";
  case attempt_end::truncated:
    return "truncated";
  case attempt_end::timed_out:
    return "timed_out";
  case attempt_end::malformed:
    return "malformed";
  case attempt_end::stale_connection:
    return "stale_connection";
  case attempt_end::cancelled:
    return "cancelled";
  }
  return "unknown";
}

bool is_certainly_not_run(attempt_end end) noexcept {
  return end == attempt_end::connect_failed || end == attempt_end::shed;
}

} // namespace kingcupshunt::health
