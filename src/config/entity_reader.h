#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "kingcupshunt/config/entities.h"
#include "kingcupshunt/config/error.h"

namespace kingcupshunt::config {

result<service> read_service(const std::string& name, const nlohmann::json& object);
result<route> read_route(const std::string& name, const nlohmann::json& object);
result<workspace> read_workspace(const std::string& name, const nlohmann::json& object);
result<caller_limits> read_limits(const std::string& name, const nlohmann::json& object);
result<key> read_key(const std::string& name, const nlohmann::json& object);

} // namespace kingcupshunt::config
