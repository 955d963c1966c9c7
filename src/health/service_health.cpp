// Decisions of one service's owner: ejection, floor, return.
#include "kingcupshunt/health/service_health.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace kingcupshunt::health {

namespace {

// Part of the threshold at which probes start: about one bad attempt.
constexpr double probing_part = 0.12;

// Part of the threshold at which more repeatable requests are sent to decide sooner.
constexpr double checking_part = 1.0 / 3;

// A server that was ejected lately is more likely bad than any other, so half the evidence does.
constexpr double probation_part = 0.5;

constexpr double first_probation_weight = 0.25;

// Error score of nine answers without error: 4 % of the servers that fail 30 % get that far.
constexpr double return_score = -2.5;

constexpr std::uint32_t probes_to_return = 3;
constexpr std::size_t probing_instances = 5;
constexpr base::milliseconds probe_interval{250};
constexpr base::milliseconds return_probe_interval{500};

// After these times a server returns by requests alone.
constexpr base::seconds bad_status_timeout{30};
constexpr base::seconds failed_probe_timeout{120};

// A server that stayed normal for this long loses one step of its hold time.
constexpr base::seconds flap_decay_time{60};
constexpr std::uint32_t max_flaps = 5;

constexpr base::seconds faulty_hold{10};
constexpr base::milliseconds faulty_check_interval{200};

constexpr double refused_weight = 0.1;
constexpr double path_weight = 0.1;

std::string number(double x) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.2f", x);
  return buf;
}

} // namespace

service_health::service_health(std::string service, service_settings settings,
                               decision_hook on_decision)
    : service_(std::move(service)), settings_(settings), on_decision_(std::move(on_decision)),
      rng_(settings.seed) {}

void service_health::set_upstreams(const std::vector<upstream>& servers, base::time_point now) {
  if (servers_.empty()) {
    first_upstreams_ = now;
    last_decay_ = now;
    last_pool_decay_ = now;
  }
  std::erase_if(servers_, [&](const auto& item) {
    return std::ranges::none_of(servers, [&](const auto& up) { return up.info.id == item.first; });
  });
  for (const auto& up : servers) {
    auto& v = servers_[up.info.id];
    const bool is_restarted =
        v.up.info.incarnation != 0 && v.up.info.incarnation != up.info.incarnation;
    v.up = up;
    if (is_restarted) {
      clear_scores(v);
      v.windows.clear();
      v.episode.clear();
      pool_.forget(up.info.id);
      // A restart may have ended the fault: probes decide at once instead of the hold time.
      v.hold_until = std::min(v.hold_until, now);
    }
  }
}

void service_health::clear_scores(server& v) {
  v.error_score = 0;
  v.latency_score = 0;
  v.probes.clear();
  v.has_bad_status = false;
  v.has_hard_error = false;
  v.has_refused_connection = false;
  v.is_last_attempt_bad = false;
  v.is_checking = false;
  v.open.clear();
}

void service_health::reset(base::time_point now) {
  for (auto& [id, v] : servers_) {
    const auto up = v.up;
    v = server{};
    v.up = up;
  }
  instances_.clear();
  reported_.clear();
  pool_ = evidence_pool{};
  last_decay_ = now;
  last_pool_decay_ = now;
}

bool service_health::evaluate(owner_phase phase, double floor, base::time_point now) {
  decay_scores(now);
  update_faulty_instances(now);
  if (phase == owner_phase::collecting) {
    return false;
  }
  bool is_changed = adopt_reported(floor, now);
  is_changed = lift_below_floor(floor, now) || is_changed;
  std::vector<server*> candidates;
  for (auto& [id, v] : servers_) {
    switch (v.state) {
    case ejection_state::normal:
      is_changed = step_normal(v, candidates, now) || is_changed;
      break;
    case ejection_state::ejected:
      is_changed = step_ejected(v, now) || is_changed;
      break;
    case ejection_state::probation:
      is_changed = step_probation(v, candidates, now) || is_changed;
      break;
    }
  }
  if (phase == owner_phase::deciding) {
    std::ranges::sort(candidates, [&](const server* a, const server* b) {
      const auto x = total_part(*a, now);
      const auto y = total_part(*b, now);
      return x != y ? x > y : a->up.info.id < b->up.info.id;
    });
    for (auto* v : candidates) {
      is_changed = decide_candidate(*v, floor, now) || is_changed;
    }
  }
  return std::exchange(has_new_probes_, false) || is_changed;
}

