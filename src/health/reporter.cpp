#include "kingcupshunt/health/reporter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "kingcupshunt/base/rendezvous.h"
#include "kingcupshunt/health/floor.h"

namespace kingcupshunt::health {

namespace {

// Own avoidance only ranks. Two failures in a row at one server are unlikely by chance and come
// before the owner's verdict on a path fault; the ranking ends by itself because the trickle left
// may be too small to prove the path good.
constexpr std::uint32_t min_failures_to_avoid = 2;
constexpr base::seconds avoid_time{5};
constexpr double avoided_weight = 0.1;

// Ages below this are usual for every route and are not worth their bytes.
constexpr base::milliseconds min_open_age{30};

// Greatest age of an echoed send time; the owner answers within one interval.
constexpr base::seconds max_echo_age{10};

// An attempt that takes this many times its route's mean is reported at once: a server that hangs
// shows nothing else. Attempts this late are rare enough not to add messages in normal times.
constexpr double overdue_factor = 6;
constexpr double mean_weight = 0.05;

constexpr double max_weight = 10;

constexpr std::size_t max_attempts_per_route = 500;
constexpr std::size_t max_routes = 128;

std::uint64_t to_us(base::time_point t) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<base::microseconds>(t.time_since_epoch()).count());
}

bool is_equal(const std::vector<server_status>& a, const std::vector<server_status>& b) {
  return std::ranges::equal(a, b, [](const auto& x, const auto& y) {
    return x.id == y.id && x.state == y.state && x.weight == y.weight;
  });
}

} // namespace

reporter::reporter(reporter_settings settings, reporter_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {}

void reporter::set_upstreams(std::string_view service, const std::vector<upstream>& servers,
                             base::time_point now) {
  const std::string name(service);
  auto& s = services_[name];
  s.upstreams = servers;
  std::erase_if(s.servers, [&](const auto& item) {
    return item.second.open.empty() &&
           std::ranges::none_of(servers, [&](const auto& up) { return up.info.id == item.first; });
  });
  apply(name, s, now);
}

void reporter::set_view(const membership::fleet_view& view, base::time_point /*now*/) {
  view_ = view;
}

void reporter::attempt_started(std::string_view service, std::string_view route,
                               std::string_view id, base::time_point now) {
  auto& s = services_[std::string(service)];
  s.last_attempt = now;
  s.servers[std::string(id)].open.push_back({std::string(route), now});
}

void reporter::report(const attempt& a, base::time_point now) {
  auto& s = services_[a.service];
  auto& v = s.servers[a.upstream];
  s.last_attempt = now;
  const auto start = now - a.total;
  auto nearest = v.open.end();
  for (auto it = v.open.begin(); it != v.open.end(); ++it) {
    if (it->route == a.route &&
        (nearest == v.open.end() ||
         std::chrono::abs(it->start - start) < std::chrono::abs(nearest->start - start))) {
      nearest = it;
    }
  }
  if (nearest != v.open.end()) {
    v.open.erase(nearest);
  }
  const auto kind = kind_of(a.end);
  v.sheds += a.end == attempt_end::shed ? 1 : 0;
  if (kind == evidence_kind::none) {
    return;
  }
  const auto& route = v.routes.size() < max_routes || v.routes.contains(a.route) ? a.route : "";
  auto& r = v.routes[route];
  if (kind == evidence_kind::good && r.total.size() < max_attempts_per_route) {
    auto& mean = s.mean_seconds.try_emplace(route, base::to_seconds(a.total)).first->second;
    mean += mean_weight * (base::to_seconds(a.total) - mean);
    r.first_byte.push_back(latency_bucket(a.first_byte));
    r.total.push_back(latency_bucket(a.total));
  } else if (kind == evidence_kind::censored && r.censored.size() < max_attempts_per_route) {
    r.censored.push_back(latency_bucket(a.total));
  }
  r.soft_errors += kind == evidence_kind::soft_error ? 1 : 0;
  r.refused += a.end == attempt_end::connect_failed ? 1 : 0;
  r.hard_errors += kind == evidence_kind::hard_error ? 1 : 0;
  if (kind == evidence_kind::good) {
    v.failures_in_row = 0;
  } else if (kind == evidence_kind::hard_error) {
    ++v.failures_in_row;
    v.last_failure = now;
    s.has_urgent_evidence = true;
  }
  if (s.has_urgent_evidence && now - s.last_sent >= settings_.min_urgent_interval) {
    send_summary(a.service, s, now);
  }
  if (v.failures_in_row == min_failures_to_avoid) {
    apply(a.service, s, now);
  }
}

void reporter::probe_done(std::string_view service, std::string_view id, probe_outcome outcome,
                          base::time_point now) {
  const auto it = services_.find(service);
  if (it == services_.end()) {
    return;
  }
  it->second.probes.push_back({std::string(id), static_cast<std::uint8_t>(outcome)});
  it->second.has_urgent_evidence = true;
  if (now - it->second.last_sent >= settings_.min_urgent_interval) {
    send_summary(it->first, it->second, now);
  }
}

void reporter::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                       base::time_point now) {
  if (kind != peer::message_kind::health_verdicts) {
    return;
  }
  const auto m = peer::unpack<verdicts_message>(body);
  if (!m) {
    ++malformed_;
    return;
  }
  const auto it = services_.find(m->service);
  if (it == services_.end()) {
    return;
  }
  it->second.owner = std::string(from);
  apply_verdicts(*m, now);
}

