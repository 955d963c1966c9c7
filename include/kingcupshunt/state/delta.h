#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "kingcupshunt/membership/fleet_view.h"

namespace kingcupshunt::state {

/// Difference between two versions of the fleet view.
struct view_change {
  std::uint64_t version = 0; ///< after the change; 0: the view did not change
  std::vector<membership::fleet_member> changed;
  std::vector<std::string> removed; ///< ids

  MSGPACK_DEFINE_MAP(version, changed, removed)
};

/// What one revision changed. Applied by every instance in order.
struct delta {
  std::uint64_t revision = 0;
  std::string config; ///< JSON of config::make_delta; empty: the configuration did not change
  view_change view;

  MSGPACK_DEFINE_MAP(revision, config, view)
};

/// Whole state that every instance follows, at one revision.
struct image {
  std::uint64_t revision = 0;
  std::string config; ///< merged document as JSON
  membership::fleet_view view;
  /// The view before the last change of it; its majority counts until the change has settled.
  membership::fleet_view former_view;

  MSGPACK_DEFINE_MAP(revision, config, view, former_view)
};

view_change make_view_change(const membership::fleet_view& before,
                             const membership::fleet_view& after);

/// Applies `change`; members stay ordered by id.
void apply_view_change(membership::fleet_view& view, const view_change& change);

} // namespace kingcupshunt::state
