// Bounds of messages: of the numbers in them, applied where these are read, and of their sizes.

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "kingcupshunt/config/entities.h"
#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/rates/server_limit.h"

namespace kingcupshunt::fleet {

namespace {

void bound(std::vector<limit_note>& limits) {
  for (auto& note : limits) {
    const auto limit = rates::limit_in_force(note.per_second);
    note.is_limited = note.is_limited && limit;
    note.per_second = limit.value_or(0);
  }
}

void bound(std::vector<server_permits>& permits) {
  for (auto& p : permits) {
    p.permits = std::min(p.permits, rates::max_permits);
  }
}

/// Moves notes from the front of `from` to `to`, as many as there is room for. Their order stays: a
/// later note of a server overrules an earlier one.
template <class T>
void move_notes(std::vector<T>& from, std::vector<T>& to, std::size_t& room) {
  const auto n = std::min(from.size(), room);
  const auto end = from.begin() + static_cast<std::ptrdiff_t>(n);
  to.assign(std::make_move_iterator(from.begin()), std::make_move_iterator(end));
  from.erase(from.begin(), end);
  room -= n;
}

std::size_t notes_of(const load_report& r) {
  return r.loads.size() + r.failures.size() + r.limits.size() + r.cold.size() + r.demands.size();
}

std::size_t notes_of(const permit_grant& g) {
  return g.permits.size() + g.cold.size();
}

} // namespace

std::vector<load_report> in_messages(load_report report) {
  std::vector<load_report> out;
  while (notes_of(report) > max_notes) {
    auto& part = out.emplace_back();
    part.is_full = std::exchange(report.is_full, false);
    part.stamp = report.stamp;
    auto room = max_notes;
    move_notes(report.failures, part.failures, room);
    move_notes(report.limits, part.limits, room);
    move_notes(report.cold, part.cold, room);
    move_notes(report.demands, part.demands, room);
    move_notes(report.loads, part.loads, room);
  }
  out.push_back(std::move(report));
  return out;
}

std::vector<permit_grant> in_messages(permit_grant grant) {
  std::vector<permit_grant> out;
  while (notes_of(grant) > max_notes) {
    auto& part = out.emplace_back();
    part.stamp = grant.stamp;
    part.age_ms = grant.age_ms;
    auto room = max_notes;
    move_notes(grant.permits, part.permits, room);
    move_notes(grant.cold, part.cold, room);
  }
  out.push_back(std::move(grant));
  return out;
}

void limit_report::apply_bounds() {
  bound(limits);
}

void load_report::apply_bounds() {
  bound(limits);
  for (auto& load : loads) {
    load.in_flight = std::min(load.in_flight, max_in_flight);
  }
  for (auto& d : demands) {
    d.waiting = std::min(d.waiting, max_demand);
  }
  std::erase_if(cold, [](const cold_note& note) { return !std::isfinite(note.per_second); });
  for (auto& note : cold) {
    note.per_second = std::clamp(note.per_second, 0.0, config::max_cold_rate);
    note.left_ms = std::min(note.left_ms, static_cast<std::uint32_t>(config::max_warmup_ms));
  }
}

void permit_grant::apply_bounds() {
  bound(permits);
  bound(cold);
}

} // namespace kingcupshunt::fleet
