// Ejection of one server: scope of the fault, floor, verdict.
#include <algorithm>
#include <cstdio>
#include <iterator>
#include <set>
#include <string_view>

#include "kingcupshunt/health/service_health.h"

namespace kingcupshunt::health {

namespace {

constexpr std::uint32_t max_flaps = 5;
constexpr base::seconds path_hold{10};
constexpr base::seconds refusal_report_interval{10};

// A worse server replaces an ejected one at the floor only when it is clearly worse; otherwise two
// servers that are about as bad would take turns.
constexpr double replace_margin = 0.3;

// Log likelihood ratio against the other servers' recent attempts that an ejection needs.
constexpr double min_contrast = 7;

// Until probes have had this time, a fault that few instances saw is not yet judged.
constexpr base::milliseconds report_wait{300};
constexpr std::size_t min_reporting_instances = 3;
constexpr double min_reported_bad = 0.3;

// Log likelihood by which a path fault must explain the attempts better than a bad server. Findings
// below it cleared the scores of servers that failed 30 % and delayed their ejection by 10 s.
constexpr double min_margin = 2;

// An instance with more than this part of the service's traffic needs no second witness.
constexpr double sole_reporter_part = 0.9;

std::string number(double x) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.2f", x);
  return buf;
}

} // namespace

bool service_health::decide_candidate(server& v, double floor, base::time_point now) {
  const auto counts = counts_with_probes(v, now);
  if (is_waiting_for_reports(v, counts, now)) {
    return false;
  }
  const double needed = v.state == ejection_state::probation ? min_contrast / 2 : min_contrast;
  if (servers_.size() < 2 || contrast(v, now) < needed) {
    if (now >= next_service_wide_report_ && is_service_wide(v, now)) {
      next_service_wide_report_ = now + base::seconds(10);
      record_decision(
          is_by_latency(v, now) ? "service.slow_everywhere" : "service.failing_everywhere",
          "service", service_, "no_ejection", "upstream=" + v.up.info.id + " " + describe(v, now));
    }
    return false;
  }
  if (find_path_fault(v, counts, now)) {
    return true;
  }
  if (v.state == ejection_state::normal) {
    const double n = v.recent_bad + v.recent_good;
    const double share = n > 0 ? v.recent_bad / n : bad_share(v, now);
    v.severity = failed_probes(v, now) >= 3 ? 2 : share + (v.has_hard_error ? 1 : 0);
    if (!fit_ejection_to_floor(v, floor, now)) {
      return false;
    }
  }
  eject(v, now);
  return true;
}

// Attempts by instance, with failed probes. Good probes count only against refused connections:
// a health path that answers well says nothing about errors and latency of requests.
std::vector<instance_counts> service_health::counts_with_probes(const server& v,
                                                                base::time_point now) const {
  auto counts = counts_of(v, v.episode, now);
  std::erase_if(counts, [&](const auto& c) { return is_excluded(c.instance, v, now); });
  const bool is_about_connections =
      v.has_refused_connection ||
      std::ranges::any_of(v.probes, [](const auto& item) { return item.second.is_bad; });
  for (const auto& [instance, p] : v.probes) {
    const auto i = instances_.find(instance);
    if (i == instances_.end() || is_excluded(instance, v, now) ||
        now - p.received > base::seconds(3) || (!p.is_bad && !is_about_connections)) {
      continue;
    }
    auto it = std::ranges::find(counts, instance, &instance_counts::instance);
    if (it == counts.end()) {
      counts.push_back({instance, i->second.data_centre, 0, 0});
      it = std::prev(counts.end());
    }
    (p.is_bad ? it->bad : it->good) += 1;
  }
  return counts;
}

// Refused connections come back before good answers of probes, so a fault of one path would look
// like one of the server for some milliseconds.
bool service_health::is_waiting_for_reports(const server& v,
                                            std::span<const instance_counts> counts,
                                            base::time_point now) const {
  std::set<std::string_view> data_centres;
  std::set<std::string_view> bad_data_centres;
  std::size_t bad = 0;
  for (const auto& [id, i] : instances_) {
    data_centres.insert(i.data_centre);
  }
  // A single bad answer beside failed probes is no witness of what the probes met.
  const bool is_by_probes =
      !v.has_refused_connection &&
      std::ranges::any_of(v.probes, [](const auto& item) { return item.second.is_bad; });
  for (const auto& c : counts) {
    const auto probe = v.probes.find(c.instance);
    const bool has_failed_probe = probe != v.probes.end() && probe->second.is_bad;
    if (c.bad > min_reported_bad && (!is_by_probes || has_failed_probe)) {
      ++bad;
      bad_data_centres.insert(c.data_centre);
    }
  }
  const bool is_wide =
      bad >= min_reporting_instances && (bad_data_centres.size() > 1 || data_centres.size() < 2);
  return !is_wide && now - v.suspected_since < report_wait;
}

