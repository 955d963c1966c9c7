#pragma once

#include <map>
#include <string>
#include <string_view>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/rates/limit.h"

namespace kingcupshunt::rates {

struct local_share_settings {
  /// Requests at once that an instance may let through on its own, at least, however small its part
  /// of the burst is.
  double min_burst = 3;
  /// Requests that the owner granted count against the share for this long: the time over which the
  /// users count a workspace's requests.
  base::duration window = base::seconds(5);
};

/// What one instance lets through of each workspace's rate while the owner of the rate is away: an
/// equal part, less what the owner has granted to this instance before. Without the latter, the
/// requests that the owner granted and all shares together would exceed rate and burst.
class local_share {
public:
  explicit local_share(local_share_settings settings = {}) : settings_(settings) {}

  /// Takes one request out of the share. `instances` have a part each.
  bool take(std::string_view workspace, const limit& workspace_limit, double instances,
            base::time_point now);

  /// The owner has granted a request.
  void note_granted(std::string_view workspace, const limit& workspace_limit, double instances,
                    base::time_point now);

private:
  struct bucket {
    double tokens = 0; ///< below 0: granted more than the part
    base::time_point at{};
  };

  bucket& refill(std::string_view workspace, const limit& share, base::time_point now);
  limit share_of(const limit& workspace_limit, double instances) const;

  local_share_settings settings_;
  std::map<std::string, bucket, std::less<>> buckets_;
};

} // namespace kingcupshunt::rates
