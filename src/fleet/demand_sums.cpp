#include "kingcupshunt/fleet/demand_sums.h"

#include <iterator>

namespace kingcupshunt::fleet {

void demand_sums::apply(std::string_view entry, const std::vector<demand_note>& notes,
                        base::time_point now) {
  for (const auto& note : notes) {
    demand_key key{note.service, note.rank};
    const bool is_new = !sums_.contains(key);
    const bool is_beyond =
        note.rank > settings_.max_rank || (is_new && sums_.size() >= settings_.max_services);
    if (is_beyond || (is_new && note.waiting == 0)) {
      continue;
    }
    auto& sum = sums_[std::move(key)];
    sum.is_changed = true;
    if (note.waiting == 0) {
      sum.by_entry.erase(std::string(entry));
    } else {
      sum.by_entry.insert_or_assign(std::string(entry), reported_demand{note.waiting, now});
    }
  }
}

std::vector<demand_note> demand_sums::take(base::time_point now) {
  std::vector<demand_note> out;
  const bool is_refresh = now >= refresh_at_;
  if (is_refresh) {
    refresh_at_ = now + settings_.refresh;
  }
  for (auto it = sums_.begin(); it != sums_.end();) {
    auto& [key, sum] = *it;
    std::erase_if(sum.by_entry,
                  [&](const auto& item) { return now - item.second.at >= settings_.lifetime; });
    std::uint32_t waiting = 0;
    for (const auto& [entry, reported] : sum.by_entry) {
      waiting += reported.waiting;
    }
    if (sum.is_changed || waiting != sum.sent || (is_refresh && waiting > 0)) {
      out.push_back({key.first, key.second, waiting});
      sum.sent = waiting;
      sum.is_changed = false;
    }
    it = sum.by_entry.empty() ? sums_.erase(it) : std::next(it);
  }
  return out;
}

} // namespace kingcupshunt::fleet
