#include "kingcupshunt/balance/balancer.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace kingcupshunt::balance {

namespace {

// Weight at the beginning of the slow start. When a service is new all of its servers are, and none
// of them starts slowly.
constexpr double initial_weight = 0.1;

// Preference for servers of the local data centre in the comparison of two choices: half a request
// per server, so that it decides only between about equally loaded servers.
constexpr double data_centre_bonus = 0.5;

bool uses_reports(selection method) {
  return method == selection::two_choices_reported || method == selection::slot_share_reported;
}

// Maximum share of traffic for suspected and returning servers together. Suspected ones may weigh
// more than normal ones; without the limit, ten suspected servers of twenty would get all requests.
constexpr double max_weighted_share = 0.5;

// Tiers of servers: all free servers of a tier are used before the next tier.
constexpr int tier_normal = 0;
constexpr int tier_weighted = 1; ///< suspected, path fault, probation, slow start
constexpr int tier_stale = 2;
constexpr int tier_excluded = 3;

} // namespace

const char* to_string(pick_error error) noexcept {
  switch (error) {
  case pick_error::no_upstream:
    return "no_upstream";
  case pick_error::all_busy:
    return "all_busy";
  }
  return "unknown";
}

balancer::balancer(balancer_settings settings, balancer_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)), rng_(settings_.seed) {}

