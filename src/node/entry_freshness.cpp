// How old the configuration may be by which an entry serves a request.

#include "entry_traffic.h"
#include "request_facts.h"

namespace kingcupshunt::node {

namespace {

constexpr base::milliseconds stale_retry_after{500};

} // namespace

/// Refuses by a configuration that is known to be overtaken too: another entry has the newer one.
std::optional<proxy::refusal> entry_traffic::refusal_of_age(bool needs_lease,
                                                            base::time_point now) const {
  const auto refused = [](const char* message) {
    return not_run(503, "stale_configuration", message, stale_retry_after);
  };
  if (needs_lease && !link_.is_fresh()) {
    return refused("no contact with a majority of control instances");
  }
  if (link_.is_outdated(now)) {
    return refused("a newer configuration has not arrived here in time");
  }
  return std::nullopt;
}

} // namespace kingcupshunt::node
