#include "ledger.h"

#include <algorithm>
#include <sstream>

namespace kingcupshunt::soak {

namespace {

constexpr std::size_t max_reports = 20; // of one promise; more of the same say nothing new
/// Late answers of this many requests, and of more than half of those still open, break the limit.
constexpr std::size_t least_late = 8;

bool is_promise_of_not_run(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

const char* to_string(promise p) noexcept {
  switch (p) {
  case promise::right_answer:
    return "right_answer";
  case promise::only_what_was_asked:
    return "only_what_was_asked";
  case promise::key_stays_hidden:
    return "key_stays_hidden";
  case promise::at_most_once:
    return "at_most_once";
  case promise::true_refusals:
    return "true_refusals";
  case promise::withdrawn_keys:
    return "withdrawn_keys";
  case promise::keys_in_force:
    return "keys_in_force";
  case promise::rates:
    return "rates";
  case promise::leaving_servers:
    return "leaving_servers";
  case promise::newest_configuration:
    return "newest_configuration";
  case promise::valid_configuration:
    return "valid_configuration";
  case promise::planned_stops:
    return "planned_stops";
  case promise::time_limits:
    return "time_limits";
  case promise::harness:
    return "harness";
  case promise::recovery:
    return "recovery";
  }
  return "unknown";
}

void ledger::report(promise p, std::string detail) {
  if (++reported_[p] <= max_reports) {
    violations_.push_back({p, std::move(detail)});
  }
}

void ledger::set_rate(const std::string& workspace, double per_second, double burst) {
  rates_[workspace] = {per_second, burst};
}

void ledger::note_sent(const sent_request& request) {
  requests_[request.id].request = request;
}

void ledger::note_run(const std::string& id, const std::string& server, const std::string& service,
                      const std::string& workspace, bool has_key, base::time_point now) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    report(promise::only_what_was_asked, server + " ran the unknown request " + id);
    return;
  }
  auto& f = it->second;
  const auto& r = f.request;
  if (workspace != r.workspace || service != r.service) {
    report(promise::only_what_was_asked, server + " of " + service + " ran " + id +
                                             " for workspace \"" + workspace + "\", not " +
                                             r.workspace + " at " + r.service);
  }
  if (has_key) {
    report(promise::key_stays_hidden, server + " saw the key of " + id);
  }
  if (!r.is_repeatable && !f.servers.empty()) {
    report(promise::at_most_once, id + " ran at " + f.servers.front() + " and " + server);
  }
  f.servers.push_back(server);
  if (const auto w = withdrawn_.find(r.key);
      w != withdrawn_.end() && r.at > w->second + bounds_.withdrawal) {
    report(promise::withdrawn_keys, id + " ran, sent " +
                                        std::to_string(base::to_ms(r.at - w->second)) +
                                        " ms after its key was withdrawn, through " + r.entry);
  }
  const auto l = leaving_.find(server);
  if (l != leaving_.end() && now > l->second + bounds_.drain &&
      is_calm(r.entry, l->second - bounds_.calm, now)) {
    report(promise::leaving_servers, server + " got " + id + " through " + r.entry + " " +
                                         std::to_string(base::to_ms(now - l->second)) +
                                         " ms after it left");
  }
}

void ledger::note_served(const std::string& id) {
  if (const auto it = requests_.find(id); it != requests_.end()) {
    it->second.was_served = true;
  }
}

void ledger::note_answer(const std::string& id, const seen_answer& answer) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    report(promise::right_answer, "an answer to the unknown request " + id);
    return;
  }
  auto& f = it->second;
  f.answer = answer;
  f.has_answer = true;
  ++statuses_[answer.status];
  if (answer.status >= 200 && answer.status < 300) {
    ++successes_;
    if (!answer.is_own || f.servers.empty()) {
      report(promise::right_answer, id + " got a success that no server gave it");
    }
  }
  denied_in_force_ += is_denied_in_force(f) ? 1 : 0;
  const auto stop = stops_.find(f.request.entry);
  const bool is_cut = answer.status == 0 && f.was_served && stop != stops_.end() &&
                      f.request.at >= stop->second - bounds_.calm &&
                      is_calm(f.request.entry, f.request.at - bounds_.calm, answer.at);
  if (is_cut) {
    report(promise::planned_stops, f.request.entry + " cut " + id + " around its stop");
  }
}

void ledger::note_issued(const std::string& key, base::time_point acked) {
  issued_.try_emplace(key, acked);
}

void ledger::note_withdrawing(const std::string& key) {
  withdrawing_.insert(key);
}

/// A key that no order has withdrawn and that has been in force for long enough.
bool ledger::is_denied_in_force(const fact& f) const {
  const bool is_denial = f.answer.status == 401 || f.answer.status == 403 || f.answer.status == 404;
  const auto issued = issued_.find(f.request.key);
  return is_denial && issued != issued_.end() && !withdrawing_.contains(f.request.key) &&
         f.request.at > issued->second + bounds_.issue;
}

void ledger::note_withdrawn(const std::string& key, base::time_point acked) {
  withdrawn_.try_emplace(key, acked);
}

