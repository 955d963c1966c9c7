#include "kingcupshunt/admission/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace kingcupshunt::admission {

namespace {

// Weight of one run time in the running mean.
constexpr double mean_weight = 0.05;
// The speed of the virtual time is measured over this time, and averaged with this weight.
constexpr base::milliseconds measure_interval{50};
constexpr double speed_weight = 0.3;
// Before so many finished requests the mean is not used to refuse.
constexpr std::uint64_t min_finished = 20;
// The limit falls by this factor when upstreams shed, at most once in the interval.
constexpr double shed_factor = 0.8;
constexpr base::milliseconds shed_interval{100};
// Bounds of the charge for one request, in mean run times.
constexpr double min_charge = 0.1;
constexpr double max_charge = 10.0;
// Workspaces whose mean run time is kept.
constexpr std::size_t max_means = 1024;
constexpr base::seconds decision_interval{1};

std::size_t lane_of(config::request_class priority) {
  return std::min<std::size_t>(static_cast<std::size_t>(priority), 2);
}

double bounded_weight(double weight) {
  return std::max(weight, 0.001);
}

const char* message_of(std::string_view reason) {
  if (reason == "deadline_unmeetable") {
    return "The request would wait in the queue beyond its deadline.";
  }
  if (reason == "queue_deadline") {
    return "The deadline passed while the request waited in the queue.";
  }
  if (reason == "over_share") {
    return "The queue is full and the workspace uses more than its share of it.";
  }
  return "The queue of the service is full.";
}

} // namespace

