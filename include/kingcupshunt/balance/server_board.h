#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/fleet/server_record.h"
#include "kingcupshunt/health/attempt.h"

namespace kingcupshunt::balance {

struct board_settings {
  std::string data_centre; ///< of this instance
  std::uint64_t seed = 1;

  base::duration memory = base::milliseconds(2000); ///< time constant of outcomes
  base::duration history = base::seconds(30);       ///< time constant of the long record
  double history_prior = 8;    ///< successes that a server without a record counts as having had
  double reset_weight = 1.0;   ///< of a connection refused or ended without a whole answer
  double error_weight = 0.45;  ///< of an error answer; healthy servers give some as well
  double late_weight = 0.8;    ///< of a request without answer for several times the usual
  double remote_weight = 0.75; ///< of what other instances met, against own evidence
  double prior = 1.5;          ///< successes that an unknown server counts as having had

  /// What a certain failure costs, in units of one request per slot.
  double repeatable_risk = 3.0;
  double unrepeatable_risk = 16.0;
  double far_cost = 0.4; ///< of a server in another data centre
  /// Random part of a cost. Instances that hold the same reports would otherwise all choose the
  /// same server until the next ones.
  double jitter = 0.25;
  double cold_factor = 2.0;  ///< time of a request at a server that has just started
  double silent_risk = 0.15; ///< chance of failure of a server that no longer announces itself

  std::uint32_t queued_per_server = 1; ///< requests sent to a server beyond its slots
  double late_factor = 4.0;            ///< a request is late after so many times the usual time
  base::duration least_late = base::milliseconds(500);
  /// A server known only from before a restart of its control instance is used this long without
  /// a sign of life. By then one that is there has announced itself again.
  base::duration restored_use = base::milliseconds(2800);
  double latency_gain = 0.2; ///< weight of a new answer in the mean time of a server
};

/// Why no server was chosen.
enum class board_error : std::uint8_t {
  unknown_service, ///< no server of the service is known
  all_tried,       ///< the request has met every server that may be used
  all_busy         ///< every server is full as far as known
};

/// A server with what is known of it, for the status page.
struct board_entry {
  fleet::server_record record;
  std::uint32_t own = 0;    ///< requests of this instance in flight
  std::uint32_t others = 0; ///< requests of other instances, as last told
  double failure = 0;       ///< estimated chance that a request fails, 0 to 1
  double slowness = 1;      ///< mean time against the other servers of the service
};

/// Ranks the servers of each service by load, speed and recent failures, and chooses one for each
/// request. Bad servers are ranked last rather than taken out, so that a service keeps all of its
/// capacity when suspicion is wrong or spread over many.
class server_board {
public:
  explicit server_board(board_settings settings);

  /// A server's record changed. Draining and gone servers get no further request.
  void set_record(const fleet::server_record& record, base::time_point now);

  /// Chooses a server and counts the request there until `end`.
  base::result<fleet::server_record, board_error> begin(std::string_view service,
                                                        std::uint64_t request, bool is_repeatable,
                                                        std::span<const std::string> tried,
                                                        base::time_point now);

  /// The request ended at `server`. `is_answer` of the upstream itself, with its time.
  void end(std::string_view server, std::uint64_t request, const health::attempt& a,
           base::time_point now);

  /// Free slots of all usable servers of the service as far as known.
  std::uint32_t free_slots(std::string_view service, base::time_point now) const;
  /// Slots of all usable servers of the service.
  std::uint32_t slots(std::string_view service, base::time_point now) const;
  /// Usual time of a request at the service; empty before the first answers.
  std::optional<base::duration> usual_time(std::string_view service) const;

  /// Load and failures of other instances.
  void take_total(const fleet::load_report& total, base::time_point now);
  /// Forgets the load of other instances, when another relay is going to tell it.
  void forget_others();
  /// What changed here since the last call, for the others.
  fleet::load_report take_report();
  bool has_failures() const noexcept { return !failures_.empty(); }
  /// Everything in flight, for a relay that knows nothing yet. Counts as reported.
  fleet::load_report full_report();

  /// Looks for late requests.
  void tick(base::time_point now);

  std::vector<board_entry> entries(base::time_point now) const;

private:
  struct outcome_count {
    double failures = 0;
    double successes = 0;
    base::time_point at{};
  };
  struct running {
    base::time_point since{};
    bool is_late = false;
  };
  struct server {
    fleet::server_record record;
    base::time_point cold_until{};
    base::time_point usable_until = base::time_point::max();
    std::map<std::uint64_t, running> own; ///< by request
    std::uint32_t others = 0;
    std::uint32_t reported = 0; ///< own in flight as last reported
    outcome_count outcomes;
    outcome_count history;   ///< resets against successes, over many spells
    double mean_seconds = 0; ///< of whole answers, 0: none yet
    base::time_point answered_at{};
  };
  struct service_state {
    std::vector<std::string> servers;
    double mean_seconds = 0;
  };

  static void decay(outcome_count& c, base::duration memory, base::time_point now);
  void add_failure(server& s, fleet::failure_kind kind, double share, base::time_point now) const;
  double failure_chance(const server& s, base::time_point now) const;
  double slowness(const server& s, const service_state& of, base::time_point now) const;
  double cost(const server& s, const service_state& of, bool is_repeatable,
              base::time_point now) const;
  static std::uint32_t in_flight(const server& s) noexcept;
  static bool is_usable(const server& s, base::time_point now) noexcept;
  void note_failure(server& s, fleet::failure_kind kind, std::uint64_t fingerprint,
                    base::time_point now);
  double weight_of(fleet::failure_kind kind) const noexcept;

  board_settings settings_;
  base::rng rng_;
  std::map<std::string, server, std::less<>> servers_;
  std::map<std::string, service_state, std::less<>> services_;
  std::vector<fleet::failure_note> failures_;
};

} // namespace kingcupshunt::balance
