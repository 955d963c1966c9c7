// What an entry does while backend servers have asked it for a pause.

#include "entry_traffic.h"
#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

void entry_traffic::note_pause(const balance::pause_change& change) {
  runtime_.metrics.count("server_pauses_total", "own_answer");
  if (may_log(base::clock::now())) {
    observe::log_info("server_paused", {{"server", change.server},
                                        {"for_ms", base::to_ms(change.pause)},
                                        {"source", "own_answer"},
                                        {"in_flight", change.in_flight}});
  }
}

/// A refusal until the earliest end of a pause when all servers of the service are paused.
std::optional<proxy::refusal> entry_traffic::refusal_of_pause(const std::string& service,
                                                              base::time_point now) const {
  const auto end = board_.pause_end(service, now);
  if (!end) {
    return std::nullopt;
  }
  const auto wait = std::chrono::ceil<base::milliseconds>(*end - now);
  return proxy::refusal{503, "servers_paused", "every server has asked for a pause",
                        proxy::ran_state::no, wait};
}

} // namespace kingcupshunt::node
