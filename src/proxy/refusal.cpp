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

std::string refusal_body(const refusal& r, const std::string& request_id) {
  const nlohmann::json body = {{"reason", r.reason},
                               {"message", r.message},
                               {"ran", to_string(r.ran)},
                               {"request_id", request_id}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace kingcupshunt::proxy
