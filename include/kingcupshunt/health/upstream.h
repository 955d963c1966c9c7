#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::health {

/// Announcement of a backend server about itself.
struct announcement {
  std::string service;
  std::string id; ///< "ip:port"
  std::string data_centre;
  std::uint32_t slots = 1;       ///< requests that the server processes concurrently
  bool is_draining = false;      ///< shutting down: no new requests; final within one incarnation
  std::uint64_t incarnation = 0; ///< increases with each start of the server
  std::uint64_t sequence = 0;    ///< increases with each announcement; 0: assigned on receipt

  MSGPACK_DEFINE_MAP(service, id, data_centre, slots, is_draining, incarnation, sequence)
};

/// One announced server as stored on this instance.
struct upstream {
  announcement info;
  /// Time of the current incarnation's first announcement, by this instance's clock.
  base::time_point first_seen{};
  base::time_point renewed{}; ///< time of the latest announcement, by this instance's clock
  bool is_stale = false;      ///< expired, kept as a last resort
};

} // namespace kingcupshunt::health
