// Backend servers whose answers say that they leave.

#include "entry_traffic.h"
#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

void entry_traffic::log_leaving(const balance::leaving_notice& notice) {
  runtime_.metrics.count("server_leaving_total", "own_answer");
  if (may_log(base::clock::now())) {
    observe::log_info("server_leaving", {{"server", notice.server},
                                         {"service", notice.service},
                                         {"source", "own_answer"},
                                         {"in_flight", notice.in_flight}});
  }
}

} // namespace kingcupshunt::node