// Ejections granted by a former owner go on, so that a bad server does not return for the time
// that a new owner waits.
bool service_health::adopt_reported(double floor, base::time_point now) {
  std::erase_if(reported_, [&](const auto& item) { return item.second.ends <= now; });
  bool is_changed = false;
  for (const auto& [id, r] : reported_) {
    const auto it = servers_.find(id);
    if (it == servers_.end() || it->second.state != ejection_state::normal ||
        it->second.since != base::time_point{}) {
      continue;
    }
    auto& v = it->second;
    auto proposed = withheld_servers();
    proposed.push_back({id, r.verdict.severity});
    if (!count_capacity(known(), proposed).is_above(floor)) {
      continue;
    }
    v.state = r.verdict.state == static_cast<std::uint8_t>(server_state::probation)
                  ? ejection_state::probation
                  : ejection_state::ejected;
    v.since = now;
    v.severity = r.verdict.severity;
    v.flaps = std::min(r.verdict.flaps, max_flaps);
    v.hold = std::min<base::duration>(base::milliseconds(r.verdict.hold_ms), settings_.max_hold);
    v.hold_until = now + v.hold;
    v.probation_weight = first_probation_weight;
    v.reason = r.verdict.reason;
    record_decision("ejection.take_over", "upstream", id, "ejected", "reason=" + v.reason);
    is_changed = true;
  }
  return is_changed;
}

bool service_health::lift_below_floor(double floor, base::time_point now) {
  const auto kept = fit_to_floor(known(), withheld_servers(), floor);
  bool is_changed = false;
  for (auto& [id, v] : servers_) {
    if (v.state == ejection_state::normal ||
        std::ranges::any_of(kept, [&, &key = id](const auto& w) { return w.id == key; })) {
      continue;
    }
    record_decision("ejection.floor_lift", "upstream", id, "returned", describe(v, now));
    v.state = ejection_state::normal;
    v.since = now;
    v.is_ejection_refused = true;
    is_changed = true;
  }
  return is_changed;
}

bool service_health::step_normal(server& v, std::vector<server*>& candidates,
                                 base::time_point now) {
  const double part = total_part(v, now);
  if (v.flaps > 0 && now - v.since > flap_decay_time) {
    --v.flaps;
    v.since = now;
  }
  const bool is_suspected = part >= checking_part;
  const bool is_changed = v.is_checking != is_suspected;
  v.is_checking = is_suspected;
  v.is_ejection_refused = v.is_ejection_refused && is_suspected;
  if (part >= probing_part && now >= v.next_probe) {
    if (now - v.next_probe > base::seconds(2)) {
      v.suspected_since = now;
    }
    v.next_probe = now + probe_interval;
    request_probes(v, probing_instances, now);
  }
  if (part >= 1) {
    candidates.push_back(&v);
  }
  return is_changed;
}

bool service_health::step_ejected(server& v, base::time_point now) {
  if (now < v.hold_until) {
    return false;
  }
  // A health path may answer badly for ever; a server without connections is more likely down.
  const auto probe_wait_limit = v.has_bad_status ? bad_status_timeout : failed_probe_timeout;
  const bool is_timed_out = now - v.hold_until >= probe_wait_limit;
  if (v.good_probes < probes_to_return && !is_timed_out) {
    if (now >= v.next_probe) {
      v.next_probe = now + return_probe_interval;
      request_probes(v, probes_to_return, now);
    }
    return false;
  }
  v.state = ejection_state::probation;
  v.since = now;
  v.return_score = 0;
  v.probation_weight = first_probation_weight;
  clear_scores(v);
  record_decision("ejection.probation", "upstream", v.up.info.id, "probation",
                  "good_probes=" + std::to_string(v.good_probes));
  return true;
}

bool service_health::step_probation(server& v, std::vector<server*>& candidates,
                                    base::time_point now) {
  const double part = total_part(v, now);
  if (part >= probation_part) {
    candidates.push_back(&v);
    return false;
  }
  const bool is_recovered = v.return_score <= return_score && part < probing_part;
  const bool is_probation_over =
      now - v.since >= settings_.probation_time && part < probing_part && v.return_score <= 0;
  if (is_recovered || is_probation_over) {
    record_decision("ejection.return", "upstream", v.up.info.id, "returned",
                    "error_score=" + number(v.return_score) +
                        " probation_ms=" + std::to_string(base::to_ms(now - v.since)));
    v.state = ejection_state::normal;
    v.since = now;
    clear_scores(v);
    return true;
  }
  // The share grows with the answers without error.
  const double weight = v.return_score <= return_score * 2 / 3 ? 1.0
                        : v.return_score <= return_score / 3   ? 0.5
                                                               : first_probation_weight;
  return std::exchange(v.probation_weight, weight) != weight;
}

