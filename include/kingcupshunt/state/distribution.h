#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/state/delta.h"

namespace kingcupshunt::state {

/// Members below one member of the tree.
inline constexpr std::size_t distribution_fan_out = 8;

struct distribution_settings {
  std::string self;
  std::size_t fan_out = distribution_fan_out;
};

/// Pushes deltas along a tree over the active members of the fleet view. Data centres form a tree
/// below the root's; in each one the members form a tree below its first. Loss is repaired by
/// follower::on_behind, so nothing is acknowledged or sent twice here.
class distribution {
public:
  distribution(distribution_settings settings, peer::send_function send);

  void set_view(const membership::fleet_view& view, base::time_point now);

  /// Starts the push of a new revision from this instance.
  void push(const delta& d) { relay(settings_.self, d); }
  /// Passes a delta on that came along the tree of `root`.
  void relay(const std::string& root, const delta& d);

  /// Members to which this instance passes deltas of `root`.
  const std::vector<std::string>& children(const std::string& root);

private:
  std::vector<std::string> find_children(const std::string& root) const;

  distribution_settings settings_;
  peer::send_function send_;
  std::map<std::string, std::vector<std::string>> by_data_centre_;
  std::map<std::string, std::string> data_centre_of_;
  std::map<std::string, std::vector<std::string>> children_; ///< by root, of the present view
};

} // namespace kingcupshunt::state
