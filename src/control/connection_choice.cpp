#include "kingcupshunt/control/connection_choice.h"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace kingcupshunt::control {

std::vector<std::size_t> choose_connections_to_close(std::span<const waiting_connection> all,
                                                     std::size_t n) {
  std::vector<std::size_t> out(all.size());
  std::iota(out.begin(), out.end(), 0);
  std::ranges::sort(out, [&](auto a, auto b) { return all[a].since > all[b].since; });
  // The rank of a connection is the number of newer ones of its address. Closing by rank leaves
  // every address the same number, and an address with fewer all of its own.
  std::unordered_map<std::string_view, std::size_t> newer;
  std::vector<std::size_t> ranks(all.size());
  for (const auto i : out) {
    ranks[i] = newer[all[i].address]++;
  }
  std::ranges::sort(out, [&](auto a, auto b) {
    return ranks[a] != ranks[b] ? ranks[a] > ranks[b] : all[a].since < all[b].since;
  });
  out.resize(std::min(n, out.size()));
  return out;
}

} // namespace kingcupshunt::control
