// Log lines of an entry about refused requests and suspected servers.

#include "entry_traffic.h"

#include <algorithm>
#include <utility>

#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

namespace {

constexpr base::milliseconds suspicion_interval{250};
constexpr double log_rate = 40;   // request log lines per second
constexpr double log_burst = 200; // request log lines

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
