#pragma once

#include <functional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "fleet_state.h"
#include "kingcupshunt/control/http_message.h"
#include "runtime.h"
#include "traffic.h"

namespace kingcupshunt::node {

/// What decides whether callers should be sent to this instance.
struct readiness {
  bool is_ready = false;
  std::string reason; ///< why not; empty when ready
};

struct operator_sources {
  const runtime& rt;
  fleet_state& fleet;
  traffic& requests;
  std::function<readiness()> ready;
};

/// Handler of the operator listener: GET /status, /explain, /metrics, /healthz and /config, POST
/// /config/changes. All but /healthz need the operator secret when there is one.
control::http_handler make_operator_handler(operator_sources sources);

/// Reads the body of POST /config/changes. The error is a sentence for the operator.
base::result<state::change_files, std::string> parse_change(const std::string& body);

/// The page of GET /status.
nlohmann::json status_page(const operator_sources& s, base::time_point now);

} // namespace kingcupshunt::node
