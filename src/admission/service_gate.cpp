#include "kingcupshunt/admission/service_gate.h"

#include <algorithm>
#include <limits>

namespace kingcupshunt::admission {

namespace {

// Bounds the places of a workspace without a sensible weight.
constexpr double min_weight = 0.001;
// Workspaces whose next place is kept for each rank.
constexpr std::size_t max_workspaces = 1024;

} // namespace

double service_gate::place_of(const gate_request& request) {
  if (settings_.order == gate_order::arrival) {
    return 0;
  }
  if (settings_.order == gate_order::latest_start) {
    return base::to_seconds(request.latest_start.time_since_epoch());
  }
  auto& shares = shares_[request.rank];
  if (shares.next_places.size() >= max_workspaces) {
    std::erase_if(shares.next_places,
                  [&](const auto& item) { return item.second <= shares.virtual_time; });
  }
  auto& next = shares.next_places[request.workspace];
  const double place = std::max(next, shares.virtual_time);
  next = place + 1 / std::max(request.weight, min_weight);
  return place;
}

/// The place of a request decides which workspace has the next turn; which of its requests runs,
/// the order of arrival or the latest start decides.
service_gate::waiting_request service_gate::take_first() {
  const auto first = waiting_.begin();
  const auto at = first->first;
  if (settings_.order == gate_order::fair_latest_start) {
    auto soonest = first;
    for (auto it = first; it != waiting_.end() && it->first.rank == at.rank; ++it) {
      if (it->second.workspace == first->second.workspace &&
          it->second.latest_start < soonest->second.latest_start) {
        soonest = it;
      }
    }
    std::swap(first->second, soonest->second);
  }
  auto out = std::move(first->second);
  waiting_.erase(first);
  if (const auto shares = shares_.find(at.rank); shares != shares_.end()) {
    shares->second.virtual_time = std::max(shares->second.virtual_time, at.place);
  }
  forget_shares(at.rank);
  return out;
}

/// Usage of the past must not count against a workspace once nobody waits.
void service_gate::forget_shares(std::uint32_t rank) {
  const auto it = waiting_.lower_bound(order{rank, std::numeric_limits<double>::lowest(), 0});
  if (it == waiting_.end() || it->first.rank != rank) {
    shares_.erase(rank);
  }
}

std::map<std::uint32_t, std::uint32_t> service_gate::waiting_by_rank() const {
  std::map<std::uint32_t, std::uint32_t> out;
  for (const auto& [at, request] : waiting_) {
    ++out[at.rank];
  }
  return out;
}

base::duration service_gate::expected_wait(std::uint32_t rank,
                                           const gate_capacity& capacity) const {
  if (capacity.starts_per_second <= 0) {
    return {};
  }
  const auto ahead = static_cast<double>(
      std::ranges::count_if(waiting_, [&](const auto& item) { return item.first.rank <= rank; }));
  return base::from_seconds((ahead + capacity.waiting_elsewhere + 1) / capacity.starts_per_second);
}

void service_gate::enter(const gate_request& request, const gate_capacity& capacity,
                         base::time_point now, gate_function done) {
  if (capacity.free_slots > waiting_.size()) {
    done(std::nullopt);
    return;
  }
  if (now + expected_wait(request.rank, capacity) > request.latest_start) {
    done(gate_refusal::no_time);
    return;
  }
  gate_function refused;
  if (waiting_.size() >= settings_.queue_limit) {
    const auto last = std::prev(waiting_.end());
    if (last->first.rank <= request.rank) {
      done(gate_refusal::full);
      return;
    }
    refused = std::move(last->second.done);
    waiting_.erase(last);
  }
  waiting_.emplace(
      order{request.rank, place_of(request), ++arrivals_},
      waiting_request{request.latest_start, std::move(done), request.workspace, request.weight});
  if (refused) {
    refused(gate_refusal::full);
  }
}

std::size_t service_gate::dispatch(const gate_capacity& capacity, base::time_point now) {
  std::vector<std::pair<gate_function, gate_result>> completions;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now > it->second.latest_start) {
      completions.emplace_back(std::move(it->second.done), gate_refusal::no_time);
      it = waiting_.erase(it);
    } else {
      ++it;
    }
  }
  std::size_t passed = 0;
  while (!waiting_.empty() && passed < capacity.free_slots) {
    completions.emplace_back(take_first().done, std::nullopt);
    ++passed;
  }
  for (auto& [done, result] : completions) {
    done(result);
  }
  return passed;
}

void service_gate::refuse_all(gate_refusal reason) {
  // A function that is called may enter a request.
  for (auto& [at, request] : std::exchange(waiting_, {})) {
    request.done(reason);
  }
}

} // namespace kingcupshunt::admission
