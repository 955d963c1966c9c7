#include "kingcupshunt/membership/group_counter.h"

#include <algorithm>
#include <functional>
#include <numeric>

#include "kingcupshunt/membership/wire_age.h"

namespace kingcupshunt::membership {

namespace {

// Older samples would age the whole aggregate. Two query periods and a round trip fit.
constexpr base::duration max_sample_age = base::milliseconds(1000);

// The floor interval starts this many snapshots ago. Aggregates of different groups are computed
// up to one period apart and their samples are up to one period old, so the intervals of three
// periods overlap by about one period.
constexpr std::size_t snapshots_kept = 4;

// Share of a group's known members that must hold the floor. Below 1, so that a few slow members
// do not hold back the group, and high enough that the sum over all groups is a majority.
constexpr double floor_share = 0.75;

} // namespace

void group_counter::set_view(const fleet_view& view, const fleet_view* previous) {
  groups_ = freshness_groups(view);
  received_.assign(groups_.count(), {});
  snapshots_.clear();
  is_in_previous_.clear();
  for (const auto& member : view.members) {
    is_in_previous_.push_back(previous != nullptr && previous->find(member.id) != nullptr);
  }
}

void group_counter::take_snapshot(std::size_t group, const sample_table& table,
                                  base::time_point now) {
  snapshot s;
  s.at = now;
  for (const auto index : groups_.members(group)) {
    s.samples.push_back(table.at(index).newest);
  }
  snapshots_.push_back(std::move(s));
  if (snapshots_.size() > snapshots_kept) {
    snapshots_.erase(snapshots_.begin());
  }
}

group_aggregate group_counter::count(std::size_t group, const sample_table& table,
                                     base::time_point now) const {
  group_aggregate out;
  auto oldest = base::time_point::max();
  for (const auto index : groups_.members(group)) {
    const auto& sample = table.at(index).newest;
    if (sample.taken_at == never || now - sample.taken_at > max_sample_age) {
      continue;
    }
    ++out.count;
    out.greatest = std::max(out.greatest, sample.revision);
    oldest = std::min(oldest, sample.taken_at);
  }
  out.age = out.count == 0 ? -1 : age_rounded_up(oldest, now);
  count_floor(group, table, now, out);
  return out;
}

void group_counter::count_floor(std::size_t group, const sample_table& table, base::time_point now,
                                group_aggregate& out) const {
  if (snapshots_.size() < snapshots_kept) {
    return;
  }
  const auto& start = snapshots_.front();
  const auto& members = groups_.members(group);
  const auto is_usable = [&](std::size_t at) {
    const auto& then = start.samples[at];
    const auto& newest = table.at(members[at]).newest;
    return then.taken_at != never && newest.incarnation == then.incarnation &&
           newest.taken_at > start.at && now - newest.taken_at <= max_sample_age;
  };
  std::vector<std::uint64_t> revisions;
  for (std::size_t at = 0; at < members.size(); ++at) {
    if (is_usable(at)) {
      revisions.push_back(start.samples[at].revision);
    }
  }
  if (revisions.empty()) {
    return;
  }
  std::ranges::sort(revisions, std::greater<>());
  const auto rank = static_cast<std::size_t>(static_cast<double>(revisions.size()) * floor_share);
  out.floor = revisions[std::min(rank, revisions.size() - 1)];
  auto until = base::time_point::max();
  for (std::size_t at = 0; at < members.size(); ++at) {
    if (is_usable(at) && start.samples[at].revision >= out.floor) {
      ++out.floor_count;
      out.floor_count_old += is_in_previous_[members[at]] ? 1U : 0U;
      until = std::min(until, table.at(members[at]).newest.taken_at);
    }
  }
  out.floor_since = age_rounded_down(start.at, now);
  out.floor_until = age_rounded_up(until, now);
}

void group_counter::add(std::size_t group, const group_aggregate& aggregate,
                        base::time_point sent_at, base::time_point heard_at) {
  const auto size = groups_.members(group).size();
  if (aggregate.count > size || aggregate.floor_count > size ||
      aggregate.floor_count_old > aggregate.floor_count) {
    return;
  }
  received next;
  next.counts = aggregate;
  if (aggregate.age >= 0) {
    next.taken_at = earliest_time(sent_at, aggregate.age);
  }
  if (aggregate.floor_count > 0 && aggregate.floor_until >= 0) {
    next.floor_since = latest_time(heard_at, aggregate.floor_since);
    next.floor_until = earliest_time(sent_at, aggregate.floor_until);
  }
  auto& known = received_[group];
  if (next.taken_at >= known.taken_at) {
    known = next;
  }
}

std::optional<group_counter::certificate> group_counter::majority(std::size_t needed) const {
  std::vector<std::size_t> order(received_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::sort(
      order, [this](auto a, auto b) { return received_[a].taken_at > received_[b].taken_at; });
  std::size_t counted = 0;
  certificate out;
  for (const auto group : order) {
    const auto& r = received_[group];
    if (r.taken_at == never) {
      break;
    }
    counted += r.counts.count;
    out.revision = std::max(out.revision, r.counts.greatest);
    out.taken_at = r.taken_at;
    if (counted >= needed) {
      return out;
    }
  }
  return std::nullopt;
}

std::uint64_t group_counter::held(std::size_t needed, std::size_t needed_old) const {
  // Each group's start is tried as the common moment; a sufficient set has one of these.
  std::uint64_t best = 0;
  for (const auto& candidate : received_) {
    if (candidate.floor_since == never) {
      continue;
    }
    const auto moment = candidate.floor_since;
    std::vector<const received*> overlapping;
    for (const auto& r : received_) {
      if (r.floor_since != never && r.floor_since <= moment && moment <= r.floor_until) {
        overlapping.push_back(&r);
      }
    }
    std::ranges::sort(overlapping, [](const auto* a, const auto* b) {
      return a->counts.floor > b->counts.floor;
    });
    std::size_t counted = 0;
    std::size_t counted_old = 0;
    for (const auto* r : overlapping) {
      counted += r->counts.floor_count;
      counted_old += r->counts.floor_count_old;
      if (counted >= needed && counted_old >= needed_old) {
        best = std::max(best, r->counts.floor);
        break;
      }
    }
  }
  return best;
}

} // namespace kingcupshunt::membership
