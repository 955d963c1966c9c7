#pragma once

#include <optional>
#include <string_view>

#include "kingcupshunt/config/entities.h"

namespace kingcupshunt::config {

/// Name of a kind in documents.
std::string_view name_of(request_kind kind) noexcept;

/// The kind with this name; empty for an unknown one.
std::optional<request_kind> kind_named(std::string_view name) noexcept;

} // namespace kingcupshunt::config
