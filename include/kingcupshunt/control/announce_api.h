#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/config/entities.h"
#include "kingcupshunt/control/http_message.h"
#include "kingcupshunt/health/upstream.h"

namespace kingcupshunt::control {

struct announce_hooks {
  /// False while this instance has no configuration yet.
  std::function<bool()> is_ready;
  std::function<std::shared_ptr<const config::service>(std::string_view name)> find_service;
  /// Passes a valid announcement to the registry. False when the registry refuses it.
  std::function<bool(const health::announcement&)> announce;
};

/// Reads the JSON body of an announcement. The error is a message for the sender.
base::result<health::announcement, std::string> parse_announcement(const std::string& body);

/// Handler of the announce listener: POST /announce, authenticated by the service's secret.
/// Statuses: 200 accepted, 400 malformed, 401 wrong secret, 404 unknown service or path,
/// 409 refused by the registry, 503 not ready.
http_handler make_announce_handler(announce_hooks hooks);

} // namespace kingcupshunt::control