void service_health::update_faulty_instances(base::time_point now) {
  if (now < next_faulty_check_) {
    return;
  }
  next_faulty_check_ = now + faulty_check_interval;
  std::vector<server_counts> counts;
  for (const auto& [id, v] : servers_) {
    counts.push_back({id, v.up.info.data_centre, counts_of(v, v.windows, now)});
  }
  for (const auto& f : find_faulty_instances(counts)) {
    auto& i = instances_[f.instance];
    i.fault = "bad_share=" + number(f.bad_share) + " bad_servers=" + std::to_string(f.bad_servers) +
              " score=" + number(f.score);
    if (i.faulty_until <= now) {
      record_decision("instance.faulty", "instance", f.instance, "evidence_set_aside",
                      "service=" + service_ + " " + i.fault);
    }
    i.faulty_until = now + faulty_hold;
  }
  for (auto& [id, i] : instances_) {
    if (i.faulty_until <= now && !i.fault.empty()) {
      record_decision("instance.faulty", "instance", id, "evidence_counts_again",
                      "service=" + service_);
      i.fault.clear();
    }
  }
  std::erase_if(instances_, [&](const auto& item) {
    return now - item.second.last_evidence > base::seconds(60);
  });
}

void service_health::request_probes(server& v, std::size_t n, base::time_point now) {
  std::vector<instance_state*> able;
  for (auto& [id, i] : instances_) {
    if (now - i.last_evidence < base::seconds(1) && !is_excluded(id, v, now)) {
      able.push_back(&i);
    }
  }
  for (std::size_t k = 0; k < std::min(n, able.size()); ++k) {
    std::swap(able[k], able[k + rng_.below(able.size() - k)]);
    able[k]->requested_probes.insert(v.up.info.id);
    has_new_probes_ = true;
  }
}

void service_health::fill(verdicts_message& out, std::string_view instance, base::time_point now) {
  const auto lifetime = static_cast<std::uint32_t>(base::to_ms(settings_.lifetime));
  const double checking = check_weight();
  for (const auto& [id, v] : servers_) {
    server_verdict verdict{id,      0,        v.severity,
                           0,       lifetime, static_cast<std::uint32_t>(base::to_ms(v.hold)),
                           v.flaps, v.reason};
    const auto path = v.path_fault_until.find(instance);
    if (v.state == ejection_state::ejected) {
      verdict.state = static_cast<std::uint8_t>(server_state::ejected);
    } else if (v.state == ejection_state::probation) {
      verdict.state = static_cast<std::uint8_t>(server_state::probation);
      verdict.weight = v.probation_weight;
    } else if (path != v.path_fault_until.end() && path->second > now) {
      verdict.state = static_cast<std::uint8_t>(server_state::path_fault);
      verdict.weight = path_weight;
    } else if (v.is_ejection_refused || v.is_checking) {
      verdict.state = static_cast<std::uint8_t>(server_state::suspected);
      verdict.weight = v.is_ejection_refused ? refused_weight : checking;
    } else {
      continue;
    }
    out.verdicts.push_back(std::move(verdict));
  }
  if (const auto it = instances_.find(instance); it != instances_.end()) {
    out.probes.assign(it->second.requested_probes.begin(), it->second.requested_probes.end());
    it->second.requested_probes.clear();
    out.is_faulty_instance = it->second.faulty_until > now;
    out.fault_evidence = it->second.fault;
  }
}

std::vector<withheld> service_health::withheld_servers() const {
  std::vector<withheld> out;
  for (const auto& [id, v] : servers_) {
    if (v.state != ejection_state::normal) {
      out.push_back({id, v.severity});
    }
  }
  return out;
}

std::vector<upstream> service_health::known() const {
  std::vector<upstream> out;
  for (const auto& [id, v] : servers_) {
    out.push_back(v.up);
  }
  return out;
}

double service_health::score(std::string_view id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? 0 : total_part(it->second, last_decay_);
}

std::string service_health::describe(const server& v, base::time_point now) const {
  return "service=" + service_ + " error_score=" + number(v.error_score) +
         " latency_score=" + number(latency_total(v, now)) +
         " probe_part=" + number(probe_part(v, now)) + " contrast=" + number(contrast(v, now)) +
         " bad_share=" + number(bad_share(v, now)) +
         " instances=" + std::to_string(v.windows.size()) + " flaps=" + std::to_string(v.flaps);
}

void service_health::record_decision(std::string rule, std::string_view kind,
                                     std::string_view subject, std::string outcome,
                                     std::string evidence) const {
  if (on_decision_) {
    on_decision_({std::move(rule), std::string(kind), std::string(subject), std::move(outcome),
                  std::move(evidence), 0});
  }
}

} // namespace kingcupshunt::health
