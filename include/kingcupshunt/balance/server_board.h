#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/balance/cold_state.h"
#include "kingcupshunt/balance/episode_estimator.h"
#include "kingcupshunt/balance/expected_load.h"
#include "kingcupshunt/balance/server_pause.h"
#include "kingcupshunt/base/result.h"
#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/fleet/server_record.h"
#include "kingcupshunt/health/attempt.h"
#include "kingcupshunt/rates/cold_bound.h"
#include "kingcupshunt/rates/request_permits.h"

namespace kingcupshunt::balance {

struct board_settings {
  std::string data_centre; ///< of this instance
  std::uint64_t seed = 1;

  episode_settings episodes;
  /// Servers whose episode probability is above this count as having no free slots.
  double likely_faulty_threshold = 0.5;
  /// The threshold applies as long as the other servers have at least this share of the slots.
  /// Below it the fault is attributed to the service rather than to single servers.
  double min_healthy_share = 0.4;
  /// Time constant of the record of past episodes.
  base::duration history_time_constant = base::seconds(30);
  double history_prior = 8; ///< prior successes of a server without a record

  /// Cost of a request that is certain to fail, in units of one request per slot.
  double repeatable_risk = 3.0;
  double unrepeatable_risk = 16.0;
  double remote_cost = 0.4; ///< added for a server in another data centre
  /// The same while the load of other data centres is not known here: requests go there only when
  /// the local servers are nearly full.
  double remote_cost_unknown_load = 1.2;
  /// Random part of a cost. Without it, all instances that hold the same load reports would choose
  /// the same server until the next report.
  double jitter = 0.25;
  /// With a relay in each data centre, chooses servers by the load expected until the next report
  /// (`choose_by_expected_load`), not by the last reports.
  bool has_expected_load = false;
  /// From a change of load at another instance until the total that contains it is applied here:
  /// both reports wait for a tick of up to 50 ms.
  base::duration report_delay = base::milliseconds(100);
  /// Servers compared for one request. Of more, a random part is compared, so that the work for a
  /// request stays bounded in services with thousands of servers.
  std::size_t max_compared = 512;
  double cold_factor = 2.0;  ///< multiple of the response time for a server that has just started
  double silent_risk = 0.15; ///< failure probability of a server that no longer announces itself

  /// Share of a service's servers that should have received a request from any instance lately. It
  /// is above the floor of 0.7 that the service-level rule requires, so that one server can fail
  /// meanwhile.
  double used_share = 0.8;
  /// Above that share, a server is due a request when its last failure is this old: the
  /// service-level rule counts it as healthy from then on, and the servers in use may be faulty.
  base::duration healthy_after = base::seconds(2);
  /// A server that has no request from any instance is due one after a random time between these
  /// two, which each instance draws anew, so that usually only one instance sends it. Repeatable
  /// requests are used as trial requests. Others are used only where too few servers are in use,
  /// soon enough that enough servers get one within 2 s, the window in which the service-level rule
  /// counts the servers in use.
  base::duration min_idle = base::milliseconds(500);
  base::duration max_idle = base::milliseconds(900);
  /// Additional time for requests that may not be repeated.
  base::duration unrepeatable_extra_idle = base::milliseconds(500);
  /// Servers whose episode probability is below this are tested as often while the service is
  /// stable: such a test seldom costs a request, and otherwise the service would be close to its
  /// floor when a fault begins.
  double trusted_threshold = 0.2;
  /// Additional time for the other servers while the service is stable: a test costs a request in
  /// most episodes, and the other servers have free slots.
  base::duration stable_unrepeatable_extra_idle = base::milliseconds(4500);
  /// A service is stable up to this share of failed or refused requests. The service-level rule
  /// applies the floor from a share of 0.1 on.
  double max_stable_failure_share = 0.08;
  base::duration failure_share_time_constant = base::seconds(2); ///< of its request counts
  /// Additional time for requests of the highest rank.
  base::duration urgent_extra_idle = base::milliseconds(350);
  /// Time after a successful trial request at a suspected faulty server until the next one.
  base::duration confirm_idle = base::milliseconds(60);

