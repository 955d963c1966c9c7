#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/health/attempt.h"
#include "kingcupshunt/health/evidence.h"
#include "kingcupshunt/health/status.h"
#include "kingcupshunt/health/upstream.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/observe/decision.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::health {

struct reporter_settings {
  std::string self;
  std::string data_centre;
  base::duration summary_interval = base::milliseconds(200);
  base::duration idle_interval = base::seconds(1); ///< without traffic and verdicts
  base::duration min_urgent_interval = base::milliseconds(20);
  base::duration probe_timeout = base::milliseconds(250); ///< the node enforces it
};

struct reporter_hooks {
  /// Messages to the own id must come back through `service_owner::receive`.
  peer::send_function send;
  /// Share of the announced capacity that stays usable; 1 when the service is unknown.
  std::function<double(std::string_view service)> floor_of;
  /// Starts a probe of the server's health path; `probe_done` tells its end.
  std::function<void(std::string_view service, std::string_view upstream)> start_probe;
  /// The states of a service's servers changed. Input of `balancer::set_states`.
  std::function<void(std::string_view service, const std::vector<server_status>&,
                     base::time_point now)>
      on_states;
  /// The owner of a service finds this instance faulty, or no longer. For self-removal.
  std::function<void(std::string_view service, bool is_faulty, std::string_view evidence)>
      on_self_faulty;
  std::function<void(observe::decision)> on_decision;
};

/// Each instance's side of failure detection: sums up its attempts for the owners of the services
/// and applies the owners' verdicts while they last and as far as the floor allows.
class reporter {
public:
  reporter(reporter_settings settings, reporter_hooks hooks);

  void set_upstreams(std::string_view service, const std::vector<upstream>& servers,
                     base::time_point now);
  void set_view(const membership::fleet_view& view, base::time_point now);

  /// A try begins. Optional; without it a server that hangs is found only by its timeouts.
  void attempt_started(std::string_view service, std::string_view route, std::string_view id,
                       base::time_point now);
  /// A try ended.
  void report(const attempt& a, base::time_point now);
  void probe_done(std::string_view service, std::string_view id, probe_outcome outcome,
                  base::time_point now);

  /// Takes health_verdicts; ignores other kinds.
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  /// Servers of the service that are not in their normal state, by id.
  std::vector<server_status> states(std::string_view service) const;
  std::uint64_t malformed_count() const noexcept { return malformed_; }

private:
  struct open_attempt {
    std::string route;
    base::time_point start;
    bool is_overdue = false;
  };
  struct server {
    std::vector<open_attempt> open;
    std::map<std::string, route_evidence, std::less<>> routes;
    std::uint32_t sheds = 0;
    std::uint32_t failures_in_row = 0;
    base::time_point last_failure{};
  };
  struct verdict_in_force {
    server_verdict verdict;
    base::time_point ends;
  };
  struct service_state {
    std::vector<upstream> upstreams;
    std::map<std::string, server, std::less<>> servers;
    std::vector<probe_evidence> probes;
    std::map<std::string, double, std::less<>> mean_seconds; ///< moving mean by route
    std::map<std::string, verdict_in_force> verdicts;
    std::vector<server_status> applied;
    std::uint64_t view_version = 0;
    std::uint64_t sequence = 0;
    std::string owner;
    base::time_point last_sent{};
    base::time_point last_attempt{};
    bool has_urgent_evidence = false;
    bool is_self_faulty = false;
  };

  void apply_verdicts(const verdicts_message& m, base::time_point now);
  void send_summary(const std::string& service, service_state& s, base::time_point now);
  void fill(evidence_message& m, service_state& s, base::time_point now) const;
  void find_overdue(service_state& s, base::time_point now) const;
  void apply(const std::string& service, service_state& s, base::time_point now);
  std::vector<server_status> effective_states(const std::string& service, const service_state& s,
                                              base::time_point now) const;

  reporter_settings settings_;
  reporter_hooks hooks_;
  membership::fleet_view view_;
  std::map<std::string, service_state, std::less<>> services_;
  std::uint64_t malformed_ = 0;
};

} // namespace kingcupshunt::health
