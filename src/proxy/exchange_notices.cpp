// What an answer says about its server.

#include "exchange.h"

#include <algorithm>

#include "kingcupshunt/proxy/head_checks.h"
#include "kingcupshunt/rates/server_limit.h"

namespace kingcupshunt::proxy {

namespace http = boost::beast::http;
using health::attempt_end;

/// Reads the limit that the answer states for its server. A failure without one says nothing, since
/// a server in trouble may omit the field.
void exchange::note_server_limit() {
  const auto& name = context_.settings.names.server_limit;
  if (name.empty()) {
    return;
  }
  if (answer().count(name) == 0) {
    limit_ = end_ == attempt_end::ok ? health::limit_notice::none : health::limit_notice::unknown;
    return;
  }
  if (const auto limit = server_limit_of({answer()[name].data(), answer()[name].size()})) {
    const auto in_force = rates::limit_in_force(*limit);
    limit_ = in_force ? health::limit_notice::limited : health::limit_notice::none;
    server_limit_ = in_force.value_or(0);
  } else {
    limit_ = health::limit_notice::unknown;
    context_.metrics.count("upstream_limits_unreadable_total");
  }
}

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

/// Reads how long the server remains cold. Answers of another instance say nothing about the
/// intended one.
void exchange::note_server_cold() {
  const auto& names = context_.settings.names;
  const auto fields = names.server_cold.empty() ? 0 : answer().count(names.server_cold);
  const bool is_other_instance = answer().result_int() == 421 && !names.expected_instance.empty();
  if (fields == 0 || is_other_instance) {
    return;
  }
  const auto value = answer()[names.server_cold];
  const auto left =
      fields == 1 ? cold_left_of({value.data(), value.size()}) : std::optional<base::duration>();
  if (!left) {
    context_.metrics.count("upstream_cold_unreadable_total");
    return;
  }
  cold_until_ = base::clock::now() + *left;
}

health::attempt exchange::to_attempt(const authorized_request& request,
                                     std::uint64_t fingerprint) const {
  health::attempt a;
  a.service = request.service->name;
  a.route = request.route->name;
  a.upstream = target_.id;
  a.end = end_;
  a.status = parser_ ? answer().result_int() : 0;
  a.first_byte = std::max(first_byte_, base::duration{});
  a.total = total_;
  a.fingerprint = fingerprint;
  a.was_reused = was_reused_;
  a.limit = limit_;
  a.server_limit = server_limit_;
  a.is_leaving = is_leaving_;
  a.pause = pause_;
  if (cold_until_) {
    a.cold_left = std::max(*cold_until_ - base::clock::now(), base::duration{});
  }
  return a;
}

} // namespace kingcupshunt::proxy
