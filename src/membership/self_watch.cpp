#include "kingcupshunt/membership/self_watch.h"

#include <algorithm>

namespace kingcupshunt::membership {

const char* message_of(self_problem problem) noexcept {
  switch (problem) {
  case self_problem::none:
    return "healthy";
  case self_problem::event_loop_lag:
    return "event loop is late";
  case self_problem::slow_disk:
    return "disk is slow";
  case self_problem::failing_sends:
    return "sends to other instances fail";
  }
  return "unknown problem";
}

void self_watch::add_loop_lag(base::duration lag) noexcept {
  window_.loop_lag = std::max(window_.loop_lag, lag);
}

void self_watch::add_disk_time(base::duration time) noexcept {
  window_.disk_time = std::max(window_.disk_time, time);
}

void self_watch::add_send(bool is_sent) noexcept {
  ++window_.sends;
  window_.failed_sends += is_sent ? 0 : 1;
}

bool self_watch::tick(base::time_point now) {
  if (window_ends_ == base::time_point::min()) {
    window_ends_ = now + settings_.window;
  }
  if (now < window_ends_) {
    return false;
  }
  const bool was_healthy = is_healthy();
  const auto found = worst(was_healthy ? 1.0 : settings_.recovery_factor);
  bad_ = found == self_problem::none ? 0 : bad_ + 1;
  good_ = found == self_problem::none ? good_ + 1 : 0;
  if (bad_ >= settings_.bad_windows) {
    problem_ = found;
    reason_ = describe(found);
  } else if (!was_healthy && good_ >= settings_.good_windows) {
    problem_ = self_problem::none;
    reason_.clear();
  }
  window_ = {};
  window_ends_ = now + settings_.window;
  return was_healthy != is_healthy();
}

self_problem self_watch::worst(double factor) const noexcept {
  const auto exceeds = [factor](base::duration value, base::duration bound) {
    return base::to_seconds(value) > base::to_seconds(bound) * factor;
  };
  if (exceeds(window_.loop_lag, settings_.max_loop_lag)) {
    return self_problem::event_loop_lag;
  }
  if (exceeds(window_.disk_time, settings_.max_disk_time)) {
    return self_problem::slow_disk;
  }
  const auto failing = static_cast<double>(window_.failed_sends) /
                       static_cast<double>(std::max<std::uint64_t>(window_.sends, 1));
  if (window_.sends >= settings_.min_sends && failing > settings_.max_failing_share * factor) {
    return self_problem::failing_sends;
  }
  return self_problem::none;
}

std::string self_watch::describe(self_problem problem) const {
  std::string out = message_of(problem);
  switch (problem) {
  case self_problem::event_loop_lag:
    return out + ": " + std::to_string(base::to_ms(window_.loop_lag)) + " ms";
  case self_problem::slow_disk:
    return out + ": " + std::to_string(base::to_ms(window_.disk_time)) + " ms for one write";
  case self_problem::failing_sends:
    return out + ": " + std::to_string(window_.failed_sends) + " of " +
           std::to_string(window_.sends);
  case self_problem::none:
    break;
  }
  return out;
}

} // namespace kingcupshunt::membership
