#include "kingcupshunt/health/evidence.h"

#include <algorithm>
#include <cmath>

namespace kingcupshunt::health {

std::uint8_t latency_bucket(base::duration d) noexcept {
  const auto us = std::max(1.0, base::to_seconds(d) * 1e6);
  const auto bucket = std::lround(2.0 * std::log2(us));
  return static_cast<std::uint8_t>(std::min<long>(bucket, latency_buckets - 1));
}

evidence_kind kind_of(attempt_end end) noexcept {
  switch (end) {
  case attempt_end::ok:
    return evidence_kind::good;
  case attempt_end::error_status:
    return evidence_kind::soft_error;
  case attempt_end::connect_failed:
  case attempt_end::closed_unanswered:
  case attempt_end::truncated:
  case attempt_end::timed_out:
  case attempt_end::malformed:
    return evidence_kind::hard_error;
  case attempt_end::cancelled:
    return evidence_kind::censored;
  case attempt_end::shed:
  case attempt_end::stale_connection:
    return evidence_kind::none;
  }
  return evidence_kind::none;
}

} // namespace kingcupshunt::health
