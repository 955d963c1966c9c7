#include "kingcupshunt/config/key_table.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace kingcupshunt::config {

namespace {

constexpr auto no_workspace = std::numeric_limits<std::uint32_t>::max();

} // namespace

key_prefix prefix_of(std::span<const std::uint8_t> sha256) noexcept {
  key_prefix out{};
  std::copy_n(sha256.begin(), std::min(sha256.size(), out.size()), out.begin());
  return out;
}

key_table::key_table(const key_table& base, std::span<const issued_key_change> changes)
    : workspaces_(base.workspaces_) {
  std::unordered_map<std::string_view, std::uint32_t> positions;
  for (const auto& name : base.workspaces_) {
    positions.emplace(name, static_cast<std::uint32_t>(positions.size()));
  }
  std::vector<row> changed;
  changed.reserve(changes.size());
  for (const auto& c : changes) {
    auto at = no_workspace;
    if (!c.workspace.empty()) {
      const auto next = static_cast<std::uint32_t>(workspaces_.size());
      at = positions.try_emplace(c.workspace, next).first->second;
      if (at == next) {
        workspaces_.push_back(c.workspace);
      }
    }
    changed.push_back({c.prefix, at});
  }
  std::ranges::stable_sort(changed, {}, &row::prefix);
  rows_.reserve(base.rows_.size() + changed.size());
  auto old = base.rows_.begin();
  for (auto it = changed.begin(); it != changed.end(); ++it) {
    if (std::next(it) != changed.end() && std::next(it)->prefix == it->prefix) {
      continue; // the last change of a key counts
    }
    const auto next =
        std::lower_bound(old, base.rows_.end(), it->prefix,
                         [](const row& r, const key_prefix& p) { return r.prefix < p; });
    rows_.insert(rows_.end(), old, next);
    old = next != base.rows_.end() && next->prefix == it->prefix ? std::next(next) : next;
    if (it->workspace != no_workspace) {
      rows_.push_back(*it);
    }
  }
  rows_.insert(rows_.end(), old, base.rows_.end());
  drop_unused_workspaces();
}

void key_table::drop_unused_workspaces() {
  std::vector<std::uint32_t> moved(workspaces_.size(), no_workspace);
  std::vector<std::string> used;
  for (auto& r : rows_) {
    auto& to = moved[r.workspace];
    if (to == no_workspace) {
      to = static_cast<std::uint32_t>(used.size());
      used.push_back(std::move(workspaces_[r.workspace]));
    }
    r.workspace = to;
  }
  workspaces_ = std::move(used);
}

const std::string* key_table::find(const base::sha256_digest& sha256) const noexcept {
  const auto prefix = prefix_of(sha256);
  // The time shows where a hash stands among the others, which tells nothing about a key.
  const auto it = std::ranges::lower_bound(rows_, prefix, {}, &row::prefix);
  if (it == rows_.end() || !base::is_equal_constant_time(it->prefix, prefix)) {
    return nullptr;
  }
  return &workspaces_[it->workspace];
}

} // namespace kingcupshunt::config
