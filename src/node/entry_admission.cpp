// Queueing of requests on an entry until a server has a free slot.

#include <algorithm>
#include <limits>
#include <utility>

#include "entry_traffic.h"
#include "kingcupshunt/observe/event_log.h"
#include "request_facts.h"

namespace kingcupshunt::node {

using admission::gate_refusal;

namespace {

constexpr base::seconds held_log_interval{1};

const char* name_of(gate_refusal reason) {
  switch (reason) {
  case gate_refusal::no_time:
    return "no_time";
  case gate_refusal::full:
    return "full";
  case gate_refusal::paused:
    return "paused";
  }
  return "";
}

admission::rank_counts counts_of(const admission::service_gate& gate) {
  admission::rank_counts out{};
  for (const auto& [rank, n] : gate.waiting_by_rank()) {
    out[std::min(rank, admission::max_demand_rank)] += n;
  }
  return out;
}

} // namespace

/// True when waiting for a slot is useless, since `pick` refuses the service's requests at once.
bool entry_traffic::is_refused_by_pick(const std::string& service, base::time_point now) const {
  return board_.is_left(service, now) || board_.is_evacuated(service, now) || has_no_path();
}

admission::gate_capacity entry_traffic::capacity_of(const std::string& service,
                                                    base::time_point now) const {
  admission::gate_capacity out;
  out.free_slots = board_.free_slots(service, now);
  out.starts_per_second = board_.starts_per_second(service, now) / link_.entry_count();
  if (const auto it = demands_.find(service); it != demands_.end() && it->second.is_known(now)) {
    out.starts_per_second = board_.starts_per_second(service, now);
  }
  if (is_refused_by_pick(service, now)) {
    out.free_slots = std::numeric_limits<std::uint32_t>::max(); // `pick` refuses them at once
  }
  return out;
}

admission::service_gate& entry_traffic::gate_of(const std::string& service) {
  auto it = gates_.find(service);
  if (it == gates_.end()) {
    admission::gate_settings settings;
    if (runtime_.settings.has_fleet_admission) {
      settings.order = admission::gate_order::fair_latest_start;
      demands_.try_emplace(service, runtime_.seed + ++serial_);
    }
    it = gates_.emplace(service, admission::service_gate(settings)).first;
  }
  return it->second;
}

admission::gate_request entry_traffic::turn_of(const proxy::authorized_request& request) const {
  admission::gate_request turn;
  turn.rank = rank_of(request);
  turn.latest_start = request.deadline -
                      board_.mean_response_time(request.service->name).value_or(base::duration{});
  if (request.workspace) {
    turn.workspace = request.workspace->name;
    turn.weight = request.workspace->weight;
  }
  return turn;
}

void entry_traffic::enter_gate(const proxy::authorized_request& request,
                               std::function<void(proxy::decided<void>)> done) {
  const auto now = base::clock::now();
  const auto& service = request.service->name;
  const auto turn = turn_of(request);
  if (auto refused = refusal_of_pause(service, now)) {
    board_.note_refused(service, now);
    done(std::move(*refused));
    return;
  }
  board_.note_request(service, now);
  auto& gate = gate_of(service);
  auto capacity = capacity_of(service, now);
  const auto demand = demands_.find(service);
  bool must_divide = false;
  if (demand != demands_.end()) {
    must_divide = !is_refused_by_pick(service, now) &&
                  demand->second.limit_entry(capacity, turn.rank, gate.waiting(), now);
  }
  gate.enter(turn, capacity, now,
             [this, service, turn, deadline = request.deadline,
              done = std::move(done)](admission::gate_result refused) {
               if (!refused) {
                 done(base::success());
                 return;
               }
               const auto at = base::clock::now();
               board_.note_refused(service, at);
               if (auto paused = refusal_of_pause(service, at)) {
                 done(std::move(*paused));
                 return;
               }
               done(refusal_of_gate(*refused, service, turn, deadline));
             });
  if (must_divide) {
    dispatch(service, now);
  }
}

proxy::refusal entry_traffic::refusal_of_gate(gate_refusal reason, const std::string& service,
                                              const admission::gate_request& turn,
                                              base::time_point deadline) {
  auto retry_after = overload_retry_after;
  if (const auto it = demands_.find(service); it != demands_.end()) {
    const auto now = base::clock::now();
    auto capacity = capacity_of(service, now);
    capacity.waiting_elsewhere = it->second.elsewhere_up_to(turn.rank, now);
    const auto wait = gate_of(service).expected_wait(turn.rank, capacity);
    retry_after = admission::spread_retry_after(
        wait > base::duration{} ? wait : overload_retry_after, deadline - now, rng_);
    runtime_.metrics.count("gate_refusals_total", name_of(reason));
    ++held_[service].refused;
  }
  return not_run(503, "servers_full", "no server has a free slot before the deadline", retry_after);
}

admission::start_query entry_traffic::start_query_of(const std::string& service,
                                                     base::time_point now) const {
  admission::start_query out;
  if (const auto it = gates_.find(service); it != gates_.end()) {
    out.waiting = counts_of(it->second);
  }
  const auto load = board_.load_of(service, now);
  out.free_slots = capacity_of(service, now).free_slots;
  out.slots = load.slots;
  out.in_flight = load.own;
  out.other_in_flight = load.others;
  out.mean_seconds =
      base::to_seconds(board_.mean_response_time(service).value_or(base::duration{}));
  return out;
}

/// Starts this entry's part of the free slots.
void entry_traffic::dispatch_fleet(const std::string& service, base::time_point now) {
  auto& gate = gate_of(service);
  auto& demand = demands_.find(service)->second;
  const auto free = capacity_of(service, now).free_slots;
  std::size_t started = 0;
  // One request at a time, so that each takes its slot, and a server that refuses it counts as
  // full, before free slots are read again.
  while (gate.waiting() > 0 && demand.count_starts(start_query_of(service, now), now) > 0) {
    auto capacity = capacity_of(service, now);
    capacity.free_slots = std::min<std::uint32_t>(capacity.free_slots, 1);
    if (gate.dispatch(capacity, now) == 0) {
      break;
    }
    demand.note_started(1);
    ++started;
  }
  // Requests that can no longer start in time are refused also when none may start.
  auto none = capacity_of(service, now);
  none.free_slots = 0;
  (void)gate.dispatch(none, now);
  const auto could_start = std::min<std::size_t>(gate.waiting() + started, free);
  note_held(service, could_start - std::min(could_start, started), now);
}

void entry_traffic::add_demands(fleet::load_report& report, base::time_point now) {
  for (auto& [service, demand] : demands_) {
    const auto it = gates_.find(service);
    if (it == gates_.end()) {
      continue;
    }
    for (const auto& d : demand.take_report(counts_of(it->second), now)) {
      report.demands.push_back({service, d.rank, d.waiting});
    }
  }
}

void entry_traffic::learn_demands(const fleet::load_report& total, base::time_point now) {
  if (!runtime_.settings.has_fleet_admission) {
    return;
  }
  for (const auto& note : total.demands) {
    (void)gate_of(note.service);
    auto& demand = demands_.find(note.service)->second;
    demand.learn({note.rank, note.waiting}, now);
    runtime_.metrics.set("demand_elsewhere",
                         demand.elsewhere_up_to(admission::max_demand_rank, now), note.service);
  }
}

/// Writes at most a line a second for each service while requests are held back for others.
void entry_traffic::note_held(const std::string& service, std::size_t held, base::time_point now) {
  if (held == 0) {
    return;
  }
  runtime_.metrics.count("starts_held_back_total", service, static_cast<double>(held));
  auto& count = held_[service];
  count.held += held;
  if (now - count.logged_at < held_log_interval || !may_log(now)) {
    return;
  }
  const auto since = std::exchange(count, {0, 0, now});
  observe::log_info("starts_held_back",
                    {{"service", service},
                     {"held", since.held},
                     {"refused", since.refused},
                     {"waiting", gate_of(service).waiting()},
                     {"waiting_elsewhere", demands_.find(service)->second.elsewhere_up_to(
                                               admission::max_demand_rank, now)}});
}

void entry_traffic::dispatch(const std::string& service, base::time_point now) {
  const auto it = gates_.find(service);
  if (it != gates_.end() && it->second.waiting() > 0 && board_.pause_end(service, now)) {
    it->second.refuse_all(admission::gate_refusal::paused);
    return;
  }
  if (it != gates_.end() && it->second.waiting() > 0 && demands_.contains(service) &&
      !is_refused_by_pick(service, now)) {
    dispatch_fleet(service, now);
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
