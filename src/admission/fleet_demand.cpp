#include "kingcupshunt/admission/fleet_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace kingcupshunt::admission {

namespace {

constexpr double min_retry_after_ms = 100;
constexpr double max_retry_after_ms = 10'000;
/// Width of the spread, relative to the expected wait.
constexpr double shortest_share = 0.5;
constexpr double longest_share = 1.5;
/// Rounding errors of the carried fraction must not cost a start.
constexpr double rounding = 1e-9;

std::size_t index_of(std::uint32_t rank) {
  return std::min(rank, max_demand_rank);
}

std::uint32_t sum_of(const rank_counts& counts) {
  return std::accumulate(counts.begin(), counts.end(), 0U);
}

/// Part of `slots` that is due to `own` requests beside those that wait elsewhere.
double own_part(double slots, const rank_counts& own, const rank_counts& others) {
  double out = 0;
  for (std::size_t rank = 0; rank < own.size() && slots > 0; ++rank) {
    const double all = static_cast<double>(own[rank]) + others[rank];
    if (all > 0) {
      const double given = std::min(slots, all);
      out += given * own[rank] / all;
      slots -= given;
    }
  }
  return out;
}

} // namespace

fleet_demand::fleet_demand(std::uint64_t seed, fleet_demand_settings settings)
    : settings_(settings), credit_(base::rng(seed).unit()) {}

std::vector<rank_demand> fleet_demand::take_report(const rank_counts& waiting,
                                                   base::time_point now) {
  std::vector<rank_demand> out;
  const bool is_refresh = now >= refresh_at_;
  for (std::uint32_t rank = 0; rank <= max_demand_rank; ++rank) {
    auto& r = ranks_[rank];
    if (waiting[rank] != r.reported || (is_refresh && waiting[rank] > 0)) {
      r.reported = waiting[rank];
      out.push_back({rank, waiting[rank]});
    }
  }
  if (is_refresh && !out.empty()) {
    refresh_at_ = now + settings_.refresh;
  }
  return out;
}

void fleet_demand::learn(const rank_demand& sum, base::time_point now) {
  auto& r = ranks_[index_of(sum.rank)];
  r.elsewhere = sum.waiting - std::min(sum.waiting, r.reported);
  r.learned_at = now;
  learned_at_ = now;
}

void fleet_demand::change_relay() {
  for (auto& r : ranks_) {
    r = {};
  }
  learned_at_ = {};
  refresh_at_ = {};
}

bool fleet_demand::is_known(base::time_point now) const {
  return learned_at_ != base::time_point{} && now - learned_at_ < settings_.lifetime;
}

rank_counts fleet_demand::elsewhere(base::time_point now) const {
  rank_counts out{};
  for (std::size_t rank = 0; rank < out.size(); ++rank) {
    const auto& r = ranks_[rank];
    const bool is_valid =
        r.learned_at != base::time_point{} && now - r.learned_at < settings_.lifetime;
    out[rank] = is_valid ? r.elsewhere : 0;
  }
  return out;
}

std::uint32_t fleet_demand::elsewhere_up_to(std::uint32_t rank, base::time_point now) const {
  const auto others = elsewhere(now);
  return std::accumulate(others.begin(),
                         others.begin() + static_cast<std::ptrdiff_t>(index_of(rank)) + 1, 0U);
}

bool fleet_demand::limit_entry(gate_capacity& capacity, std::uint32_t rank,
                               std::size_t waiting_here, base::time_point now) const {
  const auto all = elsewhere_up_to(max_demand_rank, now);
  capacity.waiting_elsewhere = elsewhere_up_to(rank, now);
  if (all > 0 && capacity.free_slots <= waiting_here + all) {
    capacity.free_slots = 0;
  }
  return all > 0;
}

/// Offers end when the starts they led to show in the load totals. What nobody took is then
/// divided again.
void fleet_demand::forget_offers(double available, base::time_point now) {
  while (!offers_.empty() && now - offers_.front().at >= settings_.settle) {
    offered_ -= offers_.front().slots;
    offers_.pop_front();
  }
  while (!offers_.empty() && offered_ > available) {
    const double excess = std::min(offered_ - available, offers_.front().slots);
    offers_.front().slots -= excess;
    offered_ -= excess;
    if (offers_.front().slots <= rounding) {
      offered_ -= offers_.front().slots;
      offers_.pop_front();
    }
  }
  offered_ = offers_.empty() ? 0 : std::max(offered_, 0.0);
}

