#include "kingcupshunt/base/rendezvous.h"

#include <algorithm>
#include <numeric>

#include "kingcupshunt/base/hash.h"

namespace kingcupshunt::base {

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) noexcept {
  return hash64(candidate, hash64(key));
}

std::size_t rendezvous_pick(std::string_view key,
                            std::span<const std::string> candidates) noexcept {
  std::size_t best = candidates.size();
  std::uint64_t best_weight = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto weight = rendezvous_weight(key, candidates[i]);
    if (best == candidates.size() || weight > best_weight) {
      best = i;
      best_weight = weight;
    }
  }
  return best;
}

std::vector<std::size_t> rendezvous_order(std::string_view key,
                                          std::span<const std::string> candidates) {
  std::vector<std::uint64_t> weights;
  weights.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    weights.push_back(rendezvous_weight(key, candidate));
  }
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::sort(order, [&](auto a, auto b) {
    return weights[a] != weights[b] ? weights[a] > weights[b] : candidates[a] < candidates[b];
  });
  return order;
}

} // namespace kingcupshunt::base
