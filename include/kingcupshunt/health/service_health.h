#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/health/evidence.h"
#include "kingcupshunt/health/evidence_pool.h"
#include "kingcupshunt/health/fault_scope.h"
#include "kingcupshunt/health/floor.h"
#include "kingcupshunt/health/upstream.h"
#include "kingcupshunt/observe/decision.h"

namespace kingcupshunt::health {

/// What an owner may do at present.
enum class owner_phase : std::uint8_t {
  collecting, ///< a former owner may still act: evidence only
  renewing,   ///< ejections reported in force may be renewed or lifted
  deciding    ///< may eject
};

struct service_settings {
  base::duration lifetime = base::seconds(5); ///< of a verdict, renewed with each answer
  base::duration initial_hold = base::seconds(2);
  base::duration max_hold = base::seconds(60);
  base::duration probation_time = base::seconds(10); ///< return at the latest without bad evidence
  base::duration cold_start = base::seconds(15);     ///< latency of a new server says nothing
  /// Scores at which a server is ejected; docs/notes/health.md has the reasons.
  double error_threshold = 15;
  double latency_threshold = 11;
  std::uint64_t seed = 1;
};

/// Failure detection and ejections of one service, on its owner.
class service_health {
public:
  using decision_hook = std::function<void(observe::decision)>;

  service_health(std::string service, service_settings settings, decision_hook on_decision);

  void set_upstreams(const std::vector<upstream>& servers, base::time_point now);
  void add_evidence(std::string_view from, const evidence_message& m, base::time_point now);

  /// Decides. Returns true when verdicts or wanted probes changed and are worth sending at once.
  bool evaluate(owner_phase phase, double floor, base::time_point now);

  /// Verdicts for one instance; fills verdicts, probes and the fault finding.
  void fill(verdicts_message& out, std::string_view instance, base::time_point now);

  /// Drops all ejections and evidence: this instance stopped being the owner.
  void reset(base::time_point now);

  std::vector<withheld> withheld_servers() const;
  /// Present score of a server as a part of the threshold, for tests and /explain.
  double score(std::string_view id) const;

private:
  enum class ejection_state : std::uint8_t { normal, ejected, probation };

  struct window_counts {
    double bad = 0;
    double good = 0;
    std::string data_centre;
  };
  struct probe_result {
    bool is_bad = false;
    base::time_point received{};
  };
  struct open_evidence {
    double score = 0;
    double count = 0;
    base::time_point received{};
  };
  struct server {
    upstream up;
    double error_score = 0;
    double latency_score = 0;
    bool has_hard_error = false;         ///< since the scores were cleared
    bool has_refused_connection = false; ///< a connection, by a request
    double interval_gain = 0;            ///< latency score gained since gain_interval_start
    base::time_point gain_interval_start{};
    double recent_bad = 0; ///< attempts of the last seconds
    double recent_good = 0;
    std::map<std::string, probe_result, std::less<>> probes; ///< newest by instance
    bool has_bad_status = false;                             ///< of a probe
    base::time_point suspected_since{};                      ///< when probes were asked for first
    base::time_point last_seen{};                            ///< last attempt
    bool is_last_attempt_bad = false;
    std::map<std::string, window_counts, std::less<>> windows; ///< by instance
    /// Attempts since the scores last were near 0, by instance: since the fault began, if any.
    std::map<std::string, window_counts, std::less<>> episode;
    std::map<std::string, open_evidence, std::less<>> open; ///< by instance
    std::map<std::string, base::time_point, std::less<>> path_fault_until;

