#include "kingcupshunt/membership/update_queue.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::membership {

void update_queue::add(member_update update, bool is_urgent) {
  std::erase_if(entries_, [&](const entry& e) { return e.update.id == update.id; });
  if (entries_.size() >= capacity_ && !entries_.empty()) {
    entries_.erase(std::ranges::max_element(entries_, [](const entry& a, const entry& b) {
      return a.is_urgent != b.is_urgent ? a.is_urgent : a.sends < b.sends;
    }));
  }
  entries_.push_back({std::move(update), 0, is_urgent});
}

std::vector<member_update> update_queue::take(std::size_t limit, const send_limits& sends) {
  std::vector<member_update> out;
  std::ranges::stable_sort(entries_, [](const entry& a, const entry& b) {
    return a.is_urgent != b.is_urgent ? a.is_urgent : a.sends < b.sends;
  });
  for (std::size_t i = 0; i < std::min(limit, entries_.size()); ++i) {
    out.push_back(entries_[i].update);
    ++entries_[i].sends;
  }
  std::erase_if(entries_, [&sends](const entry& e) {
    return e.sends >= (e.is_urgent ? sends.urgent : sends.ordinary);
  });
  return out;
}

} // namespace kingcupshunt::membership
