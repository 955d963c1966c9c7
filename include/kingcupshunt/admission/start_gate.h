#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::admission {

struct start_gate_settings {
  /// From the start of the process; after that no request waits. Callers abandon an attempt that is
  /// not read within a second.
  base::milliseconds max_wait{900};
  std::size_t queue_limit = 256; ///< maximum number of waiting requests
};

/// Delays requests that arrive during the start of an instance until it has its configuration.
/// After a power failure of all instances the configuration is available within a second: a request
/// that waits is served in time, whereas a refused one is retried late or not at all.
class start_gate {
public:
  start_gate(start_gate_settings settings, base::time_point started)
      : settings_(settings), started_(started) {}

  /// Calls `done` exactly once: immediately when the gate is open, `max_wait` has passed or the
  /// queue is full, else later.
  void enter(std::function<void()> done, base::time_point now);

  /// Call when the instance has its configuration: releases all waiting requests.
  void open();
  /// Releases all waiting requests once `max_wait` has passed. Call every few milliseconds.
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
