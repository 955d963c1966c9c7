#pragma once

#include <cstdint>
#include <string>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::membership {

/// What an instance finds wrong with itself.
enum class self_problem : std::uint8_t { none, event_loop_lag, slow_disk, failing_sends };

/// Short fixed text for `problem`.
const char* message_of(self_problem problem) noexcept;

struct self_watch_settings {
  base::duration max_loop_lag = base::milliseconds(200);
  base::duration max_disk_time = base::milliseconds(500);
  double max_failing_share = 0.5; ///< of the messages sent within one window
  std::uint64_t min_sends = 20;   ///< fewer sends in a window say nothing
  double recovery_factor = 0.5;   ///< a measure is good again below this part of its bound
  base::duration window = base::seconds(1);
  int bad_windows = 2;  ///< consecutive bad windows before the instance is unhealthy
  int good_windows = 5; ///< consecutive good windows before it is healthy again
};

/// Judges the health of the own process from its event loop, disk and connections.
class self_watch {
public:
  explicit self_watch(self_watch_settings settings = {}) : settings_(settings) {}

  /// Time between the moment a timer was due and the moment it ran.
  void add_loop_lag(base::duration lag) noexcept;

  /// Duration of one synced write.
  void add_disk_time(base::duration time) noexcept;

  /// Result of sending one message.
  void add_send(bool is_sent) noexcept;

  /// Closes the window when it is over. Returns whether the health changed.
  bool tick(base::time_point now);

  bool is_healthy() const noexcept { return problem_ == self_problem::none; }
  self_problem problem() const noexcept { return problem_; }

  /// One line: the problem and the measure of the window that showed it. Empty when healthy.
  const std::string& reason() const noexcept { return reason_; }

private:
  struct window {
    base::duration loop_lag{};
    base::duration disk_time{};
    std::uint64_t sends = 0;
    std::uint64_t failed_sends = 0;
  };

  self_problem worst(double factor) const noexcept;
  std::string describe(self_problem problem) const;

  self_watch_settings settings_;
  window window_;
  base::time_point window_ends_ = base::time_point::min();
  int bad_ = 0;
  int good_ = 0;
  self_problem problem_ = self_problem::none;
  std::string reason_;
};

} // namespace kingcupshunt::membership