  /// Part of the slots of a service, and of each server, for requests of this instance whose bodies
  /// are still arriving; at least one.
  double streamed_share = 0.5;
  /// Such requests at one server, whose connections they take too.
  std::uint32_t max_streamed_per_server = 9;
  std::uint32_t queued_per_server = 1; ///< requests sent to a server beyond its slots
  double late_factor = 4.0; ///< a request is late after this multiple of the usual response time
  base::duration min_late_threshold = base::milliseconds(500);
  /// Time for which a server known only from before a restart of its control instance is used
  /// without a new announcement. A running server announces itself again within that time.
  base::duration restored_lifetime = base::milliseconds(2800);
  /// Time for which a server that refused a request for lack of a free slot counts as full, unless
  /// a load report names it first. About the time until one of its requests ends.
  base::duration refusal_hold = base::milliseconds(250);
  /// A reported load ends after this time without a repetition. Relays repeat all of them at least
  /// each second, and drop an instance that has not reported for as long.
  base::duration report_lifetime = base::milliseconds(2500);
  /// Random part of the end of a server's pause, so that not all instances return at once.
  base::duration pause_spread = base::milliseconds(100);
  double latency_gain = 0.2;    ///< weight of a new answer in the mean response time of a server
  rates::cold_bound cold_bound; ///< requests to a cold server, of all instances
};

/// Why no server was chosen.
enum class board_error : std::uint8_t {
  unknown_service, ///< no server of the service is known
  all_tried,       ///< the request has tried every server that may be used
  all_busy,        ///< every server is full as far as known
  all_paused,      ///< every server has asked for a pause
  all_evacuated,   ///< every server that could be used is in an evacuated data centre
  all_streaming    ///< bodies that arrive slowly take all slots that they may
};

/// A request that needs a server.
struct board_request {
  std::string_view service;
  std::uint64_t serial = 0; ///< identifies the request until `end`
  bool is_repeatable = false;
  bool is_urgent = false;      ///< highest rank: other requests try suspected faulty servers first
  bool has_large_body = false; ///< not queued at a server, whose memory its queue would fill
  /// Its body is sent as it arrives from the caller. Up to `note_body_sent` such requests take a
  /// part of the slots only, since a caller may stop.
  bool is_streamed = false;
};

/// The limit of a server began, changed or ended.
struct limit_change {
  std::string_view server;
  std::optional<double> before; ///< requests per second from all instances; empty: no limit
  std::optional<double> after;
  std::uint64_t sent = 0; ///< requests of this instance since the limit began
};

/// A server that is to get no further requests since one of its answers said that it leaves.
struct leaving_notice {
  std::string_view server;
  std::string_view service;
  std::size_t in_flight = 0; ///< other requests of this instance that still run there
};

/// How many servers of a service may be used, and how many of these are suspected to be faulty.
struct service_suspicion {
  std::uint32_t usable = 0;
  std::uint32_t suspected = 0;
};

/// What the slots of a service's usable servers are taken for, as far as known here.
struct service_load {
  std::uint32_t usable = 0; ///< servers
  std::uint32_t slots = 0;
  std::uint32_t own = 0;     ///< requests of this instance in flight
  std::uint32_t others = 0;  ///< requests of other instances in flight, as last reported
  std::uint32_t refused = 0; ///< servers that count as full because they refused a request
};

struct board_hooks {
  std::function<void(const limit_change&)> on_limit;     ///< may be empty
  std::function<void(const leaving_notice&)> on_leaving; ///< may be empty
  std::function<void(const pause_change&)> on_pause;     ///< may be empty
  std::function<void(const cold_change&)> on_cold;       ///< may be empty
};

/// State of a server, for the status page.
struct board_entry {
  fleet::server_record record;
  std::uint32_t own_in_flight = 0;    ///< requests of this instance in flight
  std::uint32_t others_in_flight = 0; ///< requests of other instances in flight, as last reported
  double failure_probability = 0;     ///< estimated chance that a request fails, 0 to 1
  double slowness = 1;                ///< mean response time relative to the service's
};

/// Ranks the servers of each service by load, speed and recent failures, and chooses one for each
/// request. Faulty servers are ranked last instead of being removed, so that a service keeps its
/// whole capacity when the suspicion is wrong or many servers are suspected.
class server_board {
public:
  explicit server_board(board_settings settings, board_hooks hooks = {});
  // `services_` holds pointers to servers.
  server_board(const server_board&) = delete;
  server_board& operator=(const server_board&) = delete;
  server_board(server_board&&) = default;
  server_board& operator=(server_board&&) = default;

