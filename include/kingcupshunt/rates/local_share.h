#pragma once

#include <map>
#include <string>
#include <string_view>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/rates/limit.h"

namespace kingcupshunt::rates {

struct local_share_settings {
  /// Minimum burst that an instance may admit on its own, however small its share of the
  /// workspace's burst is.
  double min_burst = 3;
  /// Time for which requests that the owner granted count against the share: the window in which
  /// the service-level rule counts the requests of a workspace.
  base::duration window = base::seconds(5);
};

/// Share of each workspace's rate that one instance admits while the owner of the rate is
/// unavailable: an equal part, less what the owner has granted to this instance before. Without
/// that subtraction, the requests granted by the owner and the shares of all instances together
/// would exceed rate and burst.
class local_share {
public:
  explicit local_share(local_share_settings settings = {}) : settings_(settings) {}

  /// Takes one request from the share of this instance, one of `instances`. Returns false when the
  /// share is used up.
  bool take(std::string_view workspace, const limit& workspace_limit, double instances,
            base::time_point now);

  /// Counts a request that the owner has granted.
  void note_granted(std::string_view workspace, const limit& workspace_limit, double instances,
                    base::time_point now);

private:
  struct bucket {
    double tokens = 0; ///< negative when the owner granted more than the share
    base::time_point at{};
  };

  bucket& refill(std::string_view workspace, const limit& share, base::time_point now);
  limit share_of(const limit& workspace_limit, double instances) const;

  local_share_settings settings_;
  std::map<std::string, bucket, std::less<>> buckets_;
};

} // namespace kingcupshunt::rates
