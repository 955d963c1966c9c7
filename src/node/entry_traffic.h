#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshunt/admission/crash_history.h"
#include "kingcupshunt/admission/fleet_demand.h"
#include "kingcupshunt/admission/service_gate.h"
#include "kingcupshunt/admission/start_gate.h"
#include "kingcupshunt/admission/window_budget.h"
#include "kingcupshunt/balance/path_monitor.h"
#include "kingcupshunt/balance/server_board.h"
#include "kingcupshunt/fleet/entry_link.h"
#include "kingcupshunt/proxy/hooks.h"
#include "kingcupshunt/rates/client.h"
#include "kingcupshunt/rates/local_share.h"
#include "kingcupshunt/settings/role_settings.h"
#include "role_runtime.h"

namespace kingcupshunt::node {

/// Decides about requests on an entry instance: lease and key, rate limit, queueing, choice of the
/// server, retries. Used on the event loop's thread only.
class entry_traffic {
public:
  /// `on_path_change` is called when this instance loses or regains its path to the servers.
  entry_traffic(role_runtime& runtime, fleet::entry_link& link,
                std::function<void()> on_path_change);

  proxy::hooks make_hooks();

  void on_server(const fleet::server_record& record);
  void on_document(const config::snapshot& configuration);
  void update_controls();
  void set_evacuations(const fleet::evacuation_set& evacuations); // entry_evacuations.cpp
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  balance::server_board& board() noexcept { return board_; }
  bool is_cut_off() const noexcept { return path_.is_cut_off(); }
  bool has_no_path() const noexcept { return path_.state() == balance::path_state::none; }
  std::string address_of(std::string_view server) const { return board_.address_of(server); }

private:
  struct part_counter {
    std::uint64_t n = 0;
    double offset = 0; ///< start of the low-discrepancy sequence; differs between instances
  };

  balance::board_hooks make_board_hooks();
  proxy::decided<proxy::authorized_request> authorize(const proxy::request_head& head);
  const config::route_part* choose_part(const config::route& route);
  void admit(const proxy::authorized_request& request,
             std::function<void(proxy::decided<void>)> done);
  void enter_gate(const proxy::authorized_request& request,
                  std::function<void(proxy::decided<void>)> done);
  proxy::decided<proxy::upstream_target> pick(const proxy::authorized_request& request,
                                              std::uint64_t fingerprint,
                                              const std::vector<std::string>& tried);
  void report(const proxy::authorized_request& request, const health::attempt& a);
  bool may_retry(const proxy::authorized_request& request, const health::attempt& last);
  std::optional<base::duration> hedge_delay(const proxy::authorized_request& request) const;
  bool is_refused_by_pick(const std::string& service, base::time_point now) const;
  admission::gate_capacity capacity_of(const std::string& service, base::time_point now) const;
  proxy::connection_plan plan_connection(); // entry_paths.cpp
  bool note_direct_failure(const std::string& server);
  void note_connection(const proxy::connection_outcome& outcome);
  void note_attempt(health::attempt& a, base::time_point now);
  std::optional<proxy::refusal> refusal_of_path();
  std::optional<proxy::refusal> refusal_of_age(bool needs_lease, base::time_point now) const;
  std::string host_of(std::string_view server) const;
  void probe_paths(base::time_point now);
  void probe_path(balance::probe_way way, const fleet::server_record& server);
  void update_path(balance::path_state before, std::string_view server);
  void dispatch(const std::string& service, base::time_point now);
  // Admission over all entries, in entry_admission.cpp.
  admission::service_gate& gate_of(const std::string& service);
  admission::gate_request turn_of(const proxy::authorized_request& request) const;
  proxy::refusal refusal_of_gate(admission::gate_refusal reason, const std::string& service,
                                 const admission::gate_request& turn, base::time_point deadline);
  admission::start_query start_query_of(const std::string& service, base::time_point now) const;
  void dispatch_fleet(const std::string& service, base::time_point now);
  void add_demands(fleet::load_report& report, base::time_point now);
  void learn_demands(const fleet::load_report& total, base::time_point now);
  void note_held(const std::string& service, std::size_t held, base::time_point now);
  void receive_permits(std::string_view from, std::string_view body, base::time_point now);
  void send_report(base::time_point now);
  void note_pause(const balance::pause_change& change);
  std::optional<proxy::refusal> refusal_of_pause(const std::string& service,
                                                 base::time_point now) const;
  void log_suspicions(base::time_point now);
  void log_full_services(base::time_point now);
  void record_refusal(const proxy::request_head& head, const proxy::refusal& r,
                      const std::vector<std::string>& tried);
  bool may_log(base::time_point now);
  bool may_send(const std::string& server, bool is_open_route) const; // entry_evacuations.cpp
  static proxy::refusal refusal_of_evacuation();
  void log_leaving(const balance::leaving_notice& notice); // entry_leaving.cpp
  void note_cold(const balance::cold_change& change);      // entry_cold.cpp
  void add_cold_permits(const fleet::permit_grant& grant, base::time_point now);
  static base::duration suspended_time() noexcept;

  role_runtime& runtime_;
  fleet::entry_link& link_;
  balance::server_board board_;
  rates::client rates_;
  admission::window_budget retries_;
  admission::crash_history crashes_;
  std::map<std::string, admission::service_gate, std::less<>> gates_;
  /// By service; empty without fleet admission.
  std::map<std::string, admission::fleet_demand, std::less<>> demands_;
  struct held_count {
    std::uint64_t held = 0;    ///< waiting requests at a dispatch that had free slots for them
    std::uint64_t refused = 0; ///< by the gate
    base::time_point logged_at{};
  };
  std::map<std::string, held_count, std::less<>> held_; ///< since the last log line, by service
  rates::local_share local_share_; ///< used while the owner of a rate does not answer
  std::map<std::string, part_counter, std::less<>> parts_;
  admission::start_gate start_gate_{{}, base::clock::now()};
  struct failure_count {
    std::uint64_t own = 0;    ///< observed here
    std::uint64_t others = 0; ///< reported by other instances
  };
  failure_count failures_; ///< since the last log line about suspected servers
  std::map<std::string, bool, std::less<>> is_mostly_suspected_; ///< by service
  base::time_point suspicions_at_{};
  struct full_period {
    base::time_point since{};
    bool is_logged = false;
  };
  std::map<std::string, full_period, std::less<>> full_; ///< services without a free slot
  base::time_point full_services_at_{};
  balance::path_monitor path_;
  std::function<void()> on_path_change_;
  std::size_t next_tunnel_ = 0;
  std::string relay_;
  bool is_relay_local_ = false; ///< the relay has the load of this data centre only
  base::time_point full_report_at_{};
  fleet::evacuation_set evacuations_;
  std::uint64_t serial_ = 0;
  double log_tokens_ = 0;
  base::time_point log_tokens_at_{};
  std::uint64_t log_dropped_ = 0;
  std::uint64_t view_index_ = 0;
  base::rng rng_;
};

} // namespace kingcupshunt::node
