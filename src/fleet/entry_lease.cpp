#include "kingcupshunt/fleet/entry_lease.h"

#include <algorithm>
#include <functional>

namespace kingcupshunt::fleet {

namespace {

/// More than one, since the newest answer may report an entry that is not committed yet, while an
/// older one still proves freshness.
constexpr std::size_t max_answers_per_voter = 8;

} // namespace

void entry_lease::set_voters(std::span<const std::string> voters, std::uint64_t index) {
  if (index < voters_index_ || voters.empty()) {
    return;
  }
  voters_index_ = index;
  voters_.assign(voters.begin(), voters.end());
  std::erase_if(answers_, [&](const auto& item) {
    return std::ranges::find(voters_, item.first) == voters_.end();
  });
}

void entry_lease::note_answer(std::string_view voter, time_point sent, std::uint64_t held) {
  if (std::ranges::find(voters_, voter) == voters_.end()) {
    return;
  }
  auto it = answers_.find(voter);
  if (it == answers_.end()) {
    it = answers_.emplace(std::string(voter), std::vector<answer>{}).first;
  }
  it->second.push_back({sent, held});
  if (it->second.size() > max_answers_per_voter) {
    it->second.erase(it->second.begin());
  }
}

void entry_lease::set_applied(std::uint64_t applied) {
  applied_ = std::max(applied_, applied);
}

entry_lease::time_point entry_lease::valid_until() const {
  std::vector<time_point> sent;
  for (const auto& [voter, answers] : answers_) {
    time_point newest{};
    for (const auto& a : answers) {
      if (a.held <= applied_) {
        newest = std::max(newest, a.sent);
      }
    }
    if (newest != time_point{}) {
      sent.push_back(newest);
    }
  }
  const auto majority = voters_.size() / 2 + 1;
  if (voters_.empty() || sent.size() < majority) {
    return {};
  }
  std::ranges::sort(sent, std::greater<>());
  return sent[majority - 1] + base::shorten_by_drift(length_);
}

} // namespace kingcupshunt::fleet
