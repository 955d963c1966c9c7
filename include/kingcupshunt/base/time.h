#pragma once

#include <chrono>
#include <cstdint>

namespace kingcupshunt::base {

/// Monotonic clock of one process. Values of two processes are never compared.
using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;

/// Monotonic clock that also counts the time in which the machine was suspended. Leases run on it:
/// the steady clock stands still during a suspension.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;
  static time_point now() noexcept;
};

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bound on the relative rate error of two monotonic clocks.
inline constexpr double clock_drift_bound = 0.01;

/// Converts a duration to seconds.
inline double to_seconds(duration d) noexcept {
  return std::chrono::duration<double>(d).count();
}

/// Converts seconds to a duration.
inline duration from_seconds(double s) noexcept {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

/// Converts a duration to whole milliseconds, rounded down.
inline std::int64_t to_ms(duration d) noexcept {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

/// Shortens a duration so that it has ended on a clock that runs fast by the drift bound.
inline duration shorten_by_drift(duration d) noexcept {
  return from_seconds(to_seconds(d) * (1.0 - clock_drift_bound));
}

} // namespace kingcupshunt::base