  /// Adds or updates a server. Draining and gone servers get no further requests.
  void set_record(const fleet::server_record& record, base::time_point now);

  /// Chooses a server and counts the request there until `end`.
  base::result<fleet::server_record, board_error>
  begin(const board_request& request, std::span<const std::string> tried, base::time_point now);

  /// Ends a request. An answer of the upstream itself also updates the server's response time.
  void end(std::string_view server, std::uint64_t request, const health::attempt& a,
           base::time_point now);

  /// The streamed body of this running request has been sent.
  void note_body_sent(std::string_view server, std::uint64_t request, base::time_point now);
  /// The answer to this running request is passed on as its caller reads it: it can't be late.
  void note_answer_relayed(std::string_view server, std::uint64_t request);

  /// An answer to this running request said that its server leaves. That incarnation of the server
  /// gets no further request; what runs there ends undisturbed.
  void note_leaving(std::string_view server, std::uint64_t request);
  /// True when no server of the service may be used and the answers of one say that it leaves.
  bool is_left(std::string_view service, base::time_point now) const;

  /// Sets the data centres whose servers get no further requests (server_board_evacuation.cpp).
  void set_evacuations(const fleet::evacuation_set& evacuations, base::time_point now);
  /// True when a server of the service would be usable but for an evacuation, and none is usable.
  bool is_evacuated(std::string_view service, base::time_point now) const;
  /// Whether the server is in an evacuated data centre. False for an unknown one.
  bool is_server_evacuated(std::string_view server) const;

  /// "ip:port" of a server that has not gone, does not leave and is not evacuated; empty when it is
  /// not known.
  std::string address_of(std::string_view server) const;
  /// Free slots of the usable servers of the service, as far as known. Suspected faulty servers are
  /// excluded unless they are many.
  std::uint32_t free_slots(std::string_view service, base::time_point now) const;
  /// Requests per second that the servers counted by `free_slots` can start for all instances
  /// together, by their slots, the mean response time and their limits; 0 before the first answer.
  double starts_per_second(std::string_view service, base::time_point now) const;
  /// Limit of a server, requests per second from all instances; empty: none known.
  std::optional<double> limit_of(std::string_view server) const;
  /// Earliest end of a pause when all usable servers of the service are paused; otherwise empty.
  std::optional<base::time_point> pause_end(std::string_view service, base::time_point now) const;
  /// Mean response time of the service; empty before the first answer.
  std::optional<base::duration> mean_response_time(std::string_view service) const;

  /// Adds permits for servers that limit the rate of their requests. Without one, such a server
  /// gets no request of this instance.
  void add_permits(const fleet::permit_grant& grant, base::time_point now);
  /// Applies the fleet's load, and the failures and limits that other instances have observed.
  void apply_total(const fleet::load_report& total, base::time_point now);
  /// Clears the load of other instances when the relay changes. A relay of this data centre
  /// (`is_local`) reports only the load of this data centre, any other relay that of all instances.
  void change_relay(bool is_local);
  /// Sets the number of instances whose load is reported here, including this one.
  void set_instances(double n) noexcept { instances_ = n; }
  /// Counts a request that was refused before a server was chosen.
  void note_refused(std::string_view service, base::time_point now);
  /// Changes since the last call, to be sent to other instances.
  fleet::load_report take_report();
  /// Whether there are changes that other instances should know at once.
  bool has_news() const noexcept {
    return !failures_.empty() || !limits_.empty() || has_cold_news_;
  }
  /// All requests in flight, for a relay that has no report of this instance yet. Marks them as
  /// reported.
  fleet::load_report full_report();

