#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::balance {

struct path_settings {
  /// Different servers that must have been reachable only through another instance.
  std::size_t cut_off_evidence = 2;
  /// Different servers that must have been reachable directly, to use direct connections again.
  std::size_t recovery_evidence = 2;
  /// Different addresses to which direct connections must have failed, none having succeeded, for
  /// the path to be lost. A probe to a further server must confirm it, since the servers of one
  /// service may all be down.
  std::size_t lost_evidence = 3;
  /// Tunnels that must have failed as well, while any is known. One may lead to an instance that is
  /// cut off too.
  std::size_t lost_tunnel_evidence = 2;
  base::duration evidence_lifetime = base::seconds(3);
  base::duration test_interval = base::milliseconds(300); ///< least time between two probes
};

/// How this instance reaches the backend servers.
enum class path_state : std::uint8_t {
  direct,    ///< by its own connections
  tunnelled, ///< through other instances only
  none       ///< not at all, as far as known
};

const char* to_string(path_state state) noexcept;

enum class probe_way : std::uint8_t { direct, tunnel };

/// Detects that this instance has lost its network path to the backend servers. A server that only
/// other instances reach is evidence against this instance's own path, not against the server.
/// Servers that nobody reaches are evidence against the path only when they are several at
/// different addresses, and when nothing else was reached meanwhile.
class path_monitor {
public:
  explicit path_monitor(path_settings settings = {}) : settings_(settings) {}

  path_state state() const noexcept { return state_; }
  /// Whether the servers cannot be reached directly.
  bool is_cut_off() const noexcept { return state_ != path_state::direct; }
  /// Whether connections to at least two addresses have failed lately and nothing has succeeded
  /// since. What fails meanwhile may be the fault of the path.
  bool is_suspected(base::time_point now) const;

  /// Whether the next connection for a request should be direct.
  bool is_direct_next() const noexcept { return state_ != path_state::tunnelled; }
  /// The probe connection that is due now, if any: while the path is lost, when it is about to be
  /// taken for lost, and when nothing has succeeded for a test interval after a failure. At most
  /// one in each test interval.
  std::optional<probe_way> next_probe(base::time_point now);
  /// Whether the address is among those to which connections have failed lately.
  bool has_failed(std::string_view address) const { return failed_.contains(address); }

  void direct_connected(std::string_view server, base::time_point now);
  void direct_failed(std::string_view address, base::time_point now);
  /// As `direct_failed`, for the last probe.
  void probe_failed(std::string_view address, base::time_point now);
  /// A tunnel has reached the server, which a direct connection has not.
  void only_tunnel_connected(std::string_view server, base::time_point now);
  void tunnel_failed(base::time_point now);
  /// A server has answered on a connection that was established earlier.
  void answered(base::time_point now);
  /// Whether any instance is known that offers tunnels.
  void set_has_tunnels(bool has_tunnels) noexcept { has_tunnels_ = has_tunnels; }

private:
  void enter(path_state state);
  void clear_failures();
  void expire(base::time_point now);
  void check_lost(base::time_point now);

  path_settings settings_;
  path_state state_ = path_state::direct;
  bool has_tunnels_ = false;
  std::set<std::string, std::less<>> evidence_; ///< servers; for direct or tunnelled
  base::time_point evidence_at_{};
  /// Addresses to which connections have failed since the last success, with the last time.
  std::map<std::string, base::time_point, std::less<>> failed_;
  std::size_t failed_tunnels_ = 0;     ///< since the last success
  base::time_point first_failed_at_{}; ///< oldest failure since the last success
  bool is_confirming_ = false;         ///< the last probe began when the path seemed lost
  bool has_probe_confirmed_ = false;   ///< since the last success
  base::time_point tunnel_failed_at_{};
  base::time_point probe_at_{};
  bool was_last_probe_direct_ = false;
};

} // namespace kingcupshunt::balance
