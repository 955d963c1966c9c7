// Evidence of one service: intake, scores and what they mean.
#include <algorithm>
#include <cmath>

#include "kingcupshunt/health/service_health.h"

namespace kingcupshunt::health {

namespace {

// Scores above the threshold are cut so that a server that recovers is not held back by its past,
// and so that servers cannot differ by much when the whole service is bad.
constexpr double score_excess = 5;

// Scores fade without new evidence.
constexpr base::seconds score_half_life{30};

// Windows by instance serve to tell scopes apart; they reach over some attempts of each instance.
constexpr base::seconds window_half_life{5};

// A latency score above this marks an attempt as bad in the windows: its tail probability is
// below about 5 %.
constexpr double bad_latency_score = 0.9;

constexpr base::seconds open_lifetime{1};
constexpr base::seconds probe_lifetime{3};
// Part of the threshold that failed probes add: four complete one failed request or one slow
// attempt. Bad answers of the health path mislead more often and count less.
constexpr double part_per_probe = 0.235;
constexpr double max_probe_part = 0.95;
constexpr double bad_status_part = 0.3;

// Requests must have given this part of the threshold before probes count: probes confirm only.
constexpr double min_request_part = 0.12;

constexpr double elevated_part = 1.0 / 3;

// Below this part of the threshold no fault is going on.
constexpr double no_fault_part = 0.05;

// Other servers above this part are left out of the comparison, at most a third of them.
constexpr double outlier_part = 0.6;
constexpr double clean_share = 0.02;
constexpr double clean_attempts = 2;

// Requests that run together on a server meet the same pause of it and are not independent, so the
// latency score gains at most this much in each interval: one pause of a second ejects no server.
constexpr double max_interval_gain = 4.5;
constexpr base::milliseconds gain_interval{300};
constexpr double max_open_score = 6;
constexpr base::seconds recent_half_life{2};

// Above this part of the other servers the fault is the service's, not a server's.
constexpr double service_wide_part = 0.45;

constexpr base::seconds recent_traffic_window{5};

double cap_score(double score, double threshold) {
  return std::clamp(score, 0.0, threshold + score_excess);
}

} // namespace

void service_health::add_evidence(std::string_view from, const evidence_message& m,
                                  base::time_point now) {
  auto& i = instances_[std::string(from)];
  i.data_centre = m.data_centre;
  i.last_evidence = now;
  for (auto& [id, v] : servers_) {
    v.open.erase(std::string(from));
  }
  for (const auto& u : m.upstreams) {
    if (const auto it = servers_.find(u.upstream); it != servers_.end()) {
      add_upstream_evidence(from, i, it->second, u, now);
    }
  }
  for (const auto& p : m.probes) {
    const auto it = servers_.find(p.upstream);
    if (it != servers_.end() && p.outcome <= static_cast<std::uint8_t>(probe_outcome::failed) &&
        i.faulty_until <= now) {
      add_probe_result(from, it->second, static_cast<probe_outcome>(p.outcome), now);
    }
  }
  add_reported_ejections(m, now);
}

void service_health::add_reported_ejections(const evidence_message& m, base::time_point now) {
  for (const auto& h : m.held) {
    const auto ends =
        now + std::min<base::duration>(base::milliseconds(h.lifetime_ms), settings_.lifetime);
    auto& known = reported_[h.upstream];
    if (ends > known.ends) {
      known = {h, ends};
    }
  }
}

void service_health::add_upstream_evidence(std::string_view from, instance_state& i, server& v,
                                           const upstream_evidence& u, base::time_point now) {
  const bool is_scored = v.state != ejection_state::ejected && !is_excluded(from, v, now);
  // Attempts of a suspected server would make its fault look usual; when the whole service is
  // slow or failing, that is what is usual now.
  const bool is_suspected = request_part(v, now) > 0.25;
  const bool is_pooled =
      is_scored && !is_cold(v, now) && (!is_suspected || is_service_wide(v, now));
  if (request_part(v, now) < no_fault_part) {
    v.episode.clear();
  }
  v.windows[std::string(from)].data_centre = i.data_centre;
  v.episode[std::string(from)].data_centre = i.data_centre;
  for (const auto& r : u.routes) {
    add_route_evidence(from, v, r, is_scored, is_pooled, now);
    i.attempts += static_cast<double>(r.total.size()) + r.soft_errors + r.hard_errors;
  }
}

void service_health::add_route_evidence(std::string_view from, server& v, const route_evidence& r,
                                        bool is_scored, bool is_pooled, base::time_point now) {
  const auto n = std::min(r.first_byte.size(), r.total.size());
  const auto& id = v.up.info.id;
  const auto good = pool_.good_score(r.route, id);
  const auto soft = pool_.soft_error_score(r.route, id);
  const auto hard = pool_.hard_error_score(r.route, id);
  const bool has_latency = !is_cold(v, now);
  double error_sum = v.error_score;
  double bad_n = r.soft_errors + r.hard_errors;
  double good_n = 0;

  for (std::size_t k = 0; k < n; ++k) {
    const auto latency = pool_.latency_score(r.route, id, r.first_byte[k], r.total[k]);
    const bool is_bad = has_latency && latency > bad_latency_score;
    (is_bad ? bad_n : good_n) += 1;
    v.is_last_attempt_bad = is_bad;
    (is_bad ? v.recent_bad : v.recent_good) += 1;
    error_sum = cap_score(error_sum + good, settings_.error_threshold);
    if (has_latency && is_scored) {
      add_latency_score(v, latency, now);
    }
  }
  const double errors = std::min(50U, r.soft_errors) * soft + std::min(50U, r.hard_errors) * hard;
  error_sum = cap_score(error_sum + errors, settings_.error_threshold);
  for (const auto age : r.censored) {
    if (has_latency && is_scored) {
      add_latency_score(v, pool_.open_score(r.route, id, age), now);
    }
  }
  v.recent_bad += r.soft_errors + r.hard_errors;
  for (auto* windows : {&v.windows, &v.episode}) {
    auto& w = windows->find(from)->second;
    w.bad += bad_n;
    w.good += good_n;
  }
  v.is_last_attempt_bad = v.is_last_attempt_bad || r.soft_errors + r.hard_errors > 0;
  if (n > 0 || r.soft_errors + r.hard_errors > 0) {
    v.last_seen = now;
  }
  if (is_scored) {
    v.error_score = error_sum;

    v.return_score += errors + static_cast<double>(n) * good;
    v.has_hard_error = v.has_hard_error || r.hard_errors > 0;
    v.has_refused_connection = v.has_refused_connection || r.refused > 0;
  }
  for (const auto age : r.open) {
    const auto score = has_latency ? pool_.open_score(r.route, id, age) : 0;
    auto& o = v.open[std::string(from)];
    o.received = now;
    o.score += score;
    o.count += score > bad_latency_score ? 1 : 0;
  }
  if (is_pooled) {
    for (std::size_t k = 0; k < n; ++k) {
      pool_.add_good(r.route, id, r.first_byte[k], r.total[k]);
    }
    pool_.add_errors(r.route, id, r.soft_errors, r.hard_errors);
  }
}

void service_health::add_latency_score(server& v, double score, base::time_point now) const {
  if (now - v.gain_interval_start >= gain_interval) {
    v.gain_interval_start = now;
    v.interval_gain = 0;
  }
  const double gain = std::min(score, max_interval_gain - v.interval_gain);
  v.interval_gain += std::max(0.0, gain);
  v.latency_score = cap_score(v.latency_score + gain, settings_.latency_threshold);
}

void service_health::add_probe_result(std::string_view from, server& v, probe_outcome outcome,
                                      base::time_point now) {
  const bool is_failed = outcome == probe_outcome::failed;
  v.good_probes = outcome == probe_outcome::ok ? v.good_probes + 1 : 0;
  v.has_bad_status = outcome == probe_outcome::bad_status;
  v.probes[std::string(from)] = {is_failed, now};
}

void service_health::decay_scores(base::time_point now) {
  const auto elapsed = base::to_seconds(now - last_decay_);
  if (elapsed <= 0) {
    return;
  }
  last_decay_ = now;
  const auto score_factor = std::exp2(-elapsed / base::to_seconds(score_half_life));
  const auto window_factor = std::exp2(-elapsed / base::to_seconds(window_half_life));
  const auto recent_factor = std::exp2(-elapsed / base::to_seconds(recent_half_life));
  for (auto& [id, v] : servers_) {
    v.recent_bad *= recent_factor;
    v.recent_good *= recent_factor;
    v.error_score *= score_factor;
    v.latency_score *= score_factor;
    for (auto* windows : {&v.windows, &v.episode}) {
      for (auto& [instance, w] : *windows) {
        w.bad *= window_factor;
        w.good *= window_factor;
      }
      std::erase_if(*windows,
                    [](const auto& item) { return item.second.bad + item.second.good < 0.02; });
    }
    std::erase_if(v.path_fault_until, [&](const auto& item) { return item.second <= now; });
  }
  for (auto& [id, i] : instances_) {
    i.attempts *= window_factor;
  }
  if (now - last_pool_decay_ >= base::seconds(1)) {
    pool_.decay(std::min<base::duration>(now - last_pool_decay_, base::seconds(300)));
    last_pool_decay_ = now;
  }
}

double service_health::open_score(const server& v, base::time_point now) const {
  double sum = 0;
  for (const auto& [instance, o] : v.open) {
    if (now - o.received < open_lifetime && !is_excluded(instance, v, now)) {
      sum += o.score;
    }
  }
  return std::min(sum, max_open_score);
}

double service_health::latency_total(const server& v, base::time_point now) const {
  return cap_score(v.latency_score + open_score(v, now), settings_.latency_threshold);
}

bool service_health::is_by_latency(const server& v, base::time_point now) const {
  return latency_total(v, now) / settings_.latency_threshold >=
         v.error_score / settings_.error_threshold;
}

double service_health::request_part(const server& v, base::time_point now) const {
  return std::max(v.error_score / settings_.error_threshold,
                  latency_total(v, now) / settings_.latency_threshold);
}

double service_health::failed_probes(const server& v, base::time_point now) const {
  double failed = 0;
  for (const auto& [instance, p] : v.probes) {
    if (now - p.received < probe_lifetime && !is_excluded(instance, v, now)) {
      failed += p.is_bad ? 1 : -1;
    }
  }
  return failed;
}

double service_health::probe_part(const server& v, base::time_point now) const {
  return std::clamp(failed_probes(v, now) * part_per_probe,
                    v.has_bad_status ? bad_status_part : 0.0, max_probe_part);
}

double service_health::total_part(const server& v, base::time_point now) const {
  const double requests = request_part(v, now);
  return requests < min_request_part ? requests : requests + probe_part(v, now);
}

// Log likelihood ratio of the server's recent attempts at their own bad share against the other
// servers'. Up to a third of the others is left out when the rest is clean, so that several bad
// servers do not hide each other; otherwise the service is at fault and the ratio stays small.
double service_health::contrast(const server& v, base::time_point now) const {
  std::vector<std::pair<double, const server*>> others;
  for (const auto& [id, other] : servers_) {
    const double n = other.recent_bad + other.recent_good;
    if (&other != &v && other.state != ejection_state::ejected && n > 0.1) {
      others.emplace_back(total_part(other, now), &other);
    }
  }
  std::ranges::sort(others, {},
                    [](const auto& o) { return std::pair(o.first, o.second->up.info.id); });
  double bad = 0;
  double good = 0;
  for (const auto& [part, other] : others) {
    bad += other->recent_bad;
    good += other->recent_good;
  }
  double rest_bad = bad;
  double rest_good = good;
  for (std::size_t left = others.size() / 3; left > 0 && others.back().first > outlier_part;
       --left) {
    rest_bad -= others.back().second->recent_bad;
    rest_good -= others.back().second->recent_good;
    others.pop_back();
  }
  if (rest_bad < std::max(clean_attempts, clean_share * (rest_bad + rest_good))) {
    bad = rest_bad;
    good = rest_good;
  }
  double open = 0;
  for (const auto& [instance, o] : v.open) {
    open += o.count;
  }
  const double baseline = std::clamp((bad + 0.02) / (bad + good + 1), 0.01, 0.99);
  // Failed probes add to requests only; without a bad request there is no suspicion to confirm.
  const double failed = std::max(0.0, failed_probes(v, now));
  const double own_bad = v.recent_bad + open + failed;
  const double n = own_bad + v.recent_good;
  const double share = n <= 0 ? 0 : own_bad / n;
  if (share <= baseline) {
    return 0;
  }
  const double good_part = share < 1 ? v.recent_good * std::log((1 - share) / (1 - baseline)) : 0;
  return own_bad * std::log(share / baseline) + good_part;
}

double service_health::bad_share(const server& v, base::time_point now) const {
  double bad = 0;
  double good = 0;
  for (const auto& c : counts_of(v, v.episode, now)) {
    bad += c.bad;
    good += c.good;
  }
  return bad + good <= 0 ? 0 : bad / (bad + good);
}

// A server that joins a running service warms up; its latency says nothing for a while.
bool service_health::is_cold(const server& v, base::time_point now) const {
  return v.up.first_seen > first_upstreams_ + settings_.cold_start &&
         now - v.up.first_seen < settings_.cold_start;
}

bool service_health::is_excluded(std::string_view instance, const server& v,
                                 base::time_point now) const {
  const auto i = instances_.find(instance);
  if (i != instances_.end() && i->second.faulty_until > now) {
    return true;
  }
  const auto path = v.path_fault_until.find(instance);
  return path != v.path_fault_until.end() && path->second > now;
}

// Counts the other servers that are bad by their score or their last attempt. The last attempts
// react first when the whole service turns bad; the scores remain when only some requests fail.
bool service_health::is_service_wide(const server& except, base::time_point now) const {
  double seen = 0;
  double elevated = 0;
  double last_bad = 0;
  for (const auto& [id, v] : servers_) {
    const bool is_seen = now - v.last_seen < recent_traffic_window || !v.open.empty();
    if (&v == &except || v.state == ejection_state::ejected || !is_seen) {
      continue;
    }
    seen += 1;
    elevated += request_part(v, now) > elevated_part ? 1 : 0;
    last_bad += v.is_last_attempt_bad || open_score(v, now) > bad_latency_score ? 1 : 0;
  }
  return seen > 0 && std::max(elevated, last_bad) > service_wide_part * seen;
}

// Sends a suspected server three times its share of repeatable requests. The test needs a certain
// number of attempts whatever their rate, so the same number of requests meets a bad server and
// the decision comes sooner. Not while the servers are busy, where it would add load.
double service_health::check_weight() const {
  const auto n = static_cast<double>(std::max<std::size_t>(1, servers_.size()));
  const auto window = base::to_seconds(evidence_pool::half_life) / std::log(2.0);
  const double rate = pool_.weight() / window / n;
  double slots = 0;
  for (const auto& [id, v] : servers_) {
    slots += v.up.info.slots;
  }
  const double busy = rate * base::to_seconds(pool_.median_total()) / std::max(1.0, slots / n);
  return busy < 0.25 && rate < 20 ? 3 : 1;
}

std::vector<instance_counts>
service_health::counts_of(const server& v,
                          const std::map<std::string, window_counts, std::less<>>& windows,
                          base::time_point now) const {
  std::vector<instance_counts> out;
  out.reserve(windows.size() + v.open.size());
  for (const auto& [instance, w] : windows) {
    out.push_back({instance, w.data_centre, w.bad, w.good});
  }
  for (const auto& [instance, o] : v.open) {
    if (o.count <= 0 || now - o.received >= open_lifetime) {
      continue;
    }
    const auto it = std::ranges::find(out, instance, &instance_counts::instance);
    if (it != out.end()) {
      it->bad += o.count;
    } else {
      const auto i = instances_.find(instance);
      out.push_back({instance, i == instances_.end() ? "" : i->second.data_centre, o.count, 0});
    }
  }
  return out;
}

} // namespace kingcupshunt::health
