#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/rates/request_permits.h"

namespace kingcupshunt::balance {

/// What a service states for its cold servers.
struct cold_terms {
  double per_second = 0;   ///< requests that one tolerates from all instances together
  base::duration warmup{}; ///< usual time of being cold; zero: not stated
};

/// A server whose service states a rate for cold servers became cold or is no longer cold.
struct cold_change {
  std::string_view server;
  std::string_view service;
  bool is_cold = false;
  base::duration left{};  ///< when it became cold
  std::uint64_t sent = 0; ///< requests of this instance while it was cold
};

/// Whether a server is cold, and the permits for it.
struct cold_state {
  base::time_point until{};
  base::time_point stated_at{}; ///< when the last statement about it was received
  bool is_first_hand = false;   ///< stated by the server's announcement or by an answer of it
  bool is_news = false;         ///< the relay has not been told yet
  /// Has a limit while the server is cold and its service states a rate.
  rates::request_permits permits;
  std::vector<base::time_point> unrelayed; ///< requests without a relay, of the last second
};

} // namespace kingcupshunt::balance
