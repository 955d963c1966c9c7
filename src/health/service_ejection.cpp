// Ejection of one server: scope of the fault, floor, verdict.
#include <algorithm>
#include <cstdio>
#include <iterator>
#include <set>
#include <string_view>

#include "kingcupshunt/health/service_health.h"

namespace kingcupshunt::health {

namespace {

constexpr std::uint32_t greatest_flaps = 5;
constexpr base::seconds path_hold{10};
constexpr base::seconds refusal_report_interval{10};

// A worse server replaces an ejected one at the floor only when it is clearly worse; otherwise two
// servers that are about as bad would take turns.
constexpr double replace_margin = 0.3;

// Log likelihood ratio against the other servers' recent attempts that an ejection needs.
constexpr double least_contrast = 7;

// Until probes have had this time, a fault that few instances saw is not yet judged.
constexpr base::milliseconds witness_wait{300};
constexpr std::size_t enough_witnesses = 3;
constexpr double witness_bad = 0.3;

// Log likelihood by which a path fault must explain the attempts better than a bad server. Findings
// below it cleared the scores of servers that failed 30 % and delayed their ejection by 10 s.
constexpr double least_margin = 2;

// An instance with more than this part of the service's traffic needs no second witness.
constexpr double sole_witness_part = 0.9;

std::string number(double x) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.2f", x);
  return buf;
}

} // namespace

bool service_health::decide_candidate(server& v, double floor, base::time_point now) {
  const auto counts = witnesses_of(v, now);
  if (is_waiting_for_witnesses(v, counts, now)) {
    return false;
  }
  const double needed = v.state == standing::probation ? least_contrast / 2 : least_contrast;
  if (servers_.size() < 2 || contrast(v, now) < needed) {
    if (now >= next_wide_report_ && is_service_wide(v, now)) {
      next_wide_report_ = now + base::seconds(10);
      decide(is_by_latency(v, now) ? "service.slow_everywhere" : "service.failing_everywhere",
             "service", service_, "no_ejection",
             "upstream=" + v.up.info.id + " " + describe(v, now));
    }
    return false;
  }
  if (find_path_fault(v, counts, now)) {
    return true;
  }
  if (v.state == standing::normal) {
    const double n = v.recent_bad + v.recent_good;
    const double share = n > 0 ? v.recent_bad / n : bad_share(v, now);
    v.badness = failed_probes(v, now) >= 3 ? 2 : share + (v.has_hard_error ? 1 : 0);
    if (!make_room(v, floor, now)) {
      return false;
    }
  }
  eject(v, now);
  return true;
}