  // Cold servers, server_board_cold.cpp. A server of a service that is not in the terms is treated
  // as if it were not cold.

  /// Sets the terms of all services that state a rate for cold servers, by service.
  void set_cold_terms(std::map<std::string, cold_terms, std::less<>> terms, base::time_point now);
  /// A caller's request is for this service, whether or not a server is free.
  void note_request(std::string_view service, base::time_point now);
  /// Whether there is a relay to report to, and the number of entry instances known. Without a
  /// relay, a cold server gets no more than a fixed share of this instance.
  void set_relay(bool has_relay, std::uint32_t entries, base::time_point now);
  /// Adds the cold servers, and the stamp by which this instance tells the age of permits.
  /// `suspended` is the time for which the machine has been suspended since it started, which the
  /// steady clock does not count.
  void add_cold_report(fleet::load_report& report, base::time_point now,
                       base::duration suspended = {});
  /// Servers that other instances have found to be cold.
  void apply_cold(std::span<const fleet::cold_note> notes, base::time_point now);
  /// Adds the permits for cold servers. Returns the number that came too late.
  std::uint32_t add_cold_permits(const fleet::permit_grant& grant, base::time_point now,
                                 base::duration suspended = {});
  /// Whether requests to the server need a permit because it is cold.
  bool is_cold(std::string_view server, base::time_point now) const;
  std::size_t cold_servers(base::time_point now) const;

  /// The requests in flight are not evidence against their servers: this instance has lost its
  /// path to them.
  void excuse_running();
  /// Records a failure for each request that has become late.
  void tick(base::time_point now);

  /// Servers whose costs were compared for the last request, for tests.
  std::size_t compared() const noexcept { return compared_.size(); }

  std::vector<board_entry> entries(base::time_point now) const;
  std::map<std::string, service_suspicion, std::less<>> suspicions(base::time_point now) const;
  /// Why the service has no free slot, for the log.
  service_load load_of(std::string_view service, base::time_point now) const;

private:
  struct episode_record {
    double episodes = 0; ///< number of episodes that began, decayed
    double successes = 0;
    base::time_point at{};
  };
  struct running {
    base::time_point since{};
    bool is_repeatable = false;
    bool is_late = false;
    bool is_excused = false;      ///< its failure is not the server's
    bool is_arriving = false;     ///< its body is
    bool was_streamed = false;    ///< its body was; `since` is the end of the body
    bool is_relayed = false;      ///< its answer is
    std::uint64_t started_ms = 0; ///< incarnation of the server that it was sent to
  };
  struct server {
    fleet::server_record record;
    base::time_point cold_until{};
    base::time_point usable_until = base::time_point::max();
    std::map<std::uint64_t, running> own_requests; ///< by request serial
    std::uint32_t others_in_flight = 0;            ///< as last reported, until `others_until`
    base::time_point others_until{};
    base::time_point full_until{}; ///< a refusal said that no slot is free
    std::uint32_t reported = 0;    ///< own requests in flight as last reported
    episode_estimator estimator;
    episode_record history;
    double mean_seconds = 0; ///< of complete answers; 0 before the first one
    base::time_point answered_at{};
    base::time_point failed_at{}; ///< last failure reported by any instance
    bool was_used = false;        ///< whether any instance is known to have used it
    base::time_point due_at{};    ///< when the next request is due, to keep enough servers in use
    rates::request_permits permits;
    /// `started_ms` of the incarnation whose answers said that it leaves.
    std::optional<std::uint64_t> left_incarnation;
    server_pause pause;
    bool is_evacuated = false; ///< its data centre is
    cold_state cold;
  };
  /// Exponentially decayed counts of requests.
  struct request_count {
    double lost = 0;    ///< failed without a repetition, at all instances
    double served = 0;  ///< by this instance
    double refused = 0; ///< by this instance
    base::time_point at{};
  };
  struct service_state {
    std::vector<server*> servers; ///< nodes of `servers_`, whose addresses are stable
    double mean_seconds = 0;
    request_count count;
    base::time_point wanted_at{}; ///< last request of a caller
  };

