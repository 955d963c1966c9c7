#include "kingcupshunt/admission/service_gate.h"

#include <algorithm>

namespace kingcupshunt::admission {

base::duration service_gate::expected_wait(std::uint32_t rank,
                                           const gate_capacity& capacity) const {
  if (capacity.starts_per_second <= 0) {
    return {};
  }
  const auto ahead = static_cast<double>(
      std::ranges::count_if(waiting_, [&](const auto& item) { return item.first.first <= rank; }));
  return base::from_seconds((ahead + 1) / capacity.starts_per_second);
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
    if (last->first.first <= request.rank) {
      done(gate_refusal::full);
      return;
    }
    refused = std::move(last->second.done);
    waiting_.erase(last);
  }
  waiting_.emplace(order{request.rank, ++arrivals_},
                   waiting_request{request.latest_start, std::move(done)});
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
    completions.emplace_back(std::move(waiting_.begin()->second.done), std::nullopt);
    waiting_.erase(waiting_.begin());
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
