#pragma once

#include <msgpack.hpp>

#include "kingcupshunt/membership/fleet_view.h"

namespace kingcupshunt::node {

/// membership_join: sent to the voters by an instance that is not in the fleet view, or is there
/// with outdated data. Requests to be added or updated.
struct join_message {
  membership::fleet_member member;

  MSGPACK_DEFINE_MAP(member)
};

} // namespace kingcupshunt::node
