#pragma once

#include <cstddef>

#include "kingcupshunt/settings/role_settings.h"

namespace kingcupshunt::settings {

/// How the ports of a process that plays one role divide its descriptors and memory, so that
/// clients of one port can't take what the others need. All connections are open ones.
struct port_limits {
  std::size_t callers = 8000;   ///< entry
  std::size_t upstreams = 0;    ///< entry: connections to backend servers; 0: not limited
  std::size_t tunnels = 2000;   ///< entry: of two connections each
  std::size_t readiness = 64;   ///< entry
  std::size_t control = 1024;   ///< control: announcements and operators
  std::size_t directory = 1024; ///< control
  std::size_t metrics = 16;     ///< both
  std::size_t peers = 8192;     ///< both: accepted from other instances
  std::size_t unauthenticated_peers = 1024; ///< of these, before they prove that they are instances
  std::size_t call_memory = 32U << 20U;     ///< bytes: bodies of calls, and as much for answers
};

/// Limits of an entry. `most_descriptors` is the system's limit for the process; 0: none.
port_limits entry_limits_of(const role_settings& s, std::size_t most_descriptors);

/// Receive buffer of each of `connections`, in bytes, with which the system holds `memory` bytes
/// for all of them at most. 0: the system's own, when the memory or their number is not known.
int receive_buffer_of(std::size_t memory, std::size_t connections);

/// Limits of a control instance.
port_limits control_limits_of(const role_settings& s, std::size_t most_descriptors);

} // namespace kingcupshunt::settings
