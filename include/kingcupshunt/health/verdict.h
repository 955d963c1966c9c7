#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace kingcupshunt::health {

/// State of one server as decided by the service's owner.
enum class server_state : std::uint8_t {
  suspected = 1, ///< ranked last, excluded nowhere
  ejected = 2,   ///< gets no traffic, unless the floor forbids it
  probation = 3, ///< returning: gets a small share
  path_fault = 4 ///< bad only from the instance that is told
};

const char* to_string(server_state state) noexcept;

/// One server that is not in its normal state. Servers without an entry are normal.
struct server_verdict {
  std::string upstream;
  std::uint8_t state = 0;        ///< server_state
  double severity = 0;           ///< greater is worse; the floor lifts the least first
  double weight = 0;             ///< part of a normal server's repeatable traffic
  std::uint32_t lifetime_ms = 0; ///< remaining, from the time of the echoed evidence
  std::uint32_t hold_ms = 0;     ///< hold time of the ejection, kept over owner changes
  std::uint32_t flaps = 0;       ///< ejections in a row that count towards the hold
  std::string reason;

  MSGPACK_DEFINE_MAP(upstream, state, MSGPACK_NVP("badness", severity), weight, lifetime_ms,
                     hold_ms, flaps, reason)
};

} // namespace kingcupshunt::health