balancer::service_servers* balancer::find(std::string_view service) {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

void balancer::set_upstreams(std::string_view service, std::span<const health::upstream> servers,
                             base::time_point now) {
  auto [it, is_new] = services_.try_emplace(std::string(service));
  auto& s = it->second;
  if (is_new || s.servers.empty()) {
    s.first_known = now;
  }
  std::vector<server> next;
  for (const auto& up : servers) {
    const auto old = std::ranges::find_if(
        s.servers, [&](const server& v) { return v.up.info.id == up.info.id; });
    server v = old != s.servers.end() ? *old : server{};
    if (v.up.info.incarnation != up.info.incarnation) {
      v.permits = {};
      v.pause = {};
    }
    v.up = up;
    v.is_known = true;
    next.push_back(std::move(v));
  }
  for (auto& v : s.servers) {
    const bool is_gone =
        std::ranges::none_of(servers, [&](const auto& up) { return up.info.id == v.up.info.id; });
    if (is_gone && v.in_flight > 0) {
      v.is_known = false;
      next.push_back(std::move(v));
    }
  }
  std::ranges::sort(next, {}, [](const server& v) { return v.up.info.id; });
  s.servers = std::move(next);
  recompute(service, s);
  sum_reports(s, now);
}

void balancer::set_states(std::string_view service, std::span<const health::server_status> states,
                          base::time_point /*now*/) {
  auto& s = services_[std::string(service)];
  s.states.clear();
  for (const auto& status : states) {
    s.states[status.id] = status;
  }
  recompute(service, s);
}

void balancer::set_view(const membership::fleet_view& view, base::time_point /*now*/) {
  view_ = view;
  for (auto& [name, s] : services_) {
    recompute(name, s);
  }
}

// Recomputes what depends on the servers, their states and the instances.
void balancer::recompute(std::string_view name, service_servers& s) const {
  for (auto& v : s.servers) {
    const auto it = s.states.find(v.up.info.id);
    v.state = it == s.states.end() ? std::nullopt : std::optional(it->second.state);
    v.weight = it == s.states.end() ? 1 : it->second.weight;
  }
  choose_subset(name, s);
  assign_slots(name, s);
}

bool balancer::can_take(const server& v, const pick_request& request, base::time_point now) const {
  return v.is_known && v.is_in_subset && !v.up.info.is_draining && !is_leaving(v) &&
         !v.is_isolated && v.in_flight < v.up.info.slots && v.full_until <= now &&
         v.permits.may_send(now) && may_start(v, now) &&
         (!request.is_isolated || v.in_flight == 0) &&
         std::ranges::find(request.tried, v.up.info.id) == request.tried.end();
}

// Weight of a server that is new, suspected or returning; 1 for a normal one.
double balancer::weight_of(const service_servers& s, const server& v, base::time_point now) const {
  if (v.state) {
    return v.weight;
  }
  const auto age = now - v.up.first_seen;
  const bool is_new = v.up.first_seen > s.first_known + settings_.slow_start;
  if (!is_new || age >= settings_.slow_start) {
    return 1;
  }
  return std::max(initial_weight, base::to_seconds(age) / base::to_seconds(settings_.slow_start));
}

int balancer::tier_of(const service_servers& s, const server& v, base::time_point now) const {
  if (v.state == health::server_state::ejected) {
    return tier_excluded;
  }
  if (v.up.is_stale) {
    return tier_stale;
  }
  return v.state || weight_of(s, v, now) != 1 ? tier_weighted : tier_normal;
}

double balancer::load_of(const server& v) const {
  const double bonus = v.up.info.data_centre == settings_.data_centre ? 0 : data_centre_bonus;
  const double others = uses_reports(settings_.method) ? v.reported : 0;
  return (static_cast<double>(v.in_flight) + others + bonus) / static_cast<double>(v.up.info.slots);
}

result<std::string> balancer::pick(const pick_request& request, base::time_point now) {
  auto* s = find(request.service);
  if (s == nullptr) {
    return pick_error::no_upstream;
  }
  server* chosen = request.is_repeatable ? pick_weighted(*s, request, now) : nullptr;
  if (chosen == nullptr && has_shares(settings_.method)) {
    chosen = pick_shared(*s, request, now);
  }
  const int first_tier =
      settings_.method == selection::slot_share_only ? tier_weighted : tier_normal;
  for (int tier = first_tier; chosen == nullptr && tier < tier_excluded; ++tier) {
    chosen = pick_two(*s, request, now, tier);
  }
  if (chosen != nullptr) {
    ++chosen->in_flight;
    chosen->permits.take(now);
    chosen->sent_at = now;
    chosen->is_isolated = request.is_isolated;
    return chosen->up.info.id;
  }
  const bool has_any = std::ranges::any_of(s->servers, [&](const server& v) {
    return v.is_known && v.is_in_subset && !v.up.info.is_draining && !is_leaving(v) &&
           std::ranges::find(request.tried, v.up.info.id) == request.tried.end();
  });
  return has_any ? pick_error::all_busy : pick_error::no_upstream;
}

// Gives each server with a weight other than 1 that part of a normal server's traffic.
balancer::server* balancer::pick_weighted(service_servers& s, const pick_request& request,
                                          base::time_point now) {
  const auto n = static_cast<double>(s.servers.size());
  double sum = 0;
  for (const auto& v : s.servers) {
    sum += tier_of(s, v, now) == tier_weighted ? weight_of(s, v, now) / n : 0;
  }
  const double scale = sum > max_weighted_share ? max_weighted_share / sum : 1;
  double left = rng_.unit();
  for (auto& v : s.servers) {
    if (tier_of(s, v, now) != tier_weighted) {
      continue;
    }
    left -= scale * weight_of(s, v, now) / n;
    if (left < 0) {
      return can_take(v, request, now) ? &v : nullptr;
    }
  }
  return nullptr;
}

balancer::server* balancer::pick_shared(service_servers& s, const pick_request& request,
                                        base::time_point now) {
  server* best = nullptr;
  double best_load = std::numeric_limits<double>::infinity();
  const auto n = s.servers.size();
  const auto start = rng_.below(n);
  for (std::size_t i = 0; i < n; ++i) {
    auto& v = s.servers[(start + i) % n];
    if (v.in_flight >= v.share || !can_take(v, request, now) || tier_of(s, v, now) != tier_normal) {
      continue;
    }
    if (const auto load = load_of(v); load < best_load) {
      best = &v;
      best_load = load;
    }
  }
  return best;
}

balancer::server* balancer::pick_two(service_servers& s, const pick_request& request,
                                     base::time_point now, int tier) {
  std::vector<server*> free;
  free.reserve(s.servers.size());
  for (auto& v : s.servers) {
    if (tier_of(s, v, now) == tier && can_take(v, request, now)) {
      free.push_back(&v);
    }
  }
  if (free.size() < 2) {
    return free.empty() ? nullptr : free.front();
  }
  const auto i = rng_.below(free.size());
  const auto j = (i + 1 + rng_.below(free.size() - 1)) % free.size();
  return load_of(*free[i]) <= load_of(*free[j]) ? free[i] : free[j];
}

void balancer::report(const health::attempt& attempt, base::time_point now) {
  release(attempt.service, attempt.upstream);
  if (attempt.is_leaving) {
    note_leaving(attempt.service, attempt.upstream, now - attempt.total);
  }
  auto* s = find(attempt.service);
  if (s == nullptr) {
    return;
  }
  for (auto& v : s->servers) {
    if (v.up.info.id != attempt.upstream) {
      continue;
    }
    note_limit(v, attempt);
    note_pause(v, attempt, now);
    if (attempt.end == health::attempt_end::shed) {
      v.full_until = now + settings_.full_backoff;
    }
  }
}

balancer::server* balancer::find_server(std::string_view id) {
  for (auto& [name, s] : services_) {
    const auto it =
        std::ranges::find_if(s.servers, [&](const server& v) { return v.up.info.id == id; });
    if (it != s.servers.end()) {
      return &*it;
    }
  }
  return nullptr;
}

void balancer::note_limit(server& v, const health::attempt& attempt) const {
  if (attempt.limit == health::limit_notice::unknown) {
    return;
  }
  const bool is_limited = attempt.limit == health::limit_notice::limited;
  const bool is_changed =
      v.permits.set_limit(is_limited ? std::optional(attempt.server_limit) : std::nullopt);
  if (is_changed && hooks_.on_limit) {
    hooks_.on_limit({v.up.info.id, is_limited, attempt.server_limit, v.up.info.data_centre});
  }
}

void balancer::set_limit(const fleet::limit_note& note) {
  if (auto* v = find_server(note.server)) {
    v->permits.set_limit(note.is_limited ? std::optional(note.per_second) : std::nullopt);
  }
}

void balancer::add_permits(const fleet::permit_grant& grant, base::time_point now) {
  for (const auto& p : grant.permits) {
    if (auto* v = find_server(p.server)) {
      v->permits.add(p.permits, now);
    }
  }
}

void balancer::release(std::string_view service, std::string_view id) {
  auto* s = find(service);
  if (s == nullptr) {
    return;
  }
  const auto it =
      std::ranges::find_if(s->servers, [&](const server& v) { return v.up.info.id == id; });
  if (it == s->servers.end() || it->in_flight == 0) {
    return;
  }
  --it->in_flight;
  it->is_isolated = it->is_isolated && it->in_flight > 0;
  if (it->in_flight == 0 && !it->is_known) {
    s->servers.erase(it);
  }
}

void balancer::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                       base::time_point now) {
  if (kind != peer::message_kind::load_report) {
    return;
  }
  const auto report = peer::unpack<load_report>(body);
  if (!report || report->upstreams.size() != report->in_flight.size()) {
    return;
  }
  auto* s = find(report->service);
  if (s == nullptr) {
    return;
  }
  auto& stored = s->reports[std::string(from)];
  stored.received = now;
  stored.in_flight.clear();
  for (std::size_t i = 0; i < report->upstreams.size(); ++i) {
    stored.in_flight.emplace_back(report->upstreams[i], report->in_flight[i]);
  }
  sum_reports(*s, now);
}

