#include "kingcupshunt/membership/held_counter.h"

#include <algorithm>

namespace kingcupshunt::membership {

void held_counter::resize(std::size_t n) {
  reports_.assign(n, {});
  candidate_ = 0;
}

void held_counter::add(std::size_t index, const revision_sample& sample) {
  auto& r = reports_[index];
  if (r.is_self) {
    return;
  }
  if (!r.is_known || r.incarnation != sample.incarnation) {
    // A late sample of the former incarnation only costs time: the next one replaces it again.
    r = {.is_known = true, .incarnation = sample.incarnation, .revision = sample.revision};
    return;
  }
  r.revision = std::max(r.revision, sample.revision);
  if (r.is_counted && sample.taken_at >= formed_at_) {
    r.is_confirmed = true;
  }
}

void held_counter::set_self(std::size_t index, std::uint64_t revision) {
  auto& r = reports_[index];
  r.is_known = true;
  r.is_self = true;
  r.revision = std::max(r.revision, revision);
}

bool held_counter::update(const quorum_function& is_quorum, std::uint64_t applied,
                          base::time_point now) {
  bool has_risen = false;
  if (candidate_ != 0) {
    if (is_quorum([this](auto i) { return reports_[i].is_confirmed; })) {
      held_ = candidate_;
      candidate_ = 0;
      has_risen = true;
    } else if (!is_quorum([this](auto i) { return reports_[i].is_counted; })) {
      candidate_ = 0;
    }
  }
  if (candidate_ == 0) {
    propose(is_quorum, applied, now);
  }
  return has_risen;
}

void held_counter::propose(const quorum_function& is_quorum, std::uint64_t applied,
                           base::time_point now) {
  std::vector<std::uint64_t> revisions;
  for (const auto& r : reports_) {
    if (r.is_known && std::min(r.revision, applied) > held_) {
      revisions.push_back(std::min(r.revision, applied));
    }
  }
  std::ranges::sort(revisions, std::greater<>());
  revisions.erase(std::unique(revisions.begin(), revisions.end()), revisions.end());
  for (const auto revision : revisions) {
    const auto holds = [&](auto i) {
      return reports_[i].is_known && reports_[i].revision >= revision;
    };
    if (!is_quorum(holds)) {
      continue;
    }
    candidate_ = revision;
    formed_at_ = now;
    for (std::size_t i = 0; i < reports_.size(); ++i) {
      reports_[i].is_counted = holds(i);
      reports_[i].is_confirmed = reports_[i].is_counted && reports_[i].is_self;
    }
    return;
  }
}

} // namespace kingcupshunt::membership
