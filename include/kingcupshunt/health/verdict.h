#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace kingcupshunt::health {

/// State of one server as decided by the service's owner.
enum class server_state : std::uint8_t {
  suspected = 1, ///< ranked last, excluded nowhere
  ejected = 2,   ///< gets no traffic, unless the floor prevents it
  probation = 3, ///< returning: gets a small share of the traffic
  path_fault = 4 ///< the path from the receiving instance fails; the server may be healthy
};

const char* to_string(server_state state) noexcept;

/// One server that is not in its normal state. Servers without an entry are normal.
struct server_verdict {
  std::string upstream;
  std::uint8_t state = 0;        ///< server_state
  double severity = 0;           ///< higher is worse; the floor lifts the lowest first
  double weight = 0;             ///< repeatable traffic as a multiple of a normal server's
  std::uint32_t lifetime_ms = 0; ///< from the send time of the echoed evidence
  std::uint32_t hold_ms = 0;     ///< hold time of the ejection, preserved over owner changes
  std::uint32_t flaps = 0;       ///< successive ejections, which lengthen the hold time
  std::string reason;

  MSGPACK_DEFINE_MAP(upstream, state, MSGPACK_NVP("badness", severity), weight, lifetime_ms,
                     hold_ms, flaps, reason)
};

} // namespace kingcupshunt::health
