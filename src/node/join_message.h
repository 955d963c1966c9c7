#pragma once

#include <msgpack.hpp>

#include "kingcupshunt/membership/fleet_view.h"

namespace kingcupshunt::node {

/// membership_join: an instance that is not in the fleet view, or stands there with other data,
/// asks the voters to add it.
struct join_message {
  membership::fleet_member member;

  MSGPACK_DEFINE_MAP(member)
};

} // namespace kingcupshunt::node
