// Log lines of an entry about refused requests and suspected servers.

#include "entry_traffic.h"

#include <algorithm>
#include <utility>

#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

namespace {

constexpr base::milliseconds suspicion_interval{250};
constexpr base::milliseconds full_services_interval{250};
constexpr base::seconds long_full_time{1}; ///< a service that is full for shorter is not logged
constexpr double log_rate = 40;            // request log lines per second
constexpr double log_burst = 200;          // request log lines

} // namespace

/// Writes a line when most servers of a service become suspected or stop being so: the fault is
/// then more likely in the service, in the network or in this instance than in single servers.
void entry_traffic::log_suspicions(base::time_point now) {
  if (now < suspicions_at_) {
    return;
  }
  suspicions_at_ = now + suspicion_interval;
  for (const auto& [service, s] : board_.suspicions(now)) {
    auto& was_mostly = is_mostly_suspected_[service];
    const bool is_mostly = 2 * s.suspected > s.usable;
    if (is_mostly == was_mostly) {
      continue;
    }
    was_mostly = is_mostly;
    const auto since = std::exchange(failures_, {});
    observe::log_info("servers_suspected", {{"service", service},
                                            {"is_most", is_mostly},
                                            {"suspected", s.suspected},
                                            {"usable", s.usable},
                                            {"failures_here", since.own},
                                            {"failures_elsewhere", since.others}});
  }
}

/// Writes a line when requests have waited for a service without a free slot for long, and when
/// that ends: what its slots are taken for tells a lack of servers from a wrong count.
void entry_traffic::log_full_services(base::time_point now) {
  if (now < full_services_at_) {
    return;
  }
  full_services_at_ = now + full_services_interval;
  for (const auto& [service, gate] : gates_) {
    const bool is_full = gate.waiting() > 0 && board_.free_slots(service, now) == 0;
    const auto it = full_.find(service);
    if (it == full_.end()) {
      if (is_full) {
        full_.emplace(service, full_period{now, false});
      }
      continue;
    }
    auto& period = it->second;
    const bool has_become_long =
        is_full && !period.is_logged && now - period.since >= long_full_time;
    const bool has_ended = !is_full && period.is_logged;
    if (has_become_long || has_ended) {
      const auto load = board_.load_of(service, now);
      period.is_logged = true;
      observe::log_info("service_full", {{"service", service},
                                         {"is_full", is_full},
                                         {"for_ms", base::to_ms(now - period.since)},
                                         {"waiting", gate.waiting()},
                                         {"usable", load.usable},
                                         {"slots", load.slots},
                                         {"own", load.own},
                                         {"others", load.others},
                                         {"refused", load.refused}});
    }
    if (!is_full) {
      full_.erase(it);
    }
  }
}

/// Limits the log lines about refusals, which are frequent during faults. Metrics count all of
/// them.
bool entry_traffic::may_log(base::time_point now) {
  log_tokens_ =
      std::min(log_burst, log_tokens_ + log_rate * base::to_seconds(now - log_tokens_at_));
  log_tokens_at_ = now;
  if (log_tokens_ < 1) {
    ++log_dropped_;
    return false;
  }
  log_tokens_ -= 1;
  if (log_dropped_ > 0) {
    observe::log_warning("log_lines_dropped", {{"count", std::exchange(log_dropped_, 0)}});
  }
  return true;
}

void entry_traffic::record_refusal(const proxy::request_head& head, const proxy::refusal& r,
                                   const std::vector<std::string>& tried) {
  const auto now = base::clock::now();
  if (!may_log(now)) {
    return;
  }
  std::string servers;
  for (const auto& id : tried) {
    servers += (servers.empty() ? "" : ",") + id;
  }
  observe::log_info("request_refused",
                    {{"request_id", head.request_id},
                     {"host", head.host},
                     {"path", head.path},
                     {"tried", servers},
                     {"held_ms", base::to_ms(now - head.arrival_time)},
                     {"connection_serial", head.connection_serial},
                     {"ran", proxy::to_string(r.ran)},
                     {"status", r.status},
                     {"reason", r.reason},
                     {"version", link_.version()},
                     {"is_fresh", link_.is_fresh()},
                     {"retry_after_ms", r.retry_after ? r.retry_after->count() : 0}});
}

} // namespace kingcupshunt::node
