#pragma once

#include <cstddef>
#include <span>
#include <string>

#include "kingcupshunt/balance/path_monitor.h"
#include "kingcupshunt/base/rng.h"

namespace kingcupshunt::balance {

/// A server that a probe may connect to.
struct probe_candidate {
  std::string service;
  std::string address; ///< as path_monitor counts it
};

/// Chooses the server whose connection tells most about the path, at random among equals: one of a
/// service without failures, since a service may be down as a whole; otherwise one at an address
/// that has not failed; otherwise any. Returns candidates.size() when there is none.
std::size_t choose_probe_target(std::span<const probe_candidate> candidates,
                                const path_monitor& path, base::rng& random);

} // namespace kingcupshunt::balance
