#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::proxy {

/// Whether a refused request ran at a backend server.
enum class ran_state : std::uint8_t { no, unknown, yes };

const char* to_string(ran_state ran) noexcept;

/// An answer that kingcupshunt gives in place of a backend server.
struct refusal {
  unsigned status = 503;
  std::string reason;  ///< stable, lower_case, also the label of the refusal counter
  std::string message; ///< for people
  ran_state ran = ran_state::no;
  std::optional<base::milliseconds> retry_after; ///< only when a time is known
  bool is_transient = false; ///< from `hooks::pick`: asking again before the deadline may succeed
};

/// JSON body of a refusal: reason, message, ran, request_id.
std::string refusal_body(const refusal& r, const std::string& request_id);

} // namespace kingcupshunt::proxy
