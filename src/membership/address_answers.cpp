#include "kingcupshunt/membership/address_answers.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "kingcupshunt/base/rendezvous.h"

namespace kingcupshunt::membership {

namespace {

struct candidate {
  const fleet_member* member = nullptr;
  int badness = 0;
  bool is_far = false;
  std::uint64_t weight = 0;
};

// Greater is worse. An overloaded instance still serves; one that is not fresh refuses every keyed
// request; a dead one answers nothing.
int badness_of(const fleet_member& member, const member_condition& c, double overload) noexcept {
  if (!member.is_active || !c.is_alive) {
    return 5;
  }
  if (c.is_leaving) {
    return 4;
  }
  if (!c.is_fresh) {
    return 3;
  }
  if (!c.is_healthy) {
    return 2;
  }
  return c.load >= overload ? 1 : 0;
}

std::vector<candidate> least_bad(const address_settings& settings, const fleet_view& view,
                                 std::span<const member_condition> conditions,
                                 std::string_view data_centre) {
  std::vector<candidate> out;
  int least = std::numeric_limits<int>::max();
  for (std::size_t i = 0; i < view.members.size() && i < conditions.size(); ++i) {
    const auto& member = view.members[i];
    if (member.entry_address.empty()) {
      continue;
    }
    const int badness = badness_of(member, conditions[i], settings.overload);
    least = std::min(least, badness);
    out.push_back({&member, badness, member.data_centre != data_centre, 0});
  }
  std::erase_if(out, [least](const candidate& c) { return c.badness != least; });
  return out;
}

void keep_spread(std::vector<candidate>& candidates, std::string_view workspace,
                 std::size_t spread) {
  if (spread == 0 || candidates.size() <= spread) {
    return;
  }
  for (auto& c : candidates) {
    c.weight = base::rendezvous_weight(workspace, c.member->id);
  }
  std::ranges::sort(candidates, [](const candidate& a, const candidate& b) {
    return std::tie(b.weight, a.member->id) < std::tie(a.weight, b.member->id);
  });
  candidates.resize(spread);
}

} // namespace

address_answer answer_addresses(const address_settings& settings, const fleet_view& view,
                                std::span<const member_condition> conditions,
                                const address_request& request) {
  auto candidates = least_bad(settings, view, conditions, request.data_centre);
  address_answer out;
  out.is_degraded = candidates.empty() || candidates.front().badness != 0;
  out.lifetime = out.is_degraded ? settings.degraded_lifetime : settings.lifetime;
  keep_spread(candidates, request.workspace, request.spread);
  for (auto& c : candidates) {
    c.weight = base::rendezvous_weight(request.caller, c.member->id);
  }
  std::ranges::sort(candidates, [](const candidate& a, const candidate& b) {
    return std::tie(a.is_far, b.weight, a.member->id) < std::tie(b.is_far, a.weight, b.member->id);
  });
  const auto n = std::min(candidates.size(), settings.max_addresses);
  for (std::size_t i = 0; i < n; ++i) {
    out.addresses.push_back(candidates[i].member->entry_address);
  }
  return out;
}

} // namespace kingcupshunt::membership