fair_queue::fair_queue(fair_queue_settings settings, fair_queue_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {}

std::size_t fair_queue::limit() const noexcept {
  if (slots_ == 0) {
    return 0;
  }
  return std::clamp<std::size_t>(static_cast<std::size_t>(limit_), 1, slots_);
}

void fair_queue::set_slots(std::size_t slots, base::time_point now) {
  const bool is_reduced = limit_ < static_cast<double>(slots_);
  limit_ = is_reduced ? std::min(limit_, static_cast<double>(slots)) : static_cast<double>(slots);
  limit_ = std::max(limit_, std::min(1.0, static_cast<double>(slots)));
  slots_ = slots;
  dispatch(now);
}

void fair_queue::note_shed(base::time_point now) {
  if (last_shed_ != base::time_point{} && now - last_shed_ < shed_interval) {
    return;
  }
  last_shed_ = now;
  limit_ = std::max(1.0, std::min(limit_, static_cast<double>(std::max<std::size_t>(running_, 1))) *
                             shed_factor);
}

fair_queue::ticket fair_queue::enter(const queued_request& request, base::time_point now,
                                     admit_function done) {
  now_ = now;
  const auto index = lane_of(request.priority);
  const auto wait = expected_wait(request, index);
  // A request that can start now is never refused for its expected run time; so a mean that a
  // slow phase has raised is measured again.
  const bool is_late = finished_ >= min_finished && wait > base::duration{} &&
                       now + wait + base::from_seconds(mean_run_seconds_) > request.deadline;
  if (request.deadline <= now || is_late) {
    refuse(std::move(done), request.workspace, "deadline_unmeetable", wait);
    run_completions();
    return 0;
  }
  if (waiting_ >= settings_.queue_limit && running_ >= limit() && !evict_for(request, index)) {
    refuse(std::move(done), request.workspace, "queue_full", wait);
    run_completions();
    return 0;
  }
  auto& l = lanes_[index];
  const auto it = l.tenants.try_emplace(request.workspace).first;
  auto& t = it->second;
  t.weight = bounded_weight(request.weight);
  if (t.requests.empty()) {
    t.start_tag = std::max(t.start_tag, l.virtual_time);
  }
  const auto id = ++next_ticket_;
  t.requests.push_back({id, request.deadline, std::move(done)});
  ++l.waiting;
  ++waiting_;
  dispatch(now);
  const auto entry = l.tenants.find(request.workspace);
  const bool is_waiting = entry != l.tenants.end() &&
                          std::ranges::find(entry->second.requests, id, &waiting_request::id) !=
                              entry->second.requests.end();
  return is_waiting ? id : 0;
}

std::size_t fair_queue::count_ahead(const queued_request& request, std::size_t lane_index) const {
  std::size_t ahead = 0;
  for (std::size_t i = 0; i < lane_index; ++i) {
    ahead += lanes_[i].waiting;
  }
  const auto& l = lanes_[lane_index];
  const auto existing = l.tenants.find(request.workspace);
  double tag = l.virtual_time;
  if (existing != l.tenants.end()) {
    tag = std::max(tag, existing->second.start_tag) +
          static_cast<double>(existing->second.requests.size()) / bounded_weight(request.weight);
    ahead += existing->second.requests.size();
  }
  for (const auto& [name, t] : l.tenants) {
    if (name == request.workspace || t.requests.empty() || t.start_tag > tag) {
      continue;
    }
    const auto earlier = static_cast<std::size_t>((tag - t.start_tag) * t.weight) + 1;
    ahead += std::min(t.requests.size(), earlier);
  }
  return ahead;
}

base::duration fair_queue::expected_wait(const queued_request& request,
                                         std::size_t lane_index) const {
  const auto max_running = limit();
  const auto ahead = count_ahead(request, lane_index);
  if (running_ + ahead < max_running || mean_run_seconds_ <= 0 || max_running == 0) {
    return {};
  }
  const auto turns = static_cast<double>(running_ + ahead + 1 - max_running);
  double seconds = turns * mean_run_seconds_ / static_cast<double>(max_running);
  // Requests of other workspaces that are still to come go ahead of a workspace's long queue. How
  // fast the virtual time runs tells how much.
  const auto& l = lanes_[lane_index];
  const auto existing = l.tenants.find(request.workspace);
  if (l.speed > 0 && existing != l.tenants.end()) {
    const double tag =
        existing->second.start_tag +
        static_cast<double>(existing->second.requests.size()) / bounded_weight(request.weight);
    seconds = std::max(seconds, std::min((tag - l.virtual_time) / l.speed, 3600.0));
  }
  return base::from_seconds(seconds);
}

void fair_queue::measure(lane& l, base::time_point now) {
  if (l.waiting == 0) {
    l.measured_since.reset();
    return;
  }
  if (!l.measured_since) {
    l.measured_since = now;
    l.measured_from = l.virtual_time;
    return;
  }
  const auto elapsed = now - *l.measured_since;
  if (elapsed >= measure_interval) {
    const double speed = (l.virtual_time - l.measured_from) / base::to_seconds(elapsed);
    l.speed = l.speed > 0 ? l.speed + speed_weight * (speed - l.speed) : speed;
    l.measured_since = now;
    l.measured_from = l.virtual_time;
  }
}

bool fair_queue::evict_for(const queued_request& request, std::size_t lane_index) {
  for (std::size_t i = class_count; i-- > lane_index + 1;) {
    if (lanes_[i].waiting > 0) {
      return drop_newest(i, 0);
    }
  }
  const auto& tenants = lanes_[lane_index].tenants;
  const auto existing = tenants.find(request.workspace);
  const auto count = existing == tenants.end() ? 0 : existing->second.requests.size();
  return drop_newest(lane_index, static_cast<double>(count + 1) / bounded_weight(request.weight));
}

bool fair_queue::drop_newest(std::size_t lane_index, double min_use) {
  auto& l = lanes_[lane_index];
  tenant* largest = nullptr;
  std::string_view largest_name;
  for (auto& [name, t] : l.tenants) {
    const double use = static_cast<double>(t.requests.size()) / t.weight;
    if (!t.requests.empty() && use > min_use) {
      min_use = use;
      largest = &t;
      largest_name = name;
    }
  }
  if (largest == nullptr) {
    return false;
  }
  auto dropped = std::move(largest->requests.back());
  largest->requests.pop_back();
  --l.waiting;
  --waiting_;
  refuse(std::move(dropped.done), largest_name, "over_share", std::nullopt);
  return true;
}

void fair_queue::refuse(admit_function done, std::string_view workspace, const char* reason,
                        std::optional<base::duration> retry_after) {
  proxy::refusal r;
  r.status = 503;
  r.reason = reason;
  r.message = message_of(reason);
  r.ran = proxy::ran_state::no;
  if (retry_after && *retry_after > base::duration{}) {
    r.retry_after = std::chrono::ceil<base::milliseconds>(*retry_after);
  }
  if (hooks_.on_refusal) {
    hooks_.on_refusal(reason);
  }
  ++refused_;
  if (hooks_.on_decision &&
      (last_decision_ == base::time_point{} || now_ - last_decision_ >= decision_interval)) {
    last_decision_ = now_;
    hooks_.on_decision(
        {std::string("admission.") + reason, "service", settings_.service, "refused",
         "workspace=" + std::string(workspace) + " refused_since_last=" + std::to_string(refused_) +
             " waiting=" + std::to_string(waiting_) + " running=" + std::to_string(running_) +
             " limit=" + std::to_string(limit()),
         0});
    refused_ = 0;
  }
  completions_.emplace_back(std::move(done), std::move(r));
}

void fair_queue::dispatch(base::time_point now) {
  now_ = now;
  while (waiting_ > 0 && running_ < limit()) {
    const auto index = choose_lane();
    if (!index) {
      break;
    }
    run_next(lanes_[*index]);
  }
  for (auto& l : lanes_) {
    measure(l, now);
    if (waiting_ == 0 && running_ < limit()) {
      // A free turn ends the busy period; what was used before it gives nobody a disadvantage.
      l.tenants.clear();
    }
  }
  run_completions();
}

std::optional<std::size_t> fair_queue::choose_lane() {
  std::optional<std::size_t> highest;
  std::optional<std::size_t> lowest;
  for (std::size_t i = 0; i < class_count; ++i) {
    if (lanes_[i].waiting > 0) {
      highest = highest ? highest : i;
      lowest = i;
    }
  }
  // Every so many turns a lower class goes first, so that none starves for ever.
  if (highest != lowest && ++turns_ >= settings_.lower_class_turn) {
    turns_ = 0;
    return lowest;
  }
  return highest;
}

void fair_queue::run_next(lane& l) {
  tenant* next = nullptr;
  for (auto& [name, t] : l.tenants) {
    if (!t.requests.empty() && (next == nullptr || t.start_tag < next->start_tag)) {
      next = &t;
    }
  }
  auto request = std::move(next->requests.front());
  next->requests.pop_front();
  --l.waiting;
  --waiting_;
  // While others wait, a turn is not given to a request that would end after its deadline.
  const bool is_late = waiting_ > 0 && finished_ >= min_finished &&
                       now_ + base::from_seconds(mean_run_seconds_) > request.deadline;
  if (request.deadline <= now_ || is_late) {
    refuse(std::move(request.done), {}, "queue_deadline", std::nullopt);
    return;
  }
  l.virtual_time = std::max(l.virtual_time, next->start_tag);
  next->start_tag += 1.0 / next->weight;
  ++running_;
  completions_.emplace_back(std::move(request.done), std::nullopt);
  forget_idle(l);
}

void fair_queue::forget_idle(lane& l) {
  std::erase_if(l.tenants, [&](const auto& e) {
    return e.second.requests.empty() && e.second.start_tag <= l.virtual_time;
  });
}

bool fair_queue::cancel(ticket t, base::time_point now) {
  now_ = now;
  for (auto& l : lanes_) {
    for (auto& [name, owner] : l.tenants) {
      const auto it = std::ranges::find(owner.requests, t, &waiting_request::id);
      if (it != owner.requests.end()) {
        owner.requests.erase(it);
        --l.waiting;
        --waiting_;
        return true;
      }
    }
  }
  return false;
}

void fair_queue::charge(std::string_view workspace, lane& l, double seconds) {
  auto it = workspace_means_.find(workspace);
  if (it == workspace_means_.end()) {
    if (workspace_means_.size() >= max_means) {
      workspace_means_.clear();
    }
    it = workspace_means_.emplace(std::string(workspace), seconds).first;
  }
  it->second += mean_weight * (seconds - it->second);
  const auto t = l.tenants.find(workspace);
  if (t != l.tenants.end() && mean_run_seconds_ > 0 && finished_ >= min_finished) {
    const double cost = std::clamp(it->second / mean_run_seconds_, min_charge, max_charge);
    t->second.start_tag += (cost - 1.0) / t->second.weight;
  }
}

void fair_queue::finish(std::string_view workspace, config::request_class priority,
                        base::duration run_time, base::time_point now) {
  running_ -= running_ > 0 ? 1 : 0;
  const double seconds = std::max(base::to_seconds(run_time), 0.0);
  auto& l = lanes_[lane_of(priority)];
  charge(workspace, l, seconds);
  mean_run_seconds_ =
      finished_ == 0 ? seconds : mean_run_seconds_ + mean_weight * (seconds - mean_run_seconds_);
  ++finished_;
  if (limit_ < static_cast<double>(slots_)) {
    limit_ = std::min(static_cast<double>(slots_), limit_ + 1.0 / std::max(limit_, 1.0));
  }
  dispatch(now);
}

void fair_queue::tick(base::time_point now) {
  now_ = now;
  for (auto& l : lanes_) {
    for (auto& [name, t] : l.tenants) {
      for (auto it = t.requests.begin(); it != t.requests.end();) {
        if (it->deadline > now) {
          ++it;
          continue;
        }
        refuse(std::move(it->done), name, "queue_deadline", std::nullopt);
        it = t.requests.erase(it);
        --l.waiting;
        --waiting_;
      }
    }
    forget_idle(l);
  }
  dispatch(now);
}

void fair_queue::run_completions() {
  auto completions = std::exchange(completions_, {});
  for (auto& [done, refusal] : completions) {
    if (refusal) {
      done(std::move(*refusal));
    } else {
      done(base::success());
    }
  }
}

} // namespace kingcupshunt::admission
