// Queueing of requests on an entry until a server has a free slot.

#include <algorithm>
#include <limits>
#include <utility>

#include "entry_traffic.h"
#include "request_facts.h"

namespace kingcupshunt::node {

admission::gate_capacity entry_traffic::capacity_of(const std::string& service,
                                                    base::time_point now) const {
  admission::gate_capacity out;
  out.free_slots = board_.free_slots(service, now);
  out.starts_per_second = board_.starts_per_second(service, now) / link_.entry_count();
  if (board_.is_left(service, now)) {
    out.free_slots = std::numeric_limits<std::uint32_t>::max(); // `pick` refuses them at once
  }
  return out;
}

void entry_traffic::enter_gate(const proxy::authorized_request& request,
                               std::function<void(proxy::decided<void>)> done) {
  const auto now = base::clock::now();
  const auto& service = request.service->name;
  admission::gate_request turn;
  turn.rank = rank_of(request);
  turn.latest_start =
      request.deadline - board_.mean_response_time(service).value_or(base::duration{});
  if (auto refused = refusal_of_pause(service, now)) {
    board_.note_refused(service, now);
    done(std::move(*refused));
    return;
  }
  gates_[service].enter(turn, capacity_of(service, now), now,
                        [this, service, done = std::move(done)](admission::gate_result refused) {
                          if (!refused) {
                            done(base::success());
                          } else {
                            const auto at = base::clock::now();
                            board_.note_refused(service, at);
                            if (auto paused = refusal_of_pause(service, at)) {
                              done(std::move(*paused));
                              return;
                            }
                            done(not_run(503, "servers_full",
                                         "no server has a free slot before the deadline",
                                         overload_retry_after));
                          }
                        });
}

void entry_traffic::dispatch(const std::string& service, base::time_point now) {
  const auto it = gates_.find(service);
  if (it != gates_.end() && it->second.waiting() > 0 && board_.pause_end(service, now)) {
    it->second.refuse_all(admission::gate_refusal::paused);
    return;
  }
  // One request at a time, so that each takes its slot before free slots are read again.
  while (it != gates_.end() && it->second.waiting() > 0) {
    auto capacity = capacity_of(service, now);
    const auto before = it->second.waiting();
    capacity.free_slots = std::min<std::uint32_t>(capacity.free_slots, 1);
    if (it->second.dispatch(capacity, now) == 0 || it->second.waiting() >= before ||
        capacity_of(service, now).free_slots == 0) {
      break;
    }
  }
}

} // namespace kingcupshunt::node