/// A slot that a request of this entry has freed is free for longer when others must first learn of
/// it. The entry keeps it unless a higher rank waits elsewhere or it already uses more than its
/// part of the slots.
bool fleet_demand::is_own_slot_kept(const start_query& query, const rank_counts& others) const {
  for (std::size_t rank = 0; rank < others.size(); ++rank) {
    const double own = query.waiting[rank];
    if (own > 0) {
      const double all = own + others[rank];
      const double used = static_cast<double>(query.in_flight) + query.other_in_flight + 1;
      return query.in_flight < used * own / all;
    }
    if (others[rank] > 0) {
      return false;
    }
  }
  return false;
}

std::uint32_t fleet_demand::count_starts(const start_query& query, base::time_point now) {
  const auto ended = std::exchange(ended_, 0);
  const auto own = sum_of(query.waiting);
  const auto others = elsewhere(now);
  if (sum_of(others) == 0) {
    offers_.clear();
    offered_ = 0;
    return std::min(own, query.free_slots);
  }
  const double free = query.free_slots;
  const double in_flight = double(query.in_flight) + query.other_in_flight;
  // A slot that looks free here may have been taken, so that requests queue at one server beside a
  // free slot of another. The sum of requests in flight bounds these queues.
  const double room = std::min(free, settings_.max_use * query.slots - in_flight);
  // Load totals show starts and ends of other entries late. As many requests end meanwhile as
  // start, so without this term slots in the amount of the starts of that time would stay free.
  const double ends =
      query.mean_seconds > 0
          ? query.other_in_flight *
                std::min(base::to_seconds(settings_.settle) / query.mean_seconds, 1.0)
          : 0;
  const double available = std::max(room + ends, 0.0);
  forget_offers(available, now);
  double added = std::max(available - offered_, 0.0);
  if (added > 0) {
    offers_.push_back({now, added});
    offered_ += added;
  }
  if (own == 0) {
    credit_ -= std::floor(credit_);
    return 0;
  }
  if (std::min(free, available) >= static_cast<double>(own) + sum_of(others)) {
    return own; // enough for all that wait
  }
  if (is_own_slot_kept(query, others)) {
    const double kept = std::min<double>(ended, added);
    credit_ += kept;
    added -= kept;
  }
  credit_ += own_part(added, query.waiting, others);
  // A request of a lower rank doesn't start on credit of the past while a higher rank waits
  // elsewhere for all free slots.
  const double limit =
      std::floor(own_part(std::min(free, available), query.waiting, others) + 1 - rounding);
  credit_ = std::min(credit_, own + 1.0);
  const double allowed = std::min({std::floor(credit_ + rounding), limit, free, double(own)});
  return static_cast<std::uint32_t>(std::max(allowed, 0.0));
}

void fleet_demand::note_started(std::uint32_t n) {
  credit_ = std::max(credit_ - n, 0.0);
  double left = n;
  while (left > 0 && !offers_.empty()) {
    const double taken = std::min(left, offers_.front().slots);
    offers_.front().slots -= taken;
    offered_ -= taken;
    left -= taken;
    if (offers_.front().slots > rounding) {
      break;
    }
    offers_.pop_front();
  }
}

base::milliseconds spread_retry_after(base::duration wait, base::duration remaining,
                                      base::rng& rng) {
  const double wait_ms = base::to_seconds(wait) * 1000;
  const double greatest = std::min(max_retry_after_ms, base::to_seconds(remaining) * 1000 / 3 - 1);
  double from = std::max(wait_ms * shortest_share, min_retry_after_ms);
  double to = std::max(wait_ms * longest_share, 2 * min_retry_after_ms);
  if (greatest <= min_retry_after_ms) {
    from = min_retry_after_ms; // no value satisfies both bounds
    to = 2 * min_retry_after_ms;
  } else if (to > greatest) {
    to = greatest;
    from = std::clamp(from, min_retry_after_ms, std::max(min_retry_after_ms, to * shortest_share));
  }
  return base::milliseconds(std::llround(from + (to - from) * rng.unit()));
}

} // namespace kingcupshunt::admission
