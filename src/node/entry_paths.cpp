// Ways of an entry to the backend servers: its own links and tunnels through other entries.

#include "entry_traffic.h"
#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

/// Tunnels are used in turn, so that one entry that has lost its path as well costs one attempt.
proxy::connection_plan entry_traffic::plan_connection() {
  const auto now = base::clock::now();
  const auto& tunnels = link_.tunnels();
  proxy::connection_plan out;
  out.is_direct_first = path_.is_direct_next(now);
  if (!tunnels.empty()) {
    out.tunnel = tunnels[++next_tunnel_ % tunnels.size()];
  }
  return out;
}

void entry_traffic::note_connection(const proxy::connection_outcome& outcome) {
  const auto now = base::clock::now();
  const bool was_cut_off = path_.is_cut_off();
  if (!outcome.failed_tunnel.empty()) {
    link_.drop_tunnel(outcome.failed_tunnel);
  }
  if (outcome.is_connected && !outcome.is_tunnelled) {
    path_.direct_connected(outcome.upstream, now);
  } else if (outcome.has_direct_failed && outcome.is_tunnelled) {
    path_.direct_failed(now);
    path_.only_tunnel_connected(outcome.upstream, now);
  } else if (outcome.has_direct_failed) {
    path_.direct_failed(now);
  }
  if (path_.is_cut_off() == was_cut_off) {
    return;
  }
  observe::log_warning("server_path", {{"is_cut_off", path_.is_cut_off()},
                                       {"server", outcome.upstream},
                                       {"tunnels", link_.tunnels().size()}});
  runtime_.metrics.count("server_path_changes_total", path_.is_cut_off() ? "lost" : "regained");
  if (path_.is_cut_off()) {
    board_.excuse_running();
  }
  link_.query_now();
  on_path_change_();
}

} // namespace kingcupshunt::node
