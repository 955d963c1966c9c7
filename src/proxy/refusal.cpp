#include "kingcupshunt/proxy/refusal.h"

#include <nlohmann/json.hpp>

namespace kingcupshunt::proxy {

const char* to_string(ran_state ran) noexcept {
  switch (ran) {
  case ran_state::no:
    return "no";
  case ran_state::unknown:
    return "unknown";
  case ran_state::yes:
    return "yes";
  }
  return "unknown";
}

refusal refused_for_memory() {
  // About the time in which other requests end and stalled ones are found.
  constexpr base::milliseconds retry_after{1000};
  return refusal{503, "no_memory", "the instance has no memory left for the request", ran_state::no,
                 retry_after};
}

std::string refusal_body(const refusal& r, const std::string& request_id) {
  const nlohmann::json body = {{"reason", r.reason},
                               {"message", r.message},
                               {"ran", to_string(r.ran)},
                               {"request_id", request_id}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace kingcupshunt::proxy
