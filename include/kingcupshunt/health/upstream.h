#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::health {

/// What a backend server states about itself.
struct announcement {
  std::string service;
  std::string id; ///< "ip:port"
  std::string data_centre;
  std::uint32_t slots = 1;       ///< requests that the server runs at once
  bool is_draining = false;      ///< leaves: no new work; final within one incarnation
  std::uint64_t incarnation = 0; ///< rises with each start of the server
  std::uint64_t sequence = 0;    ///< rises with each announcement; 0: assigned on receipt

  MSGPACK_DEFINE_MAP(service, id, data_centre, slots, is_draining, incarnation, sequence)
};

/// One announced server as this instance knows it.
struct upstream {
  announcement info;
  base::time_point first_seen{}; ///< start of the present incarnation on this instance
  base::time_point renewed{};    ///< time of the newest announcement, by this instance's clock
  bool is_stale = false;         ///< expired, kept as a last resort
};

} // namespace kingcupshunt::health
