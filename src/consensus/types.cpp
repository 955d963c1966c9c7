#include "kingcupshunt/consensus/types.h"

#include <algorithm>

namespace kingcupshunt::consensus {

const voter* voter_set::find(std::string_view id) const noexcept {
  const auto it = std::ranges::find(voters, id, &voter::id);
  return it == voters.end() ? nullptr : &*it;
}

} // namespace kingcupshunt::consensus
