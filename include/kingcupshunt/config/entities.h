#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/base/time.h"

namespace kingcupshunt::config {

/// Order in which requests of one service are served under overload.
enum class request_class : std::uint8_t { critical, normal, deferrable };

struct service {
  std::string name;
  double floor = 0.5; ///< share of the announced capacity that ejection never goes below, 0 to 1
  base::sha256_digest secret_sha256{}; ///< hash of the secret that announcements carry
  std::uint32_t queue_limit = 64;      ///< requests waiting on one instance
  base::milliseconds timeout{5000};    ///< whole time of a request unless its route states one
  std::string health_path = "/healthz";
  std::uint32_t max_connections = 330; ///< per upstream, over all instances
};

struct route {
  std::string name;
  std::string service;
  std::string host;                 ///< empty: any host
  std::string prefix;               ///< path prefix by whole segments, starts with '/'
  std::vector<std::string> methods; ///< empty: any method
  bool is_open = false;             ///< served without a key
  bool is_repeatable = true;        ///< false: at most once for an idempotency key
  bool is_hedged = false;           ///< a late lookup may be sent a second time
  request_class priority = request_class::normal;
  base::milliseconds timeout{0};           ///< 0: the service's timeout
  std::uint64_t body_limit = 64ULL << 20U; ///< bytes
};

struct workspace {
  std::string name;
  double rate = 10;  ///< requests per second over the whole fleet
  double burst = 20; ///< requests
  double weight = 1; ///< share of a contended service
};

struct key {
  std::string name;
  std::string workspace;
  base::sha256_digest sha256{}; ///< hash of the key; the key itself is stored nowhere
  bool is_withdrawn = false;
};

} // namespace kingcupshunt::config
