#include "kingcupshunt/rates/attachment.h"

#include <algorithm>

namespace kingcupshunt::rates {

namespace {

// An instance that has ended without notice is one that is cut off, as far as an owner can tell.
constexpr base::seconds detached_retention{30};
// A shorter pause is within the time for which a request waits for its token.
constexpr base::milliseconds pause_limit{250};
// Buckets are full again after this time, or their burst is small beside their rate.
constexpr base::seconds recent_time{60};
constexpr std::size_t max_recent = 64;

} // namespace

std::size_t attachment::count_attached() const noexcept {
  return static_cast<std::size_t>(
      std::ranges::count_if(instances_, [](const auto& item) { return item.second.is_attached; }));
}

double attachment::share() const noexcept {
  return instances_.empty()
             ? 1
             : static_cast<double>(count_attached()) / static_cast<double>(instances_.size());
}

attachment_change attachment::change_at(base::time_point now) const {
  attachment_change out;
  out.at = now;
  out.share = share();
  return out;
}

void attachment::remember(const std::vector<attachment_change>& changes) {
  recent_.insert(recent_.end(), changes.begin(), changes.end());
  while (!recent_.empty() &&
         (recent_.size() > max_recent || recent_.back().at - recent_.front().at > recent_time)) {
    recent_.pop_front();
  }
}

std::vector<attachment_change> attachment::check(base::time_point now) {
  std::vector<attachment_change> out;
  const auto before = count_attached();
  const auto all = static_cast<double>(instances_.size());
  std::size_t n = 0;
  double lost_s = 0;
  bool is_forgotten = false;
  for (auto it = instances_.begin(); it != instances_.end();) {
    auto& i = it->second;
    const auto unheard = now - i.heard_at;
    const bool is_due = unheard > detach_after;
    if (is_due && (i.is_leaving || unheard > detached_retention)) {
      it = instances_.erase(it);
      is_forgotten = true;
      continue;
    }
    if (is_due && i.is_attached) {
      i.is_attached = false;
      lost_s += base::to_seconds(unheard) / all;
      ++n;
    }
    ++it;
  }
  const auto gap = checked_at_ ? now - *checked_at_ : base::duration{};
  checked_at_ = now;
  if (n > 0 || is_forgotten) {
    auto change = change_at(now);
    change.left = before == 0 ? 0 : static_cast<double>(n) / static_cast<double>(before);
    change.lost_s = lost_s;
    out.push_back(change);
  } else if (gap > pause_limit && before > 0) {
    auto change = change_at(now);
    change.lost_s = base::to_seconds(gap) * change.share;
    change.is_pause = true;
    out.push_back(change);
  }
  remember(out);
  return out;
}

std::vector<attachment_change> attachment::note_heard(std::string_view id, bool is_leaving,
                                                      base::time_point now) {
  auto out = check(now); // before this instance counts as heard: the owner may have been paused
  const auto it = instances_.find(id);
  if (it != instances_.end() && it->second.is_attached) {
    it->second.heard_at = now;
    it->second.is_leaving = is_leaving;
    return out;
  }
  instances_.insert_or_assign(std::string(id), instance{now, is_leaving, true});
  const auto change = change_at(now);
  remember({change});
  out.push_back(change);
  return out;
}

} // namespace kingcupshunt::rates