// Attempts by instance, with failed probes. Good probes count only against refused connections:
// a health path that answers well says nothing about errors and latency of requests.
std::vector<instance_counts> service_health::witnesses_of(const server& v,
                                                          base::time_point now) const {
  auto counts = counts_of(v, v.episode, now);
  std::erase_if(counts, [&](const auto& c) { return is_excluded(c.instance, v, now); });
  const bool is_about_connections =
      v.has_refused ||
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
bool service_health::is_waiting_for_witnesses(const server& v,
                                              std::span<const instance_counts> counts,
                                              base::time_point now) const {
  std::set<std::string_view> centres;
  std::set<std::string_view> bad_centres;
  std::size_t bad = 0;
  for (const auto& [id, i] : instances_) {
    centres.insert(i.data_centre);
  }
  // A single bad answer beside failed probes is no witness of what the probes met.
  const bool is_by_probes = !v.has_refused && std::ranges::any_of(v.probes, [](const auto& item) {
    return item.second.is_bad;
  });
  for (const auto& c : counts) {
    const auto probe = v.probes.find(c.instance);
    const bool has_failed_probe = probe != v.probes.end() && probe->second.is_bad;
    if (c.bad > witness_bad && (!is_by_probes || has_failed_probe)) {
      ++bad;
      bad_centres.insert(c.data_centre);
    }
  }
  const bool is_wide = bad >= enough_witnesses && (bad_centres.size() > 1 || centres.size() < 2);
  return !is_wide && now - v.suspected_since < witness_wait;
}

// True when the server is not to be ejected now: the fault belongs to the way from some instances,
// or it is not yet clear. Instances that meet a path fault rank the server last, and their
// attempts at it stop counting for a while.
bool service_health::find_path_fault(server& v, std::span<const instance_counts> counts,
                                     base::time_point now) {
  double attempts = 0;
  double most = 0;
  for (const auto& [id, i] : instances_) {
    attempts += i.attempts;
    most = std::max(most, i.attempts);
  }
  const auto finding = find_scope(counts, 0);
  const auto witnesses =
      std::ranges::count_if(counts, [](const auto& c) { return c.bad > witness_bad; });
  // A server on probation was bad for all lately, so one witness is enough.
  const bool is_sole = witnesses < 2 && instances_.size() > 1 && v.state != standing::probation &&
                       most < sole_witness_part * attempts;
  if (finding.scope == fault_scope::server) {
    return is_sole; // waits for another witness
  }
  if (finding.margin < least_margin) {
    return true; // undecided: the next attempts tell
  }
  std::string names;
  for (const auto& instance : finding.instances) {
    v.path_until[instance] = now + path_hold;
    names += (names.empty() ? "" : ",") + instance;
  }
  decide("path_fault", "upstream", v.up.info.id, to_string(finding.scope),
         "instances=" + names + " margin=" + number(finding.margin) + " " + describe(v, now));
  clear_scores(v);
  return true;
}

// Checks the floor for one more ejection; lifts clearly less bad ones when that makes room.
bool service_health::make_room(const server& v, double floor, base::time_point now) {
  const auto servers = known();
  auto proposed = withheld_servers();
  proposed.push_back({v.up.info.id, v.badness});
  auto& candidate = servers_.find(v.up.info.id)->second;
  if (count_capacity(servers, proposed).is_above(floor)) {
    return true;
  }
  const auto kept = fit_to_floor(servers, proposed, floor);
  const auto is_kept = [&](const std::string& id) {
    return std::ranges::any_of(kept, [&](const auto& w) { return w.id == id; });
  };
  std::vector<server*> lifted;
  bool is_worth = is_kept(v.up.info.id);
  for (auto& [id, other] : servers_) {
    if (other.state != standing::normal && !is_kept(id)) {
      lifted.push_back(&other);
      is_worth = is_worth && other.badness + replace_margin <= v.badness;
    }
  }
  if (!is_worth) {
    refuse(candidate, count_capacity(servers, withheld_servers()), floor, now);
    return false;
  }
  for (auto* other : lifted) {
    decide("ejection.replaced", "upstream", other->up.info.id, "returned",
           "worse=" + v.up.info.id + " " + describe(*other, now));
    other->state = standing::normal;
    other->since = now;
    other->is_refused = true;
  }
  return true;
}

void service_health::refuse(server& v, const capacity& c, double floor, base::time_point now) {
  v.is_refused = true;
  if (now < v.next_refusal_report) {
    return;
  }
  v.next_refusal_report = now + refusal_report_interval;
  decide("ejection.floor", "upstream", v.up.info.id, "refused",
         "healthy_slots=" + std::to_string(c.healthy) + " announced_slots=" +
             std::to_string(c.announced) + " floor=" + number(floor) + " " + describe(v, now));
}

void service_health::eject(server& v, base::time_point now) {
  const bool by_latency = is_by_latency(v, now);
  const bool is_hard = !by_latency && v.has_hard_error;
  v.reason = by_latency ? "latency" : is_hard ? "hard_failure" : "error_rate";
  if (v.state == standing::probation || v.flaps > 0) {
    v.flaps = std::min(v.flaps + 1, greatest_flaps);
  }
  const auto hold = settings_.first_hold * (1U << v.flaps);
  v.hold = std::min<base::duration>(hold, settings_.longest_hold);
  decide("ejection." + v.reason, "upstream", v.up.info.id, "ejected",
         describe(v, now) + " hold_ms=" + std::to_string(base::to_ms(v.hold)));
  if (v.flaps == 0) {
    v.flaps = 1;
  }
  v.state = standing::ejected;
  v.since = now;
  v.hold_until = now + v.hold;
  v.good_probes = 0;
  v.is_refused = false;
  clear_scores(v);
}

} // namespace kingcupshunt::health