// True when the server is not to be ejected now: the fault belongs to the way from some instances,
// or it is not yet clear. Instances that meet a path fault rank the server last, and their
// attempts at it stop counting for a while.
bool service_health::find_path_fault(server& v, std::span<const instance_counts> counts,
                                     base::time_point now) {
  double attempts = 0;
  double max_attempts = 0;
  for (const auto& [id, i] : instances_) {
    attempts += i.attempts;
    max_attempts = std::max(max_attempts, i.attempts);
  }
  const auto finding = find_scope(counts, 0);
  const auto reporting_instances =
      std::ranges::count_if(counts, [](const auto& c) { return c.bad > min_reported_bad; });
  // A server on probation was bad for all lately, so one witness is enough.
  const bool is_single_report = reporting_instances < 2 && instances_.size() > 1 &&
                                v.state != ejection_state::probation &&
                                max_attempts < sole_reporter_part * attempts;
  if (finding.scope == fault_scope::server) {
    return is_single_report; // waits for another witness
  }
  if (finding.margin < min_margin) {
    return true; // undecided: the next attempts tell
  }
  std::string names;
  for (const auto& instance : finding.instances) {
    v.path_fault_until[instance] = now + path_hold;
    names += (names.empty() ? "" : ",") + instance;
  }
  record_decision("path_fault", "upstream", v.up.info.id, to_string(finding.scope),
                  "instances=" + names + " margin=" + number(finding.margin) + " " +
                      describe(v, now));
  clear_scores(v);
  return true;
}

// Checks the floor for one more ejection; lifts clearly less bad ones when that makes room.
bool service_health::fit_ejection_to_floor(const server& v, double floor, base::time_point now) {
  const auto servers = known();
  auto proposed = withheld_servers();
  proposed.push_back({v.up.info.id, v.severity});
  auto& candidate = servers_.find(v.up.info.id)->second;
  if (count_capacity(servers, proposed).is_above(floor)) {
    return true;
  }
  const auto kept = fit_to_floor(servers, proposed, floor);
  const auto is_kept = [&](const std::string& id) {
    return std::ranges::any_of(kept, [&](const auto& w) { return w.id == id; });
  };
  std::vector<server*> lifted;
  bool is_replacement_justified = is_kept(v.up.info.id);
  for (auto& [id, other] : servers_) {
    if (other.state != ejection_state::normal && !is_kept(id)) {
      lifted.push_back(&other);
      is_replacement_justified =
          is_replacement_justified && other.severity + replace_margin <= v.severity;
    }
  }
  if (!is_replacement_justified) {
    refuse_ejection(candidate, count_capacity(servers, withheld_servers()), floor, now);
    return false;
  }
  for (auto* other : lifted) {
    record_decision("ejection.replaced", "upstream", other->up.info.id, "returned",
                    "worse=" + v.up.info.id + " " + describe(*other, now));
    other->state = ejection_state::normal;
    other->since = now;
    other->is_ejection_refused = true;
  }
  return true;
}

void service_health::refuse_ejection(server& v, const capacity& c, double floor,
                                     base::time_point now) {
  v.is_ejection_refused = true;
  if (now < v.next_refusal_report) {
    return;
  }
  v.next_refusal_report = now + refusal_report_interval;
  record_decision("ejection.floor", "upstream", v.up.info.id, "refused",
                  "healthy_slots=" + std::to_string(c.healthy) +
                      " announced_slots=" + std::to_string(c.announced) +
                      " floor=" + number(floor) + " " + describe(v, now));
}

void service_health::eject(server& v, base::time_point now) {
  const bool by_latency = is_by_latency(v, now);
  const bool is_hard = !by_latency && v.has_hard_error;
  v.reason = by_latency ? "latency" : is_hard ? "hard_failure" : "error_rate";
  if (v.state == ejection_state::probation || v.flaps > 0) {
    v.flaps = std::min(v.flaps + 1, max_flaps);
  }
  const auto hold = settings_.initial_hold * (1U << v.flaps);
  v.hold = std::min<base::duration>(hold, settings_.max_hold);
  record_decision("ejection." + v.reason, "upstream", v.up.info.id, "ejected",
                  describe(v, now) + " hold_ms=" + std::to_string(base::to_ms(v.hold)));
  if (v.flaps == 0) {
    v.flaps = 1;
  }
  v.state = ejection_state::ejected;
  v.since = now;
  v.hold_until = now + v.hold;
  v.good_probes = 0;
  v.is_ejection_refused = false;
  clear_scores(v);
}

} // namespace kingcupshunt::health
