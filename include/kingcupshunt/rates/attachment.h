#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::rates {

/// An instance that an owner has not heard for this long is detached: it admits requests by its own
/// share of each rate. Instances send something at least every 500 ms.
inline constexpr base::milliseconds detach_after{700};

/// A change of the instances that an owner hears.
struct attachment_change {
  base::time_point at;
  double share = 1;      ///< attached instances, relative to all
  double left = 0;       ///< instances that were detached now, relative to those attached before
  double lost_s = 0;     ///< seconds of the whole rate that accrued for them since they were heard
  bool is_pause = false; ///< the owner itself stood still; nobody was detached
};

/// Which instances an owner of rates hears. Those that it doesn't hear use shares of the rates, so
/// the owner must not grant these parts to others: neither the accrual from the moment at which an
/// instance was last heard, nor its part of the level.
class attachment {
public:
  /// An instance was heard. Returns the changes since the last call of any function, oldest first.
  std::vector<attachment_change> note_heard(std::string_view id, bool is_leaving,
                                            base::time_point now);
  /// To be called at least every 50 ms: longer intervals count as a pause of this process.
  std::vector<attachment_change> check(base::time_point now);

  /// Attached instances relative to all; 1 when no instance is known.
  double share() const noexcept;
  /// Recent changes, for buckets that are made later; oldest first.
  const std::deque<attachment_change>& recent() const noexcept { return recent_; }

private:
  struct instance {
    base::time_point heard_at{};
    bool is_leaving = false;
    bool is_attached = true;
  };

  std::size_t count_attached() const noexcept;
  attachment_change change_at(base::time_point now) const;
  void remember(const std::vector<attachment_change>& changes);

  std::map<std::string, instance, std::less<>> instances_;
  std::deque<attachment_change> recent_;
  std::optional<base::time_point> checked_at_;
};

} // namespace kingcupshunt::rates
