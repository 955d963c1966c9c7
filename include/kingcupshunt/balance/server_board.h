#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/balance/episode_estimator.h"
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

  episode_settings episodes;
  double likely_faulty_threshold =
      0.5; ///< servers more probably in a spell count as having no free slots
  /// As long as the others have this share of the slots; else the fault is the service's.
  double min_healthy_share = 0.4;
  base::duration history_time_constant =
      base::seconds(30);    ///< time constant of the record of spells
  double history_prior = 8; ///< successes that a server without a record counts as having had

  /// What a certain failure costs, in units of one request per slot.
  double repeatable_risk = 3.0;
  double unrepeatable_risk = 16.0;
  double remote_cost = 0.4; ///< of a server in another data centre
  /// The same while the load of other data centres is not known here: a server is taken there when
  /// the own ones are nearly full.
  double remote_cost_unknown_load = 1.2;
  /// Random part of a cost. Instances that hold the same reports would otherwise all choose the
  /// same server until the next ones.
  double jitter = 0.25;
  double cold_factor = 2.0;  ///< time of a request at a server that has just started
  double silent_risk = 0.15; ///< chance of failure of a server that no longer announces itself

  /// Share of a service's servers to which somebody has sent a request lately. Above the floor of
  /// 0.7 that the users demand, so that one server can be lost meanwhile.
  double used_share = 0.8;
  /// Beyond that share a server is due a request when its last failure is this old: the users take
  /// it for sound then, and those that are in use may be the ones in trouble.
  base::duration healthy_after = base::seconds(2);
  /// A server without requests from any instance is due one after a random time between these two,
  /// drawn anew by each instance, so that mostly one instance sends it. Requests that may be
  /// repeated go as scouts; the others only where too few servers are in use, and so that within
  /// 2 s, the time over which the users look at the floor, enough have one.
  base::duration min_idle = base::milliseconds(500);
  base::duration max_idle = base::milliseconds(900);
  base::duration unrepeatable_extra_idle =
      base::milliseconds(500); ///< more, for what may not be repeated
  /// Servers less probably in a spell are tested as often in calm times: little is lost there, and
  /// when trouble begins the service is not far from its floor already.
  double trusted_threshold = 0.2;
  /// The same for others while nearly all requests of the service are served: a test costs a
  /// request in most spells, and the other servers have room.
  base::duration stable_unrepeatable_extra_idle = base::milliseconds(4500);
  /// A service is calm below this share of requests that fail or are refused. The users look at the
  /// floor from a tenth on.
  double max_stable_failure_share = 0.08;
  base::duration failure_share_time_constant = base::seconds(2); ///< time constant of that share
  base::duration urgent_extra_idle =
      base::milliseconds(350); ///< more still, for the most urgent ones
  /// After a scout's success at a doubtful server, until the next one.
  base::duration confirm_idle = base::milliseconds(60);

  std::uint32_t queued_per_server = 1; ///< requests sent to a server beyond its slots
  double late_factor = 4.0;            ///< a request is late after so many times the usual time
  base::duration min_late_threshold = base::milliseconds(500);
  /// A server known only from before a restart of its control instance is used this long without
  /// a sign of life. By then one that is there has announced itself again.
  base::duration restored_lifetime = base::milliseconds(2800);
  double latency_gain = 0.2; ///< weight of a new answer in the mean time of a server
};

/// Why no server was chosen.
enum class board_error : std::uint8_t {
  unknown_service, ///< no server of the service is known
  all_tried,       ///< the request has met every server that may be used
  all_busy         ///< every server is full as far as known
};

/// A request that needs a server.
struct board_request {
  std::string_view service;
  std::uint64_t serial = 0; ///< names the request until `end`
  bool is_repeatable = false;
  bool is_urgent = false; ///< of the highest rank: others try doubtful servers first
};

/// A server with what is known of it, for the status page.
struct board_entry {
  fleet::server_record record;
  std::uint32_t own_in_flight = 0;    ///< requests of this instance in flight
  std::uint32_t others_in_flight = 0; ///< requests of other instances, as last told
  double failure_probability = 0;     ///< estimated chance that a request fails, 0 to 1
  double slowness = 1;                ///< mean time against the other servers of the service
};

/// Ranks the servers of each service by load, speed and recent failures, and chooses one for each
/// request. Bad servers are ranked last rather than taken out, so that a service keeps all of its
/// capacity when suspicion is wrong or spread over many.
class server_board {
public:
  explicit server_board(board_settings settings);
  // Services point at servers.
  server_board(const server_board&) = delete;
  server_board& operator=(const server_board&) = delete;
  server_board(server_board&&) = default;
  server_board& operator=(server_board&&) = default;

