#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::control {

/// A connection that waits for its caller: for a request, or until an answer is read.
struct waiting_connection {
  std::string_view address;
  base::time_point since; ///< beginning of the wait, or the caller's last progress
};

/// Chooses up to `n` connections to be closed for new ones. Those of the address that has the most
/// go first, and among its own the ones that have waited the longest, so that a caller with many
/// connections loses its own. Returns their positions in `all`.
std::vector<std::size_t> choose_connections_to_close(std::span<const waiting_connection> all,
                                                     std::size_t n);

} // namespace kingcupshunt::control
