#include "kingcupshunt/admission/hedging.h"

#include <algorithm>

namespace kingcupshunt::admission {

void hedging::note(const health::attempt& a) {
  const bool is_answered =
      a.end == health::attempt_end::ok || a.end == health::attempt_end::error_status;
  if (!is_answered && a.end != health::attempt_end::cancelled) {
    return;
  }
  auto it = routes_.find(a.route);
  if (it == routes_.end()) {
    if (routes_.size() >= settings_.max_routes) {
      return;
    }
    it = routes_.emplace(a.route, estimate{quantile_estimate(settings_.quantile), 0}).first;
  }
  auto& e = it->second;
  // A slow try that was cancelled because its hedge answered first counts with its time so far;
  // otherwise the estimate would see only the fast tries. A try cancelled before the estimated time
  // carries no information.
  if (!is_answered && base::to_seconds(a.total) < e.current.value()) {
    return;
  }
  e.current.add(base::to_seconds(is_answered ? a.first_byte : a.total));
  if (e.current.count() >= settings_.window) {
    e.last = e.current.value();
    e.current = quantile_estimate(settings_.quantile);
  }
}

std::optional<base::duration> hedging::delay(std::string_view route, bool is_hedged,
                                             bool is_repeatable, base::duration left) const {
  if (!is_hedged || !is_repeatable) {
    return std::nullopt;
  }
  const auto it = routes_.find(route);
  if (it == routes_.end()) {
    return std::nullopt;
  }
  const auto& e = it->second;
  double seconds = e.last;
  if (e.current.count() >= settings_.min_samples) {
    seconds = std::max(e.current.value(), 0.0);
  }
  if (seconds <= 0) {
    return std::nullopt;
  }
  const auto out = std::max<base::duration>(base::from_seconds(seconds), settings_.min_delay);
  return out < left ? std::optional(out) : std::nullopt;
}

} // namespace kingcupshunt::admission
