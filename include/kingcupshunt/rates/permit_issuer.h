#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::rates {

struct permit_settings {
  /// A server with a lower limit still gets this many requests per second: only an answer can show
  /// that the limit has ended.
  double min_rate = 0.25;
  /// Permits that cannot be issued accrue to one, plus those of this time.
  base::duration max_accrual = base::milliseconds(250);
};

/// Instances that may receive permits for one server.
struct permit_recipients {
  std::vector<std::string> ids; ///< sorted
  /// Part of the server's limit that this issuer distributes, 0 to 1; other issuers distribute the
  /// rest to other instances.
  double share = 1;
};

/// Permits for one recipient.
struct issued_permit {
  std::string recipient;
  std::string server;
  std::uint32_t permits = 0;
};

/// Distributes the request rates of backend servers that limit them. A server states one limit for
/// all instances together, so each request there needs a permit. Permits are pushed to the
/// recipients in turn and expire if unused. A request therefore never waits for a round trip, and
/// no account of spent permits is needed: the sum of all permits is bounded by the limit.
class permit_issuer {
public:
  explicit permit_issuer(permit_settings settings = {}) : settings_(settings) {}

  /// Sets the limit of a server, requests per second; empty, or more than counts as a limit: it has
  /// none. Returns whether it changed.
  bool set_limit(std::string_view server, std::optional<double> per_second, base::time_point now);
  void clear() { servers_.clear(); }

  /// Permits that have accrued since the last call, at most one element for each server and
  /// recipient. `recipients_of` is called for each server with a limit.
  std::vector<issued_permit>
  issue(const std::function<permit_recipients(std::string_view server)>& recipients_of,
        base::time_point now);

  /// Limits of all servers that have one, by server id.
  std::map<std::string, double, std::less<>> limits() const;
  bool is_empty() const noexcept { return servers_.empty(); }

private:
  struct limited_server {
    double per_second = 0;
    double level = 0; ///< permits accrued
    base::time_point at{};
    std::size_t turn = 0; ///< position of the next recipient
  };

  permit_settings settings_;
  std::map<std::string, limited_server, std::less<>> servers_;
};

} // namespace kingcupshunt::rates
