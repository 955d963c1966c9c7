#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::admission {

struct start_gate_settings {
  /// From the start of the process, as long as requests wait. A caller gives an attempt up that is
  /// not read within a second.
  base::milliseconds max_wait{900};
  std::size_t queue_limit = 256; ///< requests that wait at once
};

/// Holds requests that arrive while an instance starts until it can decide about them. After a loss
/// of power of all instances the configuration is there within a second: a request that waits is
/// served in time, one that is refused comes back late or not at all.
class start_gate {
public:
  start_gate(start_gate_settings settings, base::time_point started)
      : settings_(settings), started_(started) {}

  /// Runs `done` once: at once when the instance has started or waiting has no use, else later.
  void enter(std::function<void()> done, base::time_point now);

  /// The instance can decide, now and from now on; releases all that wait.
  void open();
  /// Releases all when the time to wait is over. Call every few milliseconds.
  void tick(base::time_point now);

  bool is_open() const noexcept { return is_open_; }
  /// Time since the start of the process.
  base::duration age(base::time_point now) const noexcept { return now - started_; }
  std::size_t waiting() const noexcept { return waiting_.size(); }

private:
  void release();

  start_gate_settings settings_;
  base::time_point started_;
  bool is_open_ = false;
  std::vector<std::function<void()>> waiting_;
};

} // namespace kingcupshunt::admission
