#pragma once

#include <cstdint>
#include <optional>

namespace kingcupshunt::rates {

/// Greatest request rate per second that counts as a limit of a backend server. A server that names
/// more has none: the permits of such a rate would cost more than they could ever keep away.
inline constexpr double max_server_limit = 10'000;

/// Greatest number of permits for one server in a message.
inline constexpr std::uint32_t max_permits = 10'000;

/// The limit in force for a server that names `per_second`; empty when there is none. A number that
/// is negative or not a number counts as 0.
std::optional<double> limit_in_force(double per_second) noexcept;

} // namespace kingcupshunt::rates
