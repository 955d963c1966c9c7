#include "kingcupshunt/state/delta_ring.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::state {

namespace {

// Approximate size of a packed fleet member.
constexpr std::size_t member_bytes = 128;
constexpr std::size_t delta_overhead = 64;

std::size_t size_of(const delta& d) {
  return d.config.size() + delta_overhead +
         (d.view.changed.size() + d.view.removed.size()) * member_bytes;
}

} // namespace

void delta_ring::push(delta d) {
  if (!deltas_.empty() && deltas_.back().revision + 1 != d.revision) {
    clear();
  }
  if (size_of(d) > max_delta_bytes_) {
    clear();
    return;
  }
  bytes_ += size_of(d);
  deltas_.push_back(std::move(d));
  while (deltas_.size() > max_deltas_ || (bytes_ > max_bytes_ && deltas_.size() > 1)) {
    bytes_ -= size_of(deltas_.front());
    deltas_.pop_front();
  }
}

void delta_ring::clear() {
  deltas_.clear();
  bytes_ = 0;
}

std::optional<std::vector<delta>> delta_ring::after(std::uint64_t revision,
                                                    std::size_t max_bytes) const {
  if (!reaches(revision)) {
    return std::nullopt;
  }
  std::vector<delta> out;
  std::size_t total = 0;
  for (auto i = revision + 1 - deltas_.front().revision; i < deltas_.size(); ++i) {
    total += size_of(deltas_[i]);
    if (!out.empty() && total > max_bytes) {
      break;
    }
    out.push_back(deltas_[i]);
  }
  return out;
}

} // namespace kingcupshunt::state
