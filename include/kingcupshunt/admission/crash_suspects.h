#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kingcupshunt/admission/messages.h"
#include "kingcupshunt/admission/suspect_table.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/config/snapshot.h"
#include "kingcupshunt/health/attempt.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/observe/decision.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/proxy/hooks.h"

namespace kingcupshunt::admission {

struct crash_suspects_settings {
  std::string self; ///< id of this instance
  /// Rises with each start of the process, for example its time in milliseconds; below 2^43.
  std::uint64_t incarnation = 1;
  /// Time after which a message has reached every reachable instance: a delay of 100 ms, with the
  /// drift of the clock and one tick of margin.
  base::milliseconds broadcast_time{160};
  /// From telling which server is to carry a suspect to its first byte: two delays of 100 ms with
  /// the same margin, so that of two instances that choose one server at once both know it.
  base::milliseconds announce_wait{260};
  /// Longest time from a cut to the call of server_died or server_alive. The check of a server
  /// takes up to 90 ms; a process that waits for the processor hears of its end later.
  base::milliseconds check_timeout{1000};
  /// Longest time from asking for the permit of a suspect to the end of its run. Above the usual
  /// time limit of a request of 5 s.
  base::milliseconds permit_lifetime{8000};
  suspect_limits limits;
};

struct crash_suspects_hooks {
  peer::send_function send; ///< never called for this instance itself
  /// Chooses a server for a suspect on which this instance runs nothing and for which
  /// is_isolation_server is false. Empty when there is none, or when too few servers would be left
  /// to other requests.
  std::function<std::optional<std::string>(std::uint64_t fingerprint)> pick_idle;
  /// Finds out whether a server has ended; server_alive or server_died is called with the result.
  /// One check of a server runs at a time. Unset: the verdicts come without being asked for.
  std::function<void(const std::string& server)> check_server;
  std::function<bool()> is_fresh;                            ///< unset: always
  std::function<void(const observe::decision&)> on_decision; ///< may be unset
  std::function<void(std::string_view name)> on_count;       ///< may be unset
};

/// How a request is to be run.
struct run_plan {
  std::optional<std::string> isolated_at; ///< set: only on this server
  base::time_point deadline;              ///< of the run, at most the request's
};

/// Finds requests that crash servers and bounds the servers lost to one of them to two.
///
/// Order of events: a request whose connection was cut is neither answered nor tried again until
/// its server is known to be alive, or until every instance has heard of the crash (`end`). Every
/// later run through any instance takes the permit of the fingerprint's coordinator and tells all
/// instances which server carries it before the first byte is sent (`admit`). The permit is given
/// back only after all instances have heard of the outcome.
class crash_suspects {
public:
  using admit_done = std::function<void(proxy::decided<run_plan>)>;

  crash_suspects(crash_suspects_settings settings, crash_suspects_hooks hooks);

  void set_view(const membership::fleet_view& view, base::time_point now);
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  /// Asks how a request may run; before its first try and before each further one. `done` is called
  /// exactly once: at once for requests that are no suspects.
  void admit(std::uint64_t fingerprint, base::time_point now, base::time_point deadline,
             admit_done done);

  /// A try is about to send its first byte. False: the request has become a suspect since admit
  /// or the server carries one; nothing may be sent and the plan is void, ask admit again.
  bool begin(std::uint64_t fingerprint, std::string_view server, base::time_point now);

  /// A try that began has ended. `done` is called when the caller may be answered or the request
  /// be admitted again: at once unless the connection was cut.
  void end(std::uint64_t fingerprint, std::string_view server, health::attempt_end end,
           base::time_point now, std::function<void()> done);

  /// A plan of admit is given up without a begin.
  void abandon(std::uint64_t fingerprint, base::time_point now);

  /// Several connections to a server were cut at once and a new one was refused. `incident` names
  /// the crash: the same for every instance, for example a hash of server and incarnation.
  void server_died(std::string_view server, std::uint64_t incident, base::time_point now);

  /// The check of a server found it alive: cuts before the check began were no crashes. Later ones
  /// get a check of their own.
  void server_alive(std::string_view server, base::time_point now);

  /// True while the server carries a suspect or is about to: no other request goes there.
  bool is_isolation_server(std::string_view server) const;

