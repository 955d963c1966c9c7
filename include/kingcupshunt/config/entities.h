#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/base/time.h"

namespace kingcupshunt::config {

/// Order in which requests of one service are served under overload.
enum class request_class : std::uint8_t { critical, normal, deferrable };

/// What may be done with the requests of a route.
enum class request_kind : std::uint8_t {
  repeatable, ///< may run more than once
  download,   ///< repeatable, with answers too large to be held as a whole
  once,       ///< runs at most once for each attempt of its caller
  upload,     ///< as `once`, with a large body: not queued at servers
  keyed_once  ///< runs at most once for an idempotency key, over all attempts
};

constexpr bool is_repeatable(request_kind kind) noexcept {
  return kind == request_kind::repeatable || kind == request_kind::download;
}

/// Bounds of a service's terms for cold servers.
inline constexpr std::uint64_t max_warmup_ms = 600'000;
inline constexpr double max_cold_rate = 1e6; ///< requests per second

struct service {
  std::string name;
  double floor = 0.5; ///< share of the announced capacity that ejection never goes below, 0 to 1
  base::sha256_digest secret_sha256{}; ///< hash of the secret that announcements carry
  std::uint32_t queue_limit = 64;      ///< requests waiting on one instance
  base::milliseconds timeout{5000};    ///< whole time of a request unless its route states one
  std::string health_path = "/healthz";
  std::uint32_t max_connections = 330; ///< per upstream, over all instances
  /// Usual time for which a server is cold after it starts; 0: not stated.
  base::milliseconds warmup{0};
  /// Requests per second that a cold server tolerates from all instances together; 0: no limit.
  double cold_rate = 0;
};

/// One part of a route that is divided between services.
struct route_part {
  std::string service;
  double weight = 0; ///< share of the requests, relative to the other parts
};

struct route {
  std::string name;
  std::string service;              ///< not used when the route has parts
  std::vector<route_part> parts;    ///< services that share the requests by weight
  std::string host;                 ///< empty: any host
  std::string prefix;               ///< path prefix by whole segments, starts with '/'
  std::vector<std::string> methods; ///< empty: any method
  bool is_open = false;             ///< served without a key
  request_kind kind = request_kind::repeatable;
  bool is_hedged = false; ///< a late lookup may be sent a second time
  request_class priority = request_class::normal;
  base::milliseconds timeout{0};           ///< 0: the service's timeout
  base::milliseconds objective{0};         ///< latency objective, 0: none
  std::uint32_t max_tries = 0;             ///< upstreams of one request, 0: the entry's setting
  std::uint32_t rank = 1;                  ///< 0 is served first when a service is short of room
  std::uint64_t body_limit = 64ULL << 20U; ///< bytes

  bool is_repeatable() const noexcept { return config::is_repeatable(kind); }
};

struct workspace {
  std::string name;
  double rate = 10;                  ///< requests per second over the whole fleet
  double burst = 20;                 ///< requests
  double weight = 1;                 ///< share of a contended service
  bool is_unlimited = false;         ///< no rate and burst
  std::optional<std::uint32_t> rank; ///< goes before the rank of the route
};

/// Bounds on what callers send, for all routes.
struct caller_limits {
  std::uint64_t head_bytes = 16ULL << 10U;
  std::uint64_t body_bytes = 64ULL << 20U;
  base::milliseconds head_timeout{10000}; ///< from a request's first byte to its head's end
  base::milliseconds idle_timeout{60000}; ///< connection between two requests
};

struct key {
  std::string name;
  std::string workspace;
  base::sha256_digest sha256{}; ///< hash of the key; the key itself is stored nowhere
  bool is_withdrawn = false;
};

} // namespace kingcupshunt::config
