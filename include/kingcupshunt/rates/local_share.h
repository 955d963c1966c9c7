#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/rates/limit.h"

namespace kingcupshunt::rates {

struct local_share_settings {
  /// Time for which requests that the owner granted count against the share: the window in which
  /// the service-level rule counts the requests of a workspace.
  base::duration window = base::seconds(5);
  std::uint64_t seed = 1; ///< differs between instances
};

/// What an instance knows of the fleet and of the owner of a workspace's rate.
struct share_basis {
  double instances = 0; ///< those that may use a share, at least; 0: not known, nothing is admitted
  /// Latest time at which the owner is known to have granted tokens to anyone; the epoch: none.
  base::time_point granting_at{};
};

/// Share of each workspace's rate that one instance admits while the owner of the rate is
/// unavailable. Its owner leaves out of its own account what the instances that it doesn't hear may
/// admit (see `attachment`), so shares and grants together stay within rate and burst:
///
/// - A share accrues an equal part of the rate from the time at which the owner last granted, and
///   the same part of the tokens that it then had left. It keeps no more than its part of the
///   burst.
/// - Only whole requests are admitted. A part may be far below one, so each share begins with a
///   random fraction: all shares together admit what has accrued, whatever their number.
/// - What the owner has granted to this instance before is taken off.
class local_share {
public:
  explicit local_share(local_share_settings settings = {})
      : settings_(settings), rng_(settings.seed) {}

  /// Takes one request from the share of this instance. Returns false when the share is used up.
  bool take(std::string_view workspace, const limit& workspace_limit, const share_basis& basis,
            base::time_point now);

  /// Counts a request that the owner has granted.
  void note_granted(std::string_view workspace, const limit& workspace_limit, double instances,
                    base::time_point now);

  /// The owner has answered a message of the time `sent`, when it had `free` tokens left.
  void note_answer(std::string_view workspace, double free, base::time_point sent);

private:
  struct share {
    double balance = 0; ///< negative when the owner granted more than the share
    base::time_point balance_at{};
    base::time_point answered_at{};
    double free = 0;           ///< tokens of the owner at that time
    base::time_point since{};  ///< start of the time without the owner
    double first_fraction = 0; ///< of a request, with which the share began then
    double taken = 0;          ///< since then, or expired
  };

  share& refill(std::string_view workspace, const limit& part, base::time_point now);
  bool has_accrued(share& s, const limit& part, const share_basis& basis, base::time_point now);

  local_share_settings settings_;
  base::rng rng_;
  std::map<std::string, share, std::less<>> shares_;
};

} // namespace kingcupshunt::rates
