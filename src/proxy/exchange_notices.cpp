// What an answer says about its server.

#include "exchange.h"

namespace kingcupshunt::proxy {

/// Reads from the head whether the server leaves; fields after the body are not read. Answers of
/// another instance say nothing about the intended one.
void exchange::note_server_leaving() {
  const auto& names = context_.settings.names;
  const auto fields = names.server_leaving.empty() ? 0 : answer().count(names.server_leaving);
  const bool is_other_instance = answer().result_int() == 421 && !names.expected_instance.empty();
  if (fields == 0 || is_other_instance) {
    return;
  }
  if (fields > 1 || answer()[names.server_leaving] != "1") {
    context_.metrics.count("upstream_leaving_unreadable_total");
    return;
  }
  is_leaving_ = true;
  context_.pool.discard_idle(target_.id);
}

} // namespace kingcupshunt::proxy
