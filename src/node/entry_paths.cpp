// Ways of an entry to the backend servers: its own links and tunnels through other entries.

#include "entry_traffic.h"
#include "kingcupshunt/balance/probe_target.h"
#include "kingcupshunt/observe/event_log.h"
#include "kingcupshunt/proxy/path_probe.h"
#include "kingcupshunt/settings/process_settings.h"

namespace kingcupshunt::node {

namespace {

using balance::path_state;
using balance::probe_way;
using health::attempt_end;

/// Connecting to a server takes about 1 ms, at most 8 ms between data centres.
constexpr base::milliseconds direct_probe_timeout{100};
/// The other instance waits up to 200 ms for the server.
constexpr base::milliseconds tunnel_probe_timeout{250};
/// For each way of a request's connection while the path is in doubt. An instance with 0.1 cores
/// may need 100 ms for its part of a tunnel. Where tunnels are the only way they keep the usual
/// time, since the instances behind them then serve more requests.
constexpr base::milliseconds doubtful_connect_timeout{200};
/// Callers that were refused return after a random time between these two: not before the next
/// probe, and soon enough to be served within the shortest timeout of callers (2 s).
constexpr base::milliseconds min_path_retry_after{300};
constexpr base::milliseconds max_path_retry_after{1300};

/// Failures of a connection, which a lost path causes as well as a fault of the server.
bool may_be_of_path(attempt_end end) noexcept {
  switch (end) {
  case attempt_end::connect_failed:
  case attempt_end::closed_unanswered:
  case attempt_end::truncated:
  case attempt_end::timed_out:
    return true;
  default:
    return false;
  }
}

bool is_answered(attempt_end end) noexcept {
  return end == attempt_end::ok || end == attempt_end::error_status || end == attempt_end::shed;
}

} // namespace

/// Tunnels are used in turn, so that one entry that has lost its path as well costs one attempt.
proxy::connection_plan entry_traffic::plan_connection() {
  const auto& tunnels = link_.tunnels();
  proxy::connection_plan out;
  out.is_direct_first = path_.is_direct_next();
  if (!tunnels.empty()) {
    out.tunnel = tunnels[++next_tunnel_ % tunnels.size()];
  }
  if (path_.state() != path_state::tunnelled && path_.is_suspected(base::clock::now())) {
    out.timeout = doubtful_connect_timeout;
  }
  return out;
}

/// Servers on one host fail together, so evidence against the path counts hosts.
std::string entry_traffic::host_of(std::string_view server) const {
  const auto address = board_.address_of(server);
  return address.empty() ? std::string(server) : address.substr(0, address.rfind(':'));
}

/// Recorded before the tunnel has been tried, which takes several times as long.
bool entry_traffic::note_direct_failure(const std::string& server) {
  const auto before = path_.state();
  path_.set_has_tunnels(!link_.tunnels().empty());
  path_.direct_failed(host_of(server), base::clock::now());
  update_path(before, server);
  return !has_no_path();
}

void entry_traffic::note_connection(const proxy::connection_outcome& outcome) {
  const auto now = base::clock::now();
  const auto before = path_.state();
  if (!outcome.failed_tunnel.empty()) {
    link_.drop_tunnel(outcome.failed_tunnel);
  }
  path_.set_has_tunnels(!link_.tunnels().empty());
  if (outcome.is_connected && !outcome.is_tunnelled) {
    path_.direct_connected(outcome.upstream, now);
  } else if (outcome.is_tunnelled && (outcome.has_direct_failed || has_no_path())) {
    path_.only_tunnel_connected(outcome.upstream, now);
  } else if (outcome.is_tunnelled) {
    path_.answered(now);
  } else {
    if (!outcome.failed_tunnel.empty()) {
      path_.tunnel_failed(now);
    }
    if (outcome.has_direct_failed) {
      path_.direct_failed(host_of(outcome.upstream), now);
    }
  }
  update_path(before, outcome.upstream);
}

/// A failure while the path is lost or in doubt is not evidence against the server, neither here
/// nor at the other entries.
void entry_traffic::note_attempt(health::attempt& a, base::time_point now) {
  if (is_answered(a.end)) {
    path_.answered(now);
    return;
  }
  const bool is_doubtful = a.end == attempt_end::connect_failed && path_.is_suspected(now);
  if (is_doubtful || (has_no_path() && may_be_of_path(a.end))) {
    a.end = attempt_end::cancelled;
    runtime_.metrics.count("path_failures_excused_total");
  }
}

/// The refusal of a request that no server can get from here. Retries are spread over time.
std::optional<proxy::refusal> entry_traffic::refusal_of_path() {
  if (!has_no_path()) {
    return std::nullopt;
  }
  const auto spread = static_cast<std::uint64_t>((max_path_retry_after - min_path_retry_after) /
                                                 base::milliseconds(1));
  const auto extra = base::milliseconds(static_cast<std::int64_t>(rng_.below(spread)));
  proxy::refusal out{503, "no_path", "no backend server can be reached from this instance",
                     proxy::ran_state::no, min_path_retry_after + extra};
  out.is_general = true;
  return out;
}

void entry_traffic::probe_paths(base::time_point now) {
  path_.set_has_tunnels(!link_.tunnels().empty());
  const auto way = path_.next_probe(now);
  if (!way) {
    return;
  }
  auto servers = board_.entries(now);
  std::erase_if(servers, [](const balance::board_entry& e) {
    return e.record.state != fleet::server_state::ready || e.record.address.empty();
  });
  if (servers.empty()) {
    return;
  }
  std::vector<balance::probe_candidate> candidates;
  candidates.reserve(servers.size());
  for (const auto& s : servers) {
    candidates.push_back({s.record.service, host_of(s.record.id)});
  }
  probe_path(*way, servers[balance::choose_probe_target(candidates, path_, rng_)].record);
}

void entry_traffic::probe_path(probe_way way, const fleet::server_record& server) {
  proxy::path_probe probe;
  probe.server = server.id;
  probe.address = server.address;
  probe.timeout = direct_probe_timeout;
  if (way == probe_way::tunnel) {
    const auto& tunnels = link_.tunnels();
    probe.tunnel = tunnels[++next_tunnel_ % tunnels.size()];
    probe.timeout = tunnel_probe_timeout;
    probe.handshake.self_id = runtime_.settings.id;
    probe.handshake.fleet = runtime_.settings.fleet;
    probe.handshake.secret = runtime_.settings.fleet_secret;
  }
  const bool is_direct = way == probe_way::direct;
  proxy::probe_path(
      runtime_.io.get_executor(), probe,
      [this, is_direct, server = server.id, tunnel = probe.tunnel](bool is_connected) {
        const auto now = base::clock::now();
        const auto before = path_.state();
        runtime_.metrics.count("path_probes_total", is_connected ? "connected" : "failed");
        if (is_direct && is_connected) {
          path_.direct_connected(server, now);
        } else if (is_direct) {
          path_.probe_failed(host_of(server), now);
        } else if (is_connected) {
          path_.only_tunnel_connected(server, now);
        } else {
          link_.drop_tunnel(tunnel);
        }
        update_path(before, server);
      });
}

/// Acts on a change of the state.
void entry_traffic::update_path(path_state before, std::string_view server) {
  const auto after = path_.state();
  if (after == before) {
    return;
  }
  observe::log_warning("server_path", {{"is_cut_off", path_.is_cut_off()},
                                       {"state", balance::to_string(after)},
                                       {"before", balance::to_string(before)},
                                       {"server", server},
                                       {"tunnels", link_.tunnels().size()}});
  runtime_.metrics.count("server_path_states_total", balance::to_string(after));
  if ((before == path_state::direct) != (after == path_state::direct)) {
    runtime_.metrics.count("server_path_changes_total", path_.is_cut_off() ? "lost" : "regained");
  }
  if (path_.is_cut_off()) {
    board_.excuse_running();
  }
  link_.query_now();
  on_path_change_();
}

} // namespace kingcupshunt::node
