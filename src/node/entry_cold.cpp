// Backend servers that are cold, of services that state a rate for these.

#include "entry_traffic.h"
#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

void entry_traffic::on_document(const config::snapshot& configuration) {
  std::map<std::string, balance::cold_terms, std::less<>> terms;
  for (const auto& [name, service] : configuration.services()) {
    if (service->cold_rate > 0) {
      terms.emplace(name, balance::cold_terms{service->cold_rate, service->warmup});
    }
  }
  board_.set_cold_terms(std::move(terms), base::clock::now());
}

void entry_traffic::note_cold(const balance::cold_change& change) {
  runtime_.metrics.count("server_cold_changes_total", change.is_cold ? "began" : "ended");
  if (may_log(base::clock::now())) {
    observe::log_info("server_cold", {{"server", change.server},
                                      {"service", change.service},
                                      {"is_cold", change.is_cold},
                                      {"left_ms", base::to_ms(change.left)},
                                      {"sent_here", change.sent}});
  }
}

/// Time for which the machine has been suspended since it started.
base::duration entry_traffic::suspended_time() noexcept {
  const auto steady = base::clock::now();
  return base::boot_clock::now().time_since_epoch() - steady.time_since_epoch();
}

void entry_traffic::add_cold_permits(const fleet::permit_grant& grant, base::time_point now) {
  std::uint32_t all = 0;
  for (const auto& p : grant.cold) {
    all += p.permits;
  }
  if (all == 0) {
    return;
  }
  const auto late = board_.add_cold_permits(grant, now, suspended_time());
  runtime_.metrics.count("cold_permits_total", "received", all);
  runtime_.metrics.count("cold_permits_total", "late", late);
}

} // namespace kingcupshunt::node