  const suspect_table& table() const noexcept { return table_; }

private:
  struct cut {
    std::uint64_t fingerprint = 0;
    base::time_point at;
    bool is_isolated = false;
    std::function<void()> done;
  };
  struct server_state {
    std::vector<std::uint64_t> in_flight;
    std::vector<cut> cuts;                         ///< without a verdict
    std::optional<base::time_point> died_at;       ///< last call of server_died
    std::optional<base::time_point> check_started; ///< set while a check runs
    /// Given up by this instance, but the server may still run them; until when they are blamed.
    std::deque<std::pair<std::uint64_t, base::time_point>> abandoned;
  };
  struct held_answer {
    base::time_point until;
    std::uint64_t fingerprint = 0;
    bool is_isolated = false;
    std::function<void()> done;
  };
  enum class isolation_step : std::uint8_t {
    requesting,      ///< for the coordinator's permit
    choosing_server, ///< no idle server yet
    announcing,      ///< all instances are told which server will carry it
    planned,         ///< admit has answered
    running,
    ending ///< cut; the permit is kept until all have heard of the outcome
  };
  struct isolation {
    isolation_step step = isolation_step::requesting;
    std::uint64_t call = 0;
    std::string coordinator;
    base::time_point requested_at; ///< first ask of this call; the permit counts from here
    base::time_point due;          ///< next step or repetition
    base::time_point deadline;     ///< of the request
    std::string server;
    admit_done done;
  };
  struct permit {
    std::string holder;
    std::uint64_t call = 0;
    base::time_point expires;
    std::deque<std::pair<std::string, std::uint64_t>> queue;
  };
  struct notice {
    std::string server; ///< empty: over, kept against late repetitions of earlier notes
    std::uint64_t seq = 0;
    base::time_point expires;
    std::optional<std::uint64_t> incident; ///< the server has died since
  };
  using notice_key = std::pair<std::uint64_t, std::string>; ///< fingerprint and instance
  using server_map =
      std::unordered_map<std::string, server_state, config::string_hash, std::equal_to<>>;

  // Crashes and spreading.
  void attribute_crash(std::uint64_t fingerprint, std::uint64_t incident, suspects_message& out,
                       base::time_point now);
  void broadcast(suspects_message message, base::time_point now);
  void send_all(const suspects_message& message);
  void send_to(const std::string& to, const suspects_message& message, base::time_point now);
  void start_check(server_state& s, const std::string& server, base::time_point now);
  void resolve_cuts(server_state& s, std::string_view server, base::time_point now);
  void hold(cut& c, base::time_point now);
  template <class Predicate>
  void drop_notices(base::time_point now, const Predicate& is_dropped);
  void apply_notice(const isolation_notice& n, const std::string& from, base::time_point now);
  void report_refused(std::uint64_t fingerprint, std::string_view from);
  void report_decision(std::uint64_t fingerprint, const char* outcome, std::string evidence);
  static bool is_unused(const server_state& s) noexcept;
  void forget_server(std::string_view server);

  // Isolated runs of this instance.
  void start_isolation(std::uint64_t fingerprint, base::time_point now, base::time_point deadline,
                       admit_done done);
  void request_permit(std::uint64_t fingerprint, isolation& i, base::time_point now);
  void handle_grant(const std::string& from, const permit_message& m, base::time_point now);
  void choose_server(std::uint64_t fingerprint, isolation& i, base::time_point now);
  void step_isolation(std::uint64_t fingerprint, isolation& i, base::time_point now);
  void finish_isolation(std::uint64_t fingerprint, base::time_point now);
  void tick_isolations(base::time_point now);
  void refuse(admit_done done, std::uint64_t fingerprint, base::time_point now);
  void announce_isolation(std::uint64_t fingerprint, const std::string& server,
                          base::time_point now);
  bool has_conflict(std::uint64_t fingerprint, const std::string& server) const;

  // Coordinator of fingerprints.
  std::string coordinator_of(std::uint64_t fingerprint) const;
  void handle_permit(const std::string& from, const permit_message& m, base::time_point now);
  void send_permit(const std::string& to, std::uint64_t fingerprint, std::uint64_t call,
                   permit_step step, base::time_point now);
  void tick_permits(base::time_point now);
  void grant_next(std::uint64_t fingerprint, permit& p, base::time_point now);
  bool is_ready(std::uint64_t fingerprint) const;
  void run_completions();
  void count(std::string_view name);

  crash_suspects_settings settings_;
  crash_suspects_hooks hooks_;
  suspect_table table_;
  std::vector<std::string> active_;
  std::uint64_t view_version_ = 0;
  struct former_view {
    base::time_point until;
    std::vector<std::string> active;
  };
  std::deque<former_view> former_views_;
  server_map servers_;
  std::vector<held_answer> held_;
  std::unordered_map<std::uint64_t, isolation> isolations_;
  std::unordered_map<std::uint64_t, std::deque<isolation>>
      queued_isolations_; ///< waiting for one here
  std::unordered_map<std::uint64_t, permit> permits_;
  std::map<notice_key, notice> notices_;
  struct repetition {
    base::time_point due;
    std::uint32_t left = 0;
    suspects_message message;
  };
  std::vector<repetition> repetitions_;
  std::vector<std::function<void()>> completions_;
  std::uint64_t next_call_ = 0; ///< also numbers the notes
};

} // namespace kingcupshunt::admission
