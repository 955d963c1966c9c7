#include "kingcupshunt/settings/port_limits.h"

#include <algorithm>

namespace kingcupshunt::settings {

namespace {

/// Descriptors for files and pipes, as the deployment reserves them.
constexpr std::size_t file_descriptors = 200;
/// Shares of the other descriptors. What they leave is for the process's own connections and for
/// those that are accepted only to be closed.
constexpr double caller_share = 0.625;
constexpr double upstream_share = 1.0 / 6;
constexpr double tunnel_share = 1.0 / 32; // each has two
constexpr double entry_peer_share = 1.0 / 16;
constexpr double call_share = 0.25; // control and directory, each
constexpr double control_peer_share = 1.0 / 3;
constexpr double readiness_share = 1.0 / 16;
constexpr double metrics_share = 1.0 / 32;
constexpr std::size_t least_connections = 8;
/// Memory of a connection to a port for calls: the read buffer for a head, the bytes that the
/// system holds and the call itself.
constexpr std::size_t call_connection_bytes = std::size_t{40} * 1024;
/// Shares of the memory: connections of the control and directory ports, each; bodies, and answers.
constexpr std::size_t call_connections_divisor = 8;
constexpr std::size_t call_memory_divisor = 8;
constexpr std::size_t least_call_connections = 64;
/// The read buffer of a connection to another instance, and what it has received meanwhile.
constexpr std::size_t peer_connection_bytes = std::size_t{48} * 1024;
constexpr std::size_t unauthenticated_divisor = 16;
constexpr std::size_t unauthenticated_peers = 1024;
constexpr std::size_t least_receive_bytes = std::size_t{4} * 1024;
constexpr std::size_t greatest_receive_bytes = std::size_t{64} * 1024;

/// Descriptors for sockets; 0: not limited.
std::size_t sockets_of(const role_settings& s, std::size_t most_descriptors) {
  auto all = s.descriptors;
  if (all == 0 || (most_descriptors > 0 && most_descriptors < all)) {
    all = most_descriptors;
  }
  return all - std::min(file_descriptors, all / 2);
}

/// Lowers `limit` to a share of the sockets.
void bound(std::size_t& limit, std::size_t sockets, double share) {
  if (sockets > 0) {
    const auto most = static_cast<std::size_t>(static_cast<double>(sockets) * share);
    limit = std::max(least_connections, std::min(limit, most));
  }
}

/// Connections of the peer port that have yet to prove that they belong to the fleet.
std::size_t unauthenticated_of(const role_settings& s, std::size_t peers) {
  const auto by_memory = s.memory_bytes > 0
                             ? s.memory_bytes / unauthenticated_divisor / peer_connection_bytes
                             : unauthenticated_peers;
  return std::clamp(std::min(by_memory, peers / 2), least_connections, unauthenticated_peers);
}

} // namespace

int receive_buffer_of(std::size_t memory, std::size_t connections) {
  constexpr std::size_t system_factor = 2; // the system takes twice the size that is set
  if (memory == 0 || connections == 0) {
    return 0;
  }
  return static_cast<int>(std::clamp(memory / connections / system_factor, least_receive_bytes,
                                     greatest_receive_bytes));
}

port_limits entry_limits_of(const role_settings& s, std::size_t most_descriptors) {
  port_limits out;
  const auto sockets = sockets_of(s, most_descriptors);
  bound(out.callers, sockets, caller_share);
  if (sockets > 0) {
    out.upstreams = sockets;
    bound(out.upstreams, sockets, upstream_share);
  }
  bound(out.tunnels, sockets, tunnel_share);
  bound(out.peers, sockets, entry_peer_share);
  out.unauthenticated_peers = unauthenticated_of(s, out.peers);
  bound(out.readiness, sockets, readiness_share);
  bound(out.metrics, sockets, metrics_share);
  return out;
}

port_limits control_limits_of(const role_settings& s, std::size_t most_descriptors) {
  port_limits out;
  const auto sockets = sockets_of(s, most_descriptors);
  if (s.memory_bytes > 0) {
    out.call_memory = s.memory_bytes / call_memory_divisor;
    const auto most = std::max(least_call_connections,
                               s.memory_bytes / call_connections_divisor / call_connection_bytes);
    out.control = std::min(out.control, most);
    out.directory = std::min(out.directory, most);
  }
  bound(out.control, sockets, call_share);
  bound(out.directory, sockets, call_share);
  bound(out.peers, sockets, control_peer_share);
  out.unauthenticated_peers = unauthenticated_of(s, out.peers);
  bound(out.metrics, sockets, metrics_share);
  return out;
}

} // namespace kingcupshunt::settings
