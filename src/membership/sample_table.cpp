#include "kingcupshunt/membership/sample_table.h"

#include <algorithm>
#include <functional>

namespace kingcupshunt::membership {

void applied_watermark::add(std::uint64_t revision, base::time_point taken_at,
                            std::uint64_t applied) {
  if (revision <= applied) {
    covered_ = std::max(covered_, taken_at);
    return;
  }
  if (next_.taken_at == never) {
    next_ = {revision, taken_at};
  }
  if (taken_at > latest_.taken_at) {
    latest_ = {revision, taken_at};
  }
}

void applied_watermark::set_applied(std::uint64_t applied) {
  if (next_.taken_at != never && next_.revision <= applied) {
    covered_ = std::max(covered_, next_.taken_at);
    next_ = latest_;
  }
  if (latest_.taken_at != never && latest_.revision <= applied) {
    covered_ = std::max(covered_, latest_.taken_at);
    next_ = {};
    latest_ = {};
  }
}

void sample_table::add(std::size_t index, const revision_sample& sample, std::uint64_t applied) {
  auto& e = entries_[index];
  e.watermark.add(sample.revision, sample.taken_at, applied);
  if (sample.taken_at > e.newest.taken_at) {
    e.newest = sample;
  }
}

void sample_table::set_applied(std::uint64_t applied) {
  for (auto& e : entries_) {
    e.watermark.set_applied(applied);
  }
}

base::time_point sample_table::covered_by(std::size_t needed) const {
  if (needed == 0) {
    return base::time_point::max();
  }
  if (needed > entries_.size()) {
    return never;
  }
  std::vector<base::time_point> times;
  times.reserve(entries_.size());
  for (const auto& e : entries_) {
    times.push_back(e.watermark.taken_at());
  }
  const auto nth = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(times.begin(), nth, times.end(), std::greater<>());
  return *nth;
}

} // namespace kingcupshunt::membership
