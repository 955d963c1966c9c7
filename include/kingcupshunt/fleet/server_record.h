#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace kingcupshunt::fleet {

enum class server_state : std::uint8_t {
  ready = 0,
  draining = 1, ///< finishes what it has, gets no new request
  gone = 2      ///< has ended, or will without further notice; final for its incarnation
};

} // namespace kingcupshunt::fleet

MSGPACK_ADD_ENUM(kingcupshunt::fleet::server_state)

namespace kingcupshunt::fleet {

/// What a backend server last said of itself, and which control instance heard it.
struct server_record {
  std::string id;
  std::string service;
  std::string address; ///< "ip:port"
  std::string data_centre;
  std::uint32_t slots = 1; ///< requests that it runs at once
  server_state state = server_state::ready;
  std::uint64_t started_ms = 0;   ///< Unix time of its start; orders incarnations
  std::uint64_t sequence = 0;     ///< rises with each announcement of an incarnation
  std::uint32_t cold_left_ms = 0; ///< how much longer it is slow after its start
  std::string home;               ///< control instance that it announces itself to
  bool is_silent = false;         ///< its home has missed several announcements
  bool is_restored = false;       ///< from before a restart of its home, not heard since

  bool operator==(const server_record&) const = default;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", id), MSGPACK_NVP("s", service), MSGPACK_NVP("a", address),
                     MSGPACK_NVP("z", data_centre), MSGPACK_NVP("n", slots),
                     MSGPACK_NVP("t", state), MSGPACK_NVP("b", started_ms),
                     MSGPACK_NVP("q", sequence), MSGPACK_NVP("c", cold_left_ms),
                     MSGPACK_NVP("h", home), MSGPACK_NVP("x", is_silent),
                     MSGPACK_NVP("o", is_restored))
};

} // namespace kingcupshunt::fleet
