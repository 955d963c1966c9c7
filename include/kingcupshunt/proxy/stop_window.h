#pragma once

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::proxy {

/// Time that a stopping instance has for the requests that it has taken.
struct stop_window {
  base::time_point begun;
  base::time_point end; ///< connections that are still open are closed
};

} // namespace kingcupshunt::proxy
