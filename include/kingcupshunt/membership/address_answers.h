#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/membership/fleet_view.h"

namespace kingcupshunt::membership {

/// What is known of one member when callers ask for addresses.
struct member_condition {
  bool is_alive = true; ///< by the failure detector
  bool is_leaving = false;
  bool is_healthy = true; ///< by its own self watch
  bool is_fresh = true;
  double load = 0.0; ///< share of its capacity in use, 1 is full
};

struct address_settings {
  double overload = 0.9;         ///< load at and above which a member is left out
  std::size_t max_addresses = 4; ///< in one answer without a spread
  base::duration lifetime = base::seconds(5);
  base::duration degraded_lifetime = base::seconds(1); ///< when no member is fit to be used
};

struct address_request {
  std::string_view caller;      ///< key of the caller; equal keys get equal orders
  std::string_view workspace;   ///< key of the workspace; used with a spread
  std::string_view data_centre; ///< of the caller; empty when unknown
  std::size_t spread = 0;       ///< instances that share the workspace's callers; 0: all
};

struct address_answer {
  std::vector<std::string> addresses; ///< entry addresses in the order in which to try them
  base::duration lifetime{};          ///< how long the caller may use the answer
  bool is_degraded = false;           ///< no member was fit; these are the least bad
};

/// Chooses the entry addresses for one caller. `conditions` has one element per member of `view`.
address_answer answer_addresses(const address_settings& settings, const fleet_view& view,
                                std::span<const member_condition> conditions,
                                const address_request& request);

} // namespace kingcupshunt::membership
