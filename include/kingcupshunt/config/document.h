#pragma once

#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "kingcupshunt/config/error.h"

namespace kingcupshunt::config {

/// File name to content. Files are merged in the order of their names.
using files = std::map<std::string, std::string, std::less<>>;

/// Merges all files by RFC 7396: a later file changes only what it states, null removes a member.
/// Errors: not_json with file, line and column.
result<nlohmann::json> merge(const files& all);

/// Name of the last file that states `pointer` or, failing that, its nearest ancestor.
std::string file_stating(const files& all, const std::string& pointer);

/// Difference between two merged documents: {"routes": {"name": entity or null}, ...}. Entities
/// that changed stand whole, so an instance can apply it without holding the documents.
nlohmann::json make_delta(const nlohmann::json& before, const nlohmann::json& after);

} // namespace kingcupshunt::config