void ledger::note_leaving(const std::string& server, base::time_point acked) {
  leaving_.try_emplace(server, acked);
}

void ledger::note_accepted(std::uint64_t version) {
  accepted_ = std::max(accepted_, version);
}

void ledger::note_read(std::uint64_t version, std::uint64_t accepted) {
  if (version < accepted) {
    report(promise::newest_configuration, "version " + std::to_string(version) +
                                              " was read, version " + std::to_string(accepted) +
                                              " had been acknowledged");
  }
}

void ledger::note_invalid_accepted(const std::string& what) {
  report(promise::valid_configuration, what);
}

void ledger::note_slow_stop(const std::string& instance) {
  report(promise::planned_stops, instance + " did not end within its grace time");
}

void ledger::note_harness_failure(const std::string& what) {
  report(promise::harness, what);
}

void ledger::note_recovery(std::size_t served, std::size_t sent) {
  constexpr double least_share = 0.9; // nothing is wrong any more, and the load is low
  if (sent == 0 || static_cast<double>(served) < least_share * static_cast<double>(sent)) {
    report(promise::recovery, std::to_string(served) + " of " + std::to_string(sent) +
                                  " requests were served after the last fault");
  }
}

void ledger::begin_trouble(const std::string& instance, base::time_point now) {
  troubles_[instance].push_back({now, base::time_point::max()});
}

void ledger::end_trouble(const std::string& instance, base::time_point now) {
  for (auto& it : troubles_[instance]) {
    it.end = std::min(it.end, now);
  }
}

void ledger::begin_stop(const std::string& instance, base::time_point now) {
  stops_[instance] = now;
}

bool ledger::is_calm(const std::string& instance, base::time_point from,
                     base::time_point to) const {
  const auto is_free = [&](const std::string& name) {
    const auto it = troubles_.find(name);
    return it == troubles_.end() || std::ranges::none_of(it->second, [&](const span& s) {
             return s.begin <= to && s.end >= from;
           });
  };
  return is_free(instance) && is_free("control");
}

void ledger::check_refusals() {
  for (const auto& [id, f] : requests_) {
    const bool is_refused = f.has_answer && is_promise_of_not_run(f.answer.status);
    if (is_refused && !f.request.is_repeatable && !f.servers.empty()) {
      report(promise::true_refusals, id + " was answered " + std::to_string(f.answer.status) +
                                         " and ran at " + f.servers.front());
    }
  }
}

void ledger::check_rates() {
  std::map<std::string, std::vector<base::time_point>> ran;
  for (const auto& [id, f] : requests_) {
    if (!f.servers.empty()) {
      ran[f.request.workspace].push_back(f.request.at);
    }
  }
  for (auto& [workspace, times] : ran) {
    const auto rate = rates_.find(workspace);
    if (rate == rates_.end()) {
      continue;
    }
    const auto [per_second, burst] = rate->second;
    const double most =
        (per_second * base::to_seconds(bounds_.rate_window) + burst) * (1 + bounds_.rate_over) +
        bounds_.rate_slack;
    std::ranges::sort(times);
    std::size_t from = 0;
    std::size_t greatest = 0;
    for (std::size_t to = 0; to < times.size(); ++to) {
      while (times[to] - times[from] > bounds_.rate_window) {
        ++from;
      }
      greatest = std::max(greatest, to - from + 1);
    }
    if (static_cast<double>(greatest) > most) {
      report(promise::rates,
             workspace + " had " + std::to_string(greatest) + " requests run in one window");
    }
  }
}

void ledger::check_time_limits() {
  std::size_t open = 0;
  std::size_t late = 0;
  for (const auto& [id, f] : requests_) {
    const auto limit = f.request.at + bounds_.time_limit;
    const bool is_open = f.has_answer && f.answer.at > limit;
    if (!is_open || !is_calm(f.request.entry, f.request.at - bounds_.calm, f.answer.at)) {
      continue;
    }
    ++open;
    late += f.answer.at > limit + bounds_.time_limit_slack ? 1 : 0;
  }
  if (late >= least_late && late * 2 > open) {
    report(promise::time_limits, std::to_string(late) + " of " + std::to_string(open) +
                                     " requests had no answer after their time limit");
  }
}

void ledger::finish() {
  const auto allowed = static_cast<double>(bounds_.wrongful_slack) +
                       bounds_.wrongful_share * static_cast<double>(requests_.size());
  if (static_cast<double>(denied_in_force_) > allowed) {
    report(promise::keys_in_force,
           std::to_string(denied_in_force_) + " requests with a key in force were denied");
  }
  check_refusals();
  check_rates();
  check_time_limits();
}

std::size_t ledger::answers(unsigned status) const {
  const auto it = statuses_.find(status);
  return it == statuses_.end() ? 0 : it->second;
}

std::string ledger::summary() const {
  std::ostringstream out;
  out << "sent=" << requests_.size() << " served=" << successes_;
  for (const auto& [status, n] : statuses_) {
    out << " status_" << status << "=" << n;
  }
  out << " accepted_version=" << accepted_;
  return out.str();
}

} // namespace kingcupshunt::soak