void reporter::apply_verdicts(const verdicts_message& m, base::time_point now) {
  auto& s = services_.find(m.service)->second;
  const base::time_point sent{base::microseconds(m.echo_us)};
  const bool is_older = m.view_version < s.view_version ||
                        (m.view_version == s.view_version && m.sequence <= s.sequence);
  if (is_older || sent > now || now - sent > max_echo_age) {
    return;
  }
  s.view_version = m.view_version;
  s.sequence = m.sequence;
  s.verdicts.clear();
  for (const auto& verdict : m.verdicts) {
    const auto ends =
        sent + base::shorten_by_drift(base::milliseconds(std::min(verdict.lifetime_ms, 60'000U)));
    if (std::isfinite(verdict.severity) && verdict.weight >= 0 && verdict.weight <= max_weight) {
      s.verdicts[verdict.upstream] = {verdict, ends};
    }
  }
  if (m.is_faulty_instance != s.is_self_faulty) {
    s.is_self_faulty = m.is_faulty_instance;
    if (hooks_.on_self_faulty) {
      hooks_.on_self_faulty(m.service, m.is_faulty_instance, m.fault_evidence);
    }
  }
  apply(m.service, s, now);
  for (const auto& id : m.probes) {
    if (hooks_.start_probe) {
      hooks_.start_probe(m.service, id);
    }
  }
}

void reporter::tick(base::time_point now) {
  for (auto& [name, s] : services_) {
    if (!s.verdicts.empty() || !s.applied.empty()) {
      apply(name, s, now);
    }
    find_overdue(s, now);
    const bool is_busy = now - s.last_attempt < base::seconds(10) || !s.verdicts.empty();
    const auto interval = is_busy ? settings_.summary_interval : settings_.idle_interval;
    if (!s.upstreams.empty() && (s.has_urgent_evidence || now - s.last_sent >= interval)) {
      send_summary(name, s, now);
    }
  }
}

void reporter::find_overdue(service_state& s, base::time_point now) const {
  for (auto& [id, v] : s.servers) {
    for (auto& open : v.open) {
      const auto mean = s.mean_seconds.find(open.route);
      if (!open.is_overdue && mean != s.mean_seconds.end() &&
          base::to_seconds(now - open.start) > overdue_factor * mean->second) {
        open.is_overdue = true;
        s.has_urgent_evidence = true;
      }
    }
  }
}

void reporter::send_summary(const std::string& service, service_state& s, base::time_point now) {
  const auto active = view_.active_ids();
  const auto owner = base::rendezvous_pick(service, active);
  s.last_sent = now;
  s.has_urgent_evidence = false;
  if (owner == active.size() || !hooks_.send) {
    return;
  }
  evidence_message m;
  m.service = service;
  m.data_centre = settings_.data_centre;
  m.sent_us = to_us(now);
  fill(m, s, now);
  hooks_.send(active[owner], peer::message_kind::health_evidence, peer::pack(m));
}

void reporter::fill(evidence_message& m, service_state& s, base::time_point now) const {
  for (auto& [id, v] : s.servers) {
    for (const auto& open : v.open) {
      if (now - open.start >= min_open_age) {
        v.routes[open.route].open.push_back(latency_bucket(now - open.start));
      }
    }
    if (v.routes.empty() && v.sheds == 0) {
      continue;
    }
    upstream_evidence u;
    u.upstream = id;
    u.sheds = std::exchange(v.sheds, 0);
    for (auto& [route, r] : v.routes) {
      r.route = route;
      u.routes.push_back(std::move(r));
    }
    v.routes.clear();
    m.upstreams.push_back(std::move(u));
  }
  m.probes = std::exchange(s.probes, {});
  for (const auto& [id, in_force] : s.verdicts) {
    const auto state = static_cast<server_state>(in_force.verdict.state);
    if (state == server_state::ejected || state == server_state::probation) {
      m.held.push_back(in_force.verdict);
      m.held.back().lifetime_ms =
          static_cast<std::uint32_t>(std::max<std::int64_t>(0, base::to_ms(in_force.ends - now)));
    }
  }
}

void reporter::apply(const std::string& service, service_state& s, base::time_point now) {
  std::erase_if(s.verdicts, [&](const auto& item) { return item.second.ends <= now; });
  auto next = effective_states(service, s, now);
  if (is_equal(next, s.applied)) {
    return;
  }
  s.applied = std::move(next);
  if (hooks_.on_states) {
    hooks_.on_states(service, s.applied, now);
  }
}

// Verdicts in force, within the floor by this instance's own view of the announced servers, and
// own avoidance, which only ranks.
std::vector<server_status> reporter::effective_states(const std::string& service,
                                                      const service_state& s,
                                                      base::time_point now) const {
  std::vector<withheld> proposed;
  for (const auto& [id, in_force] : s.verdicts) {
    const auto state = static_cast<server_state>(in_force.verdict.state);
    if (state == server_state::ejected || state == server_state::probation) {
      proposed.push_back({id, in_force.verdict.severity});
    }
  }
  const double floor = hooks_.floor_of ? hooks_.floor_of(service) : 1.0;
  const auto kept = fit_to_floor(s.upstreams, std::move(proposed), floor);
  std::map<std::string, server_status> out;
  for (const auto& [id, in_force] : s.verdicts) {
    const auto state = static_cast<server_state>(in_force.verdict.state);
    const bool is_kept =
        std::ranges::any_of(kept, [&, &key = id](const auto& w) { return w.id == key; });
    if (state == server_state::ejected && !is_kept) {
      out[id] = {id, server_state::suspected, avoided_weight};
    } else if (state != server_state::probation || is_kept) {
      out[id] = {id, state, state == server_state::ejected ? 0 : in_force.verdict.weight};
    }
  }
  for (const auto& [id, v] : s.servers) {
    const bool is_avoided =
        v.failures_in_row >= min_failures_to_avoid && now - v.last_failure < avoid_time;
    if (is_avoided && (!out.contains(id) || out[id].state == server_state::suspected)) {
      out[id] = {id, server_state::path_fault, avoided_weight};
    }
  }
  std::vector<server_status> list;
  list.reserve(out.size());
  for (auto& [id, status] : out) {
    list.push_back(std::move(status));
  }
  return list;
}

std::vector<server_status> reporter::states(std::string_view service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? std::vector<server_status>{} : it->second.applied;
}

} // namespace kingcupshunt::health
