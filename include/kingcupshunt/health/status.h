#pragma once

#include <string>

#include "kingcupshunt/health/verdict.h"

namespace kingcupshunt::health {

/// State of one server as this instance applies it, within the floor.
struct server_status {
  std::string id;
  server_state state = server_state::suspected;
  /// Repeatable traffic as a multiple of a normal server's. 0 for an ejected server; above 1 for a
  /// suspected server that gets more requests to confirm or clear the suspicion sooner.
  double weight = 0;
};

} // namespace kingcupshunt::health
