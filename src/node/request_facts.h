#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/proxy/hooks.h"
#include "kingcupshunt/proxy/refusal.h"

namespace kingcupshunt::node {

inline constexpr base::milliseconds overload_retry_after{400}; // about two typical request times

inline proxy::refusal not_run(unsigned status, std::string reason, std::string message,
                              std::optional<base::milliseconds> retry_after = std::nullopt) {
  return {status, std::move(reason), std::move(message), proxy::ran_state::no, retry_after};
}

/// The rank of the workspace takes precedence over that of the route.
inline std::uint32_t rank_of(const proxy::authorized_request& request) {
  const bool has_own = request.workspace && request.workspace->rank;
  return has_own ? *request.workspace->rank : request.route->rank;
}

} // namespace kingcupshunt::node
