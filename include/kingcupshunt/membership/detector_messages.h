#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace kingcupshunt::membership {

/// State of a member as instances tell each other. At equal incarnation the greater one wins.
enum class member_state : std::uint8_t { alive = 0, suspect = 1, failed = 2, left = 3 };

/// News about one member.
struct member_update {
  std::string id;
  std::uint8_t state = 0; ///< a member_state
  std::uint64_t incarnation = 0;

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", id), MSGPACK_NVP("s", state), MSGPACK_NVP("n", incarnation))
};

/// Asks for an acknowledgement; with `origin` on behalf of another instance.
struct probe_message {
  std::uint32_t sequence = 0;
  std::uint64_t incarnation = 0; ///< of the sender
  std::string origin;
  std::uint32_t origin_sequence = 0;
  std::vector<member_update> updates;

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", sequence), MSGPACK_NVP("n", incarnation),
                     MSGPACK_NVP("o", origin), MSGPACK_NVP("q", origin_sequence),
                     MSGPACK_NVP("u", updates))
};

/// Acknowledges a probe; with `target` forwarded from there.
struct probe_ack_message {
  std::uint32_t sequence = 0;
  std::uint64_t incarnation = 0; ///< of the member that was probed
  std::string target;
  bool has_heard_origin = false; ///< the origin's direct probe had arrived
  std::vector<member_update> updates;

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", sequence), MSGPACK_NVP("n", incarnation),
                     MSGPACK_NVP("t", target), MSGPACK_NVP("h", has_heard_origin),
                     MSGPACK_NVP("u", updates))
};

/// Asks the receiver to probe `target` on behalf of the sender.
struct probe_request_message {
  std::uint32_t sequence = 0;
  std::uint64_t incarnation = 0; ///< of the sender
  std::string target;
  std::vector<member_update> updates;

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", sequence), MSGPACK_NVP("n", incarnation),
                     MSGPACK_NVP("t", target), MSGPACK_NVP("u", updates))
};

} // namespace kingcupshunt::membership
