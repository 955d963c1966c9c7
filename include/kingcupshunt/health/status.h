#pragma once

#include <string>

#include "kingcupshunt/health/verdict.h"

namespace kingcupshunt::health {

/// State of one server as this instance applies it, after the floor.
struct server_status {
  std::string id;
  server_state state = server_state::suspected;
  /// Part of a normal server's repeatable traffic that it gets. 0 for an ejected server; above 1
  /// for a suspected one whose suspicion is being checked.
  double weight = 0;
};

} // namespace kingcupshunt::health
