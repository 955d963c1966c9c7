#include "kingcupshunt/fleet/address_choice.h"

#include <utility>

#include "kingcupshunt/base/rendezvous.h"

namespace kingcupshunt::fleet {

std::vector<std::string> choose_addresses(const std::vector<address_candidate>& candidates) {
  const auto share = static_cast<double>(candidates.size()) * min_named_share;
  const auto wanted = static_cast<std::size_t>(share);
  std::vector<std::string> out;
  for (const auto reach : {entry_reach::direct, entry_reach::tunnelled, entry_reach::none}) {
    std::vector<std::string> same;
    for (const auto& c : candidates) {
      if (c.reach == reach) {
        same.push_back(c.address);
      }
    }
    if (out.empty()) {
      out = std::move(same);
      continue;
    }
    // All control instances choose the same ones, independently of the data centre.
    for (const auto i : base::rendezvous_order("addresses", same)) {
      if (out.size() < wanted) {
        out.push_back(same[i]);
      }
    }
  }
  return out;
}

} // namespace kingcupshunt::fleet
