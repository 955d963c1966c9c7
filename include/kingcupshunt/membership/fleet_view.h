#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace kingcupshunt::membership {

/// One instance of the fleet as the replicated state knows it.
struct fleet_member {
  std::string id;            ///< unique in the fleet
  std::string data_centre;   ///< as in the instance's settings
  std::string peer_address;  ///< "ip:port" for other instances
  std::string entry_address; ///< "ip:port" for callers
  bool is_active = true;     ///< false: believed dead or leaving; owns nothing

  MSGPACK_DEFINE_MAP(id, data_centre, peer_address, entry_address, is_active)
};

/// All instances, ordered by id. Majorities count every member, active or not.
struct fleet_view {
  std::uint64_t version = 0; ///< rises with each change of the view
  std::vector<fleet_member> members;

  MSGPACK_DEFINE_MAP(version, members)

  /// The smallest number of members that is more than half.
  std::size_t majority() const noexcept { return members.size() / 2 + 1; }

  /// Member with this id, or null.
  const fleet_member* find(std::string_view id) const noexcept;

  /// Ids of the active members in order.
  std::vector<std::string> active_ids() const;
};

} // namespace kingcupshunt::membership
