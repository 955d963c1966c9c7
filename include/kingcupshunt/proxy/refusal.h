#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::proxy {

/// Whether a refused request has run on a backend server.
enum class ran_state : std::uint8_t { no, unknown, yes };

const char* to_string(ran_state ran) noexcept;

/// An answer that kingcupshunt sends in place of a backend server's.
struct refusal {
  unsigned status = 503;
  std::string reason;  ///< stable snake_case code, also the label of the refusal counter
  std::string message; ///< human-readable
  ran_state ran = ran_state::no;
  std::optional<base::milliseconds> retry_after; ///< only when a time is known
  bool is_transient = false; ///< from `hooks::pick`: a later call before the deadline may succeed
  /// From `hooks::pick`: holds for every server, so that it replaces the failures of earlier tries
  /// if none of them may have run the request.
  bool is_general = false;
};

/// No memory is left for what the caller sends.
refusal refused_for_memory();

/// JSON body of a refusal: reason, message, ran, request_id.
std::string refusal_body(const refusal& r, const std::string& request_id);

} // namespace kingcupshunt::proxy