  /// A server's record changed. Draining and gone servers get no further request.
  void set_record(const fleet::server_record& record, base::time_point now);

  /// Chooses a server and counts the request there until `end`.
  base::result<fleet::server_record, board_error>
  begin(const board_request& request, std::span<const std::string> tried, base::time_point now);

  /// The request ended at `server`. `is_answer` of the upstream itself, with its time.
  void end(std::string_view server, std::uint64_t request, const health::attempt& a,
           base::time_point now);

  /// Free slots of the usable servers of the service as far as known, without doubtful ones.
  std::uint32_t free_slots(std::string_view service, base::time_point now) const;
  /// Slots of these servers.
  std::uint32_t slots(std::string_view service, base::time_point now) const;
  /// Usual time of a request at the service; empty before the first answers.
  std::optional<base::duration> mean_response_time(std::string_view service) const;

  /// Load and failures of other instances.
  void apply_total(const fleet::load_report& total, base::time_point now);
  /// Forgets the load of other instances, when another relay is going to tell it, of all instances
  /// or of those in this data centre.
  void change_relay(bool is_local);
  /// Instances whose load is told here, this one included.
  void set_instances(double n) noexcept { instances_ = n; }
  /// A request for the service was refused before a server was chosen.
  void note_refused(std::string_view service, base::time_point now);
  /// What changed here since the last call, for the others.
  fleet::load_report take_report();
  bool has_failures() const noexcept { return !failures_.empty(); }
  /// Everything in flight, for a relay that knows nothing yet. Counts as reported.
  fleet::load_report full_report();

  /// Looks for late requests.
  void tick(base::time_point now);

  std::vector<board_entry> entries(base::time_point now) const;

private:
  struct episode_record {
    double episodes = 0; ///< that began
    double successes = 0;
    base::time_point at{};
  };
  struct running {
    base::time_point since{};
    bool is_repeatable = false;
    bool is_late = false;
  };
  struct server {
    fleet::server_record record;
    base::time_point cold_until{};
    base::time_point usable_until = base::time_point::max();
    std::map<std::uint64_t, running> own_requests; ///< by request
    std::uint32_t others_in_flight = 0;
    std::uint32_t reported = 0; ///< own in flight as last reported
    episode_estimator estimator;
    episode_record history;
    double mean_seconds = 0; ///< of whole answers, 0: none yet
    base::time_point answered_at{};
    base::time_point failed_at{}; ///< last failure that is known here
    bool was_used = false;        ///< by any instance, as far as known
    base::time_point due_at{};    ///< when the next one is due for the sake of the floor
  };
  /// Fading counts of requests.
  struct request_count {
    double lost = 0;    ///< failed for good, at all instances
    double served = 0;  ///< here
    double refused = 0; ///< here
    base::time_point at{};
  };
  struct service_state {
    std::vector<server*> servers; ///< nodes of servers_, which do not move
    double mean_seconds = 0;
    request_count count;
  };

  static void decay(episode_record& r, base::duration time_constant, base::time_point now);
  void add_failure(server& s, const fleet::failure_note& note, double exponent,
                   base::time_point now);
  double failure_chance(const server& s, base::time_point now) const;
  double slowness(const server& s, const service_state& of, base::time_point now) const;
  double cost(const server& s, const service_state& of, bool is_repeatable,
              base::time_point now) const;
  static std::uint32_t in_flight(const server& s) noexcept;
  static bool is_usable(const server& s, base::time_point now) noexcept;
  void note_failure(server& s, fleet::failure_note note, base::time_point now);
  double likelihood_ratio_of(fleet::failure_kind kind) const noexcept;
  bool is_likely_faulty(const server& s, base::time_point now) const;
  struct slot_counts {
    std::uint32_t slots = 0;
    std::uint32_t free = 0;
  };
  slot_counts count_slots(std::string_view service, base::time_point now) const;
  void note_use(server& s, base::time_point now);
  void delay_due(server& s, base::time_point now);
  void decay_counts(request_count& c, base::time_point now) const;
  bool is_stable(request_count c, base::time_point now) const;
  server* find_cheapest(const service_state& of, const board_request& request,
                        std::span<const std::string> tried, base::time_point now, bool& is_busy);
  server* find_due(const service_state& of, const board_request& request, base::time_point now);

  board_settings settings_;
  base::rng rng_;
  std::map<std::string, server, std::less<>> servers_;
  std::map<std::string, service_state, std::less<>> services_;
  std::vector<fleet::failure_note> failures_;
  double instances_ = 1;
  bool is_relay_local_ = false; ///< load of other data centres is not known
};

} // namespace kingcupshunt::balance