    ejection_state state = ejection_state::normal;
    base::time_point since{};
    base::time_point hold_until{};
    base::duration hold{};
    std::uint32_t flaps = 0;
    double severity = 0;
    std::string reason;
    std::uint32_t good_probes = 0;
    base::time_point next_probe{};
    double return_score = 0; ///< error scores summed in probation
    double probation_weight = 0;
    bool is_ejection_refused = false;
    bool is_checking = false;
    base::time_point next_refusal_report{};
  };
  struct instance_state {
    std::string data_centre;
    base::time_point last_evidence{};
    double attempts = 0;
    base::time_point faulty_until{};
    std::string fault;
    std::set<std::string> requested_probes;
  };
  struct reported_ejection {
    server_verdict verdict;
    base::time_point ends;
  };

  // Evidence.
  void add_upstream_evidence(std::string_view from, instance_state& i, server& v,
                             const upstream_evidence& u, base::time_point now);
  void add_route_evidence(std::string_view from, server& v, const route_evidence& r, bool is_scored,
                          bool is_pooled, base::time_point now);
  void add_probe_result(std::string_view from, server& v, probe_outcome outcome,
                        base::time_point now);
  void add_latency_score(server& v, double score, base::time_point now) const;
  void add_reported_ejections(const evidence_message& m, base::time_point now);
  void decay_scores(base::time_point now);

  // Scores.
  double open_score(const server& v, base::time_point now) const;
  double latency_total(const server& v, base::time_point now) const;
  bool is_by_latency(const server& v, base::time_point now) const;
  /// Scores as parts of their thresholds; at 1 a server is a candidate for ejection.
  double request_part(const server& v, base::time_point now) const;
  double probe_part(const server& v, base::time_point now) const;
  double total_part(const server& v, base::time_point now) const;
  double contrast(const server& v, base::time_point now) const;
  /// Failed probes less good ones of the last seconds.
  double failed_probes(const server& v, base::time_point now) const;
  double bad_share(const server& v, base::time_point now) const;
  bool is_cold(const server& v, base::time_point now) const;
  bool is_excluded(std::string_view instance, const server& v, base::time_point now) const;
  bool is_service_wide(const server& except, base::time_point now) const;
  double check_weight() const;
  std::vector<instance_counts>
  counts_of(const server& v, const std::map<std::string, window_counts, std::less<>>& windows,
            base::time_point now) const;

  // Decisions.
  void update_faulty_instances(base::time_point now);
  bool adopt_reported(double floor, base::time_point now);
  bool lift_below_floor(double floor, base::time_point now);
  bool step_normal(server& v, std::vector<server*>& candidates, base::time_point now);
  bool step_ejected(server& v, base::time_point now);
  bool step_probation(server& v, std::vector<server*>& candidates, base::time_point now);
  bool decide_candidate(server& v, double floor, base::time_point now);
  bool is_waiting_for_reports(const server& v, std::span<const instance_counts> counts,
                              base::time_point now) const;
  bool find_path_fault(server& v, std::span<const instance_counts> counts, base::time_point now);
  std::vector<instance_counts> counts_with_probes(const server& v, base::time_point now) const;
  void eject(server& v, base::time_point now);
  bool fit_ejection_to_floor(const server& v, double floor, base::time_point now);
  void refuse_ejection(server& v, const capacity& c, double floor, base::time_point now);
  void request_probes(server& v, std::size_t n, base::time_point now);
  void clear_scores(server& v);
  void record_decision(std::string rule, std::string_view kind, std::string_view subject,
                       std::string outcome, std::string evidence) const;
  std::string describe(const server& v, base::time_point now) const;
  std::vector<upstream> known() const;

  std::string service_;
  service_settings settings_;
  decision_hook on_decision_;
  base::rng rng_;
  evidence_pool pool_;
  std::map<std::string, server, std::less<>> servers_;
  std::map<std::string, instance_state, std::less<>> instances_;
  std::map<std::string, reported_ejection, std::less<>> reported_;
  base::time_point first_upstreams_{};
  base::time_point last_decay_{};
  base::time_point last_pool_decay_{};
  base::time_point next_faulty_check_{};
  bool has_new_probes_ = false;
  base::time_point next_service_wide_report_{};
};

} // namespace kingcupshunt::health
