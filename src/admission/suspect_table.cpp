#include "kingcupshunt/admission/suspect_table.h"

#include <algorithm>

namespace kingcupshunt::admission {

namespace {

// Incidents kept of one fingerprint. More than the number that refuses it are of no use.
constexpr std::size_t max_incidents = 16;

} // namespace

std::size_t suspect_table::entry::crashes() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(incidents, [&](auto i) { return !cleared.contains(i); }));
}

bool suspect_table::merge(const suspect_record& record, base::time_point now) {
  auto it = entries_.find(record.fingerprint);
  const bool is_new = it == entries_.end();
  if (is_new && record.incidents.empty()) {
    return false;
  }
  if (is_new) {
    evict_oldest();
    it = entries_.emplace(record.fingerprint, entry{}).first;
  }
  auto& e = it->second;
  bool has_changed = false;
  for (const auto id : record.incidents) {
    if (e.incidents.size() < max_incidents && e.incidents.insert(id).second) {
      has_changed = true;
    }
  }
  for (const auto id : record.cleared) {
    if (e.cleared.size() < max_incidents && e.cleared.insert(id).second) {
      has_changed = true;
    }
  }
  if (has_changed) {
    e.updated = now;
  }
  return has_changed;
}

void suspect_table::evict_oldest() {
  if (entries_.size() < limits_.max_suspects) {
    return;
  }
  // Refused fingerprints are kept as long as there is another choice.
  const auto rank = [&](const entry& e) {
    return std::pair(e.crashes() >= limits_.crashes_to_refuse, e.updated);
  };
  const auto oldest = std::ranges::min_element(
      entries_, [&](const auto& a, const auto& b) { return rank(a.second) < rank(b.second); });
  entries_.erase(oldest);
}

std::size_t suspect_table::crashes(std::uint64_t fingerprint) const {
  const auto it = entries_.find(fingerprint);
  return it == entries_.end() ? 0 : it->second.crashes();
}

bool suspect_table::is_refused(std::uint64_t fingerprint) const {
  return crashes(fingerprint) >= limits_.crashes_to_refuse;
}

std::optional<base::time_point> suspect_table::refused_until(std::uint64_t fingerprint) const {
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end() || it->second.crashes() < limits_.crashes_to_refuse) {
    return std::nullopt;
  }
  return it->second.updated + limits_.retention;
}

suspect_record suspect_table::clear(std::uint64_t fingerprint, base::time_point now) {
  suspect_record out;
  out.fingerprint = fingerprint;
  const auto it = entries_.find(fingerprint);
  if (it != entries_.end()) {
    auto& e = it->second;
    out.incidents.assign(e.incidents.begin(), e.incidents.end());
    out.cleared = out.incidents;
    e.cleared.insert(e.incidents.begin(), e.incidents.end());
    e.updated = now;
  }
  return out;
}

void suspect_table::expire(base::time_point now) {
  std::erase_if(entries_,
                [&](const auto& e) { return now - e.second.updated >= limits_.retention; });
}

std::vector<suspect_record> suspect_table::all() const {
  std::vector<suspect_record> out;
  for (const auto& [fingerprint, e] : entries_) {
    out.push_back({fingerprint,
                   {e.incidents.begin(), e.incidents.end()},
                   {e.cleared.begin(), e.cleared.end()}});
  }
  return out;
}

std::vector<std::uint64_t> suspect_table::active() const {
  std::vector<std::uint64_t> out;
  for (const auto& [fingerprint, e] : entries_) {
    if (e.crashes() > 0) {
      out.push_back(fingerprint);
    }
  }
  return out;
}

} // namespace kingcupshunt::admission
