#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupshunt::base {

/// Rendezvous weight of `candidate` for `key`.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) noexcept;

/// Index of the candidate with the greatest weight, or candidates.size() when empty.
std::size_t rendezvous_pick(std::string_view key, std::span<const std::string> candidates) noexcept;

/// Indices of all candidates by falling weight. Removing one candidate keeps the order of the rest.
std::vector<std::size_t> rendezvous_order(std::string_view key,
                                          std::span<const std::string> candidates);

} // namespace kingcupshunt::base
