#include "kingcupshunt/membership/update_queue.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::membership {

void update_queue::add(member_update update) {
  std::erase_if(entries_, [&](const entry& e) { return e.update.id == update.id; });
  if (entries_.size() >= capacity_ && !entries_.empty()) {
    entries_.erase(std::ranges::max_element(entries_, {}, &entry::sends));
  }
  entries_.push_back({std::move(update), 0});
}

std::vector<member_update> update_queue::take(std::size_t limit, std::size_t max_sends) {
  std::vector<member_update> out;
  std::ranges::stable_sort(entries_, {}, &entry::sends);
  for (std::size_t i = 0; i < std::min(limit, entries_.size()); ++i) {
    out.push_back(entries_[i].update);
    ++entries_[i].sends;
  }
  std::erase_if(entries_, [max_sends](const entry& e) { return e.sends >= max_sends; });
  return out;
}

} // namespace kingcupshunt::membership