void balancer::sum_reports(service_servers& s, base::time_point now) const {
  std::unordered_map<std::string_view, double> sums;
  const auto oldest = now - 5 * settings_.report_interval;
  std::erase_if(s.reports, [&](const auto& r) { return r.second.received < oldest; });
  for (const auto& [from, report] : s.reports) {
    for (const auto& [id, n] : report.in_flight) {
      sums[id] += n;
    }
  }
  for (auto& v : s.servers) {
    const auto it = sums.find(v.up.info.id);
    v.reported = it == sums.end() ? 0 : it->second;
  }
}

void balancer::tick(base::time_point now) {
  if (!uses_reports(settings_.method) || now < next_report_ || !hooks_.send) {
    return;
  }
  next_report_ = now + settings_.report_interval;
  for (const auto& [name, s] : services_) {
    load_report report;
    report.service = name;
    for (const auto& v : s.servers) {
      if (v.in_flight > 0) {
        report.upstreams.push_back(v.up.info.id);
        report.in_flight.push_back(v.in_flight);
      }
    }
    const auto body = peer::pack(report);
    for (const auto& id : view_.active_ids()) {
      if (id != settings_.self) {
        hooks_.send(id, peer::message_kind::load_report, body);
      }
    }
  }
}

std::uint32_t balancer::in_flight(std::string_view service, std::string_view id) const {
  const auto s = services_.find(service);
  if (s == services_.end()) {
    return 0;
  }
  const auto& servers = s->second.servers;
  const auto it =
      std::ranges::find_if(servers, [&](const server& v) { return v.up.info.id == id; });
  return it == servers.end() ? 0 : it->in_flight;
}

std::vector<std::string> balancer::subset(std::string_view service) const {
  std::vector<std::string> out;
  if (const auto s = services_.find(service); s != services_.end()) {
    for (const auto& v : s->second.servers) {
      if (v.is_known && v.is_in_subset) {
        out.push_back(v.up.info.id);
      }
    }
  }
  return out;
}

} // namespace kingcupshunt::balance
