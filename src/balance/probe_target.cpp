#include "kingcupshunt/balance/probe_target.h"

#include <set>
#include <string_view>
#include <vector>

namespace kingcupshunt::balance {

std::size_t choose_probe_target(std::span<const probe_candidate> candidates,
                                const path_monitor& path, base::rng& random) {
  std::set<std::string_view> failed_services;
  for (const auto& c : candidates) {
    if (path.has_failed(c.address)) {
      failed_services.insert(c.service);
    }
  }
  std::vector<std::size_t> of_other_service;
  std::vector<std::size_t> untried;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!failed_services.contains(candidates[i].service)) {
      of_other_service.push_back(i);
    }
    if (!path.has_failed(candidates[i].address)) {
      untried.push_back(i);
    }
  }
  const auto& chosen = of_other_service.empty() ? untried : of_other_service;
  return chosen.empty() ? static_cast<std::size_t>(random.below(candidates.size()))
                        : chosen[random.below(chosen.size())];
}

} // namespace kingcupshunt::balance
