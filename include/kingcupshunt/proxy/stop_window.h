#pragma once

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::proxy {

/// Time that a stopping instance has for the requests that it has taken.
struct stop_window {
  base::time_point begun;
  base::time_point end; ///< connections that are still open are closed

  /// From here on only requests whose deadline is before `end` are sent to a server.
  base::time_point last_start() const noexcept { return begun + (end - begun) / 2; }
};

} // namespace kingcupshunt::proxy
