#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace kingcupshunt::fleet {

/// How an entry instance reaches the backend servers, the best way first.
enum class entry_reach : std::uint8_t { direct, tunnelled, none };

struct address_candidate {
  std::string address; ///< "ip:port" for callers
  entry_reach reach = entry_reach::direct;
};

/// Chooses the addresses that callers are given. The entries with the best reach that any has are
/// all named, others only as far as needed so that at least `min_named_share` of the candidates are
/// named: tunnelled ones first, then those without a path.
std::vector<std::string> choose_addresses(const std::vector<address_candidate>& candidates);

/// An entry then gets at most 2.5 times its usual requests, somewhat more than in the load bursts
/// that it bears (1.4 to 2.2 times). Entries without a path refuse the rest at once and spread it
/// over time.
inline constexpr double min_named_share = 0.4;

} // namespace kingcupshunt::fleet