  static void decay(episode_record& r, base::duration time_constant, base::time_point now);
  void add_failure(server& s, const fleet::failure_note& note, double exponent,
                   base::time_point now);
  double failure_chance(const server& s, base::time_point now) const;
  double slowness(const server& s, const service_state& of, base::time_point now) const;
  double cost(const server& s, const service_state& of, bool is_repeatable,
              base::time_point now) const;
  static std::uint32_t others_in_flight(const server& s, base::time_point now) noexcept;
  static std::uint32_t in_flight(const server& s, base::time_point now) noexcept;
  static bool is_usable(const server& s, base::time_point now) noexcept;
  static bool is_leaving(const server& s) noexcept;
  void note_failure(server& s, fleet::failure_note note, base::time_point now);
  bool set_limit(server& s, std::optional<double> per_second);
  void note_limit(server& s, const health::attempt& a);
  void note_pause(server& s, const running& run, const health::attempt& a, base::time_point now);
  static std::uint32_t unpaused_starts(const server& s, base::time_point now) noexcept;
  const cold_terms* cold_terms_of(const server& s) const;
  void update_cold(server& s, base::time_point now);
  void extend_cold(server& s, base::duration left, bool is_first_hand, base::time_point now);
  void note_cold_answer(server& s, const running& run, const health::attempt& a,
                        base::time_point now);
  static bool is_cold_limited(const server& s, base::time_point now) noexcept;
  std::uint32_t cold_starts(const server& s, base::time_point now) const;
  static void take_cold(server& s, base::time_point now);
  server* find_permitted_cold(const service_state& of, const board_request& request,
                              base::time_point now);
  static std::uint64_t stamp_of(base::time_point at) noexcept;
  double likelihood_ratio_of(fleet::failure_kind kind) const noexcept;
  bool is_likely_faulty(const server& s, base::time_point now) const;
  struct slot_counts {
    std::uint32_t slots = 0;
    std::uint32_t free = 0;
    double starts_per_second = 0;
  };
  slot_counts count_slots(std::string_view service, base::time_point now) const;
  running* find_running(std::string_view server, std::uint64_t request);
  static std::uint32_t arriving_at(const server& s) noexcept;
  bool may_stream_to(const server& s) const noexcept;
  bool may_stream(const service_state& of, base::time_point now) const noexcept;
  void note_use(server& s, base::time_point now);
  void delay_due(server& s, base::time_point now);
  void decay_counts(request_count& c, base::time_point now) const;
  bool is_stable(request_count c, base::time_point now) const;
  server* find_cheapest(const service_state& of, const board_request& request,
                        std::span<const std::string> tried, base::time_point now, bool& is_busy);
  double expected_requests(const service_state& of, base::time_point now) const;
  server* find_due(const service_state& of, const board_request& request, base::time_point now);

  board_settings settings_;
  board_hooks hooks_;
  base::rng rng_;
  std::map<std::string, server, std::less<>> servers_;
  std::map<std::string, service_state, std::less<>> services_;
  fleet::evacuation_set evacuations_;
  std::vector<fleet::failure_note> failures_;                 ///< not yet reported
  std::vector<fleet::limit_note> limits_;                     ///< not yet reported
  std::map<std::string, cold_terms, std::less<>> cold_terms_; ///< by service
  bool has_cold_news_ = false;
  bool had_relay_ = false;
  std::optional<base::time_point> relay_lost_at_;
  std::uint32_t most_entries_ = 1; ///< greatest number of entries known so far
  std::uint64_t first_stamp_ = 0;  ///< of this process's reports
  double instances_ = 1;
  std::vector<load_option> options_; ///< of the request being placed, kept to reuse its memory
  std::vector<server*> compared_;    ///< servers of `options_`
  base::time_point total_at_{};      ///< when the last load totals were applied
  bool is_relay_local_ = false;      ///< the load of other data centres is then unknown
};

} // namespace kingcupshunt::balance
