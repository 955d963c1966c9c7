#include "kind_names.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kingcupshunt::config {

namespace {

constexpr std::array<std::pair<request_kind, std::string_view>, 5> names = {{
    {request_kind::repeatable, "repeatable"},
    {request_kind::download, "download"},
    {request_kind::once, "once"},
    {request_kind::upload, "upload"},
    {request_kind::keyed_once, "keyed_once"},
}};

} // namespace

std::string_view name_of(request_kind kind) noexcept {
  const auto* it =
      std::ranges::find(names, kind, &std::pair<request_kind, std::string_view>::first);
  return it == names.end() ? std::string_view{} : it->second;
}

std::optional<request_kind> kind_named(std::string_view name) noexcept {
  const auto* it =
      std::ranges::find(names, name, &std::pair<request_kind, std::string_view>::second);
  return it == names.end() ? std::nullopt : std::optional(it->first);
}

} // namespace kingcupshunt::config
