#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kingcupshunt/balance/server_pause.h"
#include "kingcupshunt/base/result.h"
#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/health/attempt.h"
#include "kingcupshunt/health/status.h"
#include "kingcupshunt/health/upstream.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/rates/request_permits.h"

namespace kingcupshunt::balance {

/// Why no upstream was chosen.
enum class pick_error : std::uint8_t {
  no_upstream, ///< the service has no server, or the request has tried all of them
  all_busy     ///< every usable server is full, as far as known
};

const char* to_string(pick_error error) noexcept;

template <class T>
using result = base::result<T, pick_error>;

/// An attempt of a request, which needs a server.
struct pick_request {
  std::string_view service;
  std::string_view route;
  std::span<const std::string> tried; ///< servers to avoid, because the request has tried them
  bool is_isolated = false;  ///< no other request of this instance runs on the server meanwhile
  bool is_repeatable = true; ///< false: avoids suspected and returning servers where possible
};

/// Method of choosing among healthy servers.
enum class selection : std::uint8_t {
  two_choices,          ///< of two random servers the one with fewer requests of this instance
  two_choices_reported, ///< as above, plus the requests of other instances from load reports
  slot_share,           ///< first the slots assigned to this instance, then two_choices
  slot_share_reported,  ///< first the slots assigned to this instance, then two_choices_reported
  slot_share_only       ///< only the slots assigned to this instance
};

/// Whether `method` assigns the slots of every server to instances.
bool has_shares(selection method) noexcept;

/// Body of a load_report message: requests in flight at one instance.
struct load_report {
  std::string service;
  std::vector<std::string> upstreams;
  std::vector<std::uint32_t> in_flight;

  MSGPACK_DEFINE_MAP(service, upstreams, in_flight)
};

struct balancer_settings {
  std::string self;
  std::string data_centre;
  std::uint64_t seed = 1;
  selection method = selection::slot_share;
  base::duration slow_start = base::seconds(10);
  base::duration full_backoff = base::milliseconds(20); ///< pause after a server has shed a request
  /// Random part of the end of a server's pause, so that not all instances return at once.
  base::duration pause_spread = base::milliseconds(100);
  base::duration report_interval = base::milliseconds(100);
  std::size_t min_subset = 4;
  std::size_t connections_per_instance = 4; ///< of one instance to a server of its subset
};

struct balancer_hooks {
  peer::send_function send; ///< only used by the methods with load reports
  /// Maximum of connections per server over all instances; 330 when empty.
  std::function<std::uint32_t(std::string_view service)> max_connections;
  /// An answer has shown the beginning, a change or the end of a server's limit. May be empty.
  std::function<void(const fleet::limit_note&)> on_limit;
  /// An answer has said that its server leaves; `in_flight` requests still run there. May be empty.
  std::function<void(std::string_view server, std::uint32_t in_flight)> on_leaving;
  /// A server has asked this instance for a pause or extended it. May be empty.
  std::function<void(const pause_change&)> on_pause;
};

/// Chooses servers and counts the slots that this instance uses.
class balancer {
public:
  balancer(balancer_settings settings, balancer_hooks hooks);

  /// Sets the servers of a service from the registry. Requests in flight keep their slots.
  void set_upstreams(std::string_view service, std::span<const health::upstream> servers,
                     base::time_point now);

  /// Sets the states from `health::reporter`; servers that are not listed are normal.
  void set_states(std::string_view service, std::span<const health::server_status> states,
                  base::time_point now);
  void set_view(const membership::fleet_view& view, base::time_point now);

  /// Chooses a server and takes one of its slots until `report` or `release`.
  result<std::string> pick(const pick_request& request, base::time_point now);

  /// Frees the slot of a finished attempt, and marks the server as full when it shed the request.
  void report(const health::attempt& attempt, base::time_point now);

  /// An answer to a request that was sent at `sent` or later said that its server leaves. That
  /// incarnation of the server gets no further request.
  void note_leaving(std::string_view service, std::string_view id, base::time_point sent);
  /// True for a server whose answers say that it leaves.
  bool is_leaving(std::string_view service, std::string_view id) const;

  /// Frees a slot when no attempt was made.
  void release(std::string_view service, std::string_view id);

  /// Applies a load_report; ignores other kinds of message.
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  /// Applies a limit that another instance has observed.
  void set_limit(const fleet::limit_note& note);
  /// Adds permits for servers that limit the rate of their requests; without one, such a server
  /// gets no request of this instance.
  void add_permits(const fleet::permit_grant& grant, base::time_point now);

  /// Requests of this instance in flight at a server.
  std::uint32_t in_flight(std::string_view service, std::string_view id) const;

  bool is_paused(std::string_view service, std::string_view id, base::time_point now) const;
  /// Earliest end of a pause when all usable servers of the service are paused; otherwise empty.
  std::optional<base::time_point> pause_end(std::string_view service, base::time_point now) const;

  /// Ids of the servers that this instance uses for the service.
  std::vector<std::string> subset(std::string_view service) const;

private:
  struct server {
    health::upstream up;
    std::uint32_t in_flight = 0;
    std::uint32_t share = 0; ///< slots assigned to this instance
    std::optional<health::server_state> state;
    double weight = 1; ///< traffic relative to a normal server, while in a state
    double reported = 0;
    base::time_point full_until{};
    bool is_isolated = false;
    bool is_known = true; ///< false: removed from the registry with requests in flight
    bool is_in_subset = true;
    rates::request_permits permits;
    /// Incarnation whose answers said that it leaves.
    std::optional<std::uint64_t> left_incarnation;
    server_pause pause;
    base::time_point sent_at{}; ///< when a request last took a slot
  };
  struct peer_report {
    base::time_point received{};
    std::vector<std::pair<std::string, std::uint32_t>> in_flight;
  };
  struct service_servers {
    std::vector<server> servers;
    std::map<std::string, health::server_status> states;
    std::map<std::string, peer_report> reports;
    base::time_point first_known{};
  };

  service_servers* find(std::string_view service);
  server* find_server(std::string_view id);
  void note_limit(server& v, const health::attempt& attempt) const;
  void note_pause(server& v, const health::attempt& attempt, base::time_point now);
  static bool may_start(const server& v, base::time_point now) noexcept;
  void recompute(std::string_view name, service_servers& s) const;
  void assign_slots(std::string_view name, service_servers& s) const;
  void choose_subset(std::string_view name, service_servers& s) const;
  static bool is_leaving(const server& v) noexcept;
  bool can_take(const server& v, const pick_request& request, base::time_point now) const;
  double weight_of(const service_servers& s, const server& v, base::time_point now) const;
  server* pick_weighted(service_servers& s, const pick_request& request, base::time_point now);
  server* pick_shared(service_servers& s, const pick_request& request, base::time_point now);
  server* pick_two(service_servers& s, const pick_request& request, base::time_point now, int tier);
  int tier_of(const service_servers& s, const server& v, base::time_point now) const;
  double load_of(const server& v) const;
  void sum_reports(service_servers& s, base::time_point now) const;

  balancer_settings settings_;
  balancer_hooks hooks_;
  base::rng rng_;
  membership::fleet_view view_;
  std::map<std::string, service_servers, std::less<>> services_;
  base::time_point next_report_{};
};

} // namespace kingcupshunt::balance
