// What an entry does while data centres are evacuated.

#include "entry_traffic.h"

#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

namespace {

/// An evacuation of all data centres of a service lasts until an operator ends it. Callers return
/// seldom enough to cost little, and soon enough after its end.
constexpr base::seconds evacuation_retry_after{2};

} // namespace

void entry_traffic::set_evacuations(const fleet::evacuation_set& evacuations) {
  const auto now = base::clock::now();
  for (const auto& name : evacuations_.data_centres) {
    runtime_.metrics.set("data_centre_evacuated", evacuations.contains(name) ? 1 : 0, name);
  }
  for (const auto& name : evacuations.data_centres) {
    runtime_.metrics.set("data_centre_evacuated", 1, name);
  }
  runtime_.metrics.set("evacuations", static_cast<double>(evacuations.data_centres.size()));
  evacuations_ = evacuations;
  board_.set_evacuations(evacuations, now);
  for (const auto& [service, gate] : gates_) {
    dispatch(service, now);
  }
}

/// Asked between the choice of a server and the sending: an order may have come while the
/// connection was made, or the process was suspended so long that the lease has ended.
bool entry_traffic::may_send(const std::string& server, bool is_open_route) const {
  return !board_.is_server_evacuated(server) && (is_open_route || link_.is_fresh());
}

proxy::refusal entry_traffic::refusal_of_evacuation() {
  return {503, "evacuated", "every data centre with servers of the service is evacuated",
          proxy::ran_state::no, evacuation_retry_after};
}

} // namespace kingcupshunt::node
