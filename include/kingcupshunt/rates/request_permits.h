#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::rates {

/// Time for which an instance may use a permit after it has received it. It is several times the
/// interval of an instance's requests for a service, and bounds the requests that unused permits
/// can add to a server's limit.
inline constexpr base::seconds permit_lifetime{1};

/// Permits of one instance to send requests to one backend server. They matter only while the
/// server limits the rate of its requests; see `permit_issuer`.
class request_permits {
public:
  /// Sets the limit in requests per second from all instances together; empty: no limit. Returns
  /// whether it differs from the one before.
  bool set_limit(std::optional<double> per_second);
  const std::optional<double>& limit() const noexcept { return limit_; }

  void add(std::uint32_t n, base::time_point now);
  /// Adds permits that end at `expires`.
  void add_until(std::uint32_t n, base::time_point expires, base::time_point now);
  /// Permits that have not expired; without a limit the greatest number.
  std::uint32_t available(base::time_point now) const noexcept;
  bool may_send(base::time_point now) const noexcept { return available(now) > 0; }
  /// Uses one permit for a request that is sent now.
  void take(base::time_point now);
  /// Requests sent since the server began to limit its rate.
  std::uint64_t sent() const noexcept { return sent_; }

private:
  struct batch {
    base::time_point expires;
    std::uint32_t permits = 0;
  };

  std::optional<double> limit_;
  std::vector<batch> batches_; ///< ordered by expiry
  std::uint64_t sent_ = 0;
};

} // namespace kingcupshunt::rates
