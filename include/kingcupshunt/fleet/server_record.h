#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace kingcupshunt::fleet {

enum class server_state : std::uint8_t {
  ready = 0,
  draining = 1, ///< completes its requests, receives no new ones
  gone = 2      ///< has ended, or may end without further notice; final for its incarnation
};

} // namespace kingcupshunt::fleet

MSGPACK_ADD_ENUM(kingcupshunt::fleet::server_state)

namespace kingcupshunt::fleet {

/// Last announcement of a backend server, and the control instance that received it.
struct server_record {
  std::string id;
  std::string service;
  std::string address; ///< "ip:port"
  std::string data_centre;
  std::uint32_t slots = 1; ///< requests that it processes concurrently
  server_state state = server_state::ready;
  std::uint64_t started_ms = 0;   ///< Unix time of its start; orders incarnations
  std::uint64_t sequence = 0;     ///< increases with each announcement of an incarnation
  std::uint32_t cold_left_ms = 0; ///< remaining warm-up time, in which it is slow
  std::string home;               ///< control instance that it announces itself to
  bool is_silent = false;         ///< its home has missed several announcements
  bool is_restored = false;       ///< persisted before a restart of its home, not announced since

  bool operator==(const server_record&) const = default;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", id), MSGPACK_NVP("s", service), MSGPACK_NVP("a", address),
                     MSGPACK_NVP("z", data_centre), MSGPACK_NVP("n", slots),
                     MSGPACK_NVP("t", state), MSGPACK_NVP("b", started_ms),
                     MSGPACK_NVP("q", sequence), MSGPACK_NVP("c", cold_left_ms),
                     MSGPACK_NVP("h", home), MSGPACK_NVP("x", is_silent),
                     MSGPACK_NVP("o", is_restored))
};

} // namespace kingcupshunt::fleet
