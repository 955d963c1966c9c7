#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"

/// Randomized runs of the real programs under faults, and the promises that must hold meanwhile.
namespace kingcupshunt::soak {

/// What the system promises to callers, backend servers and operators; see docs/PROMISES.md.
enum class promise : std::uint8_t {
  right_answer,         ///< a success is the whole answer of a server to this very request
  only_what_was_asked,  ///< servers run only requests that callers sent, for the key's workspace
  key_stays_hidden,     ///< no server sees a key
  at_most_once,         ///< a request that may not be repeated runs once
  true_refusals,        ///< what was refused as "not run" never runs
  withdrawn_keys,       ///< a withdrawn key stops working
  keys_in_force,        ///< a key that is in force is accepted
  rates,                ///< a workspace gets its rate and burst at most
  leaving_servers,      ///< a server that leaves gets nothing new
  newest_configuration, ///< an acknowledged configuration is read back
  valid_configuration,  ///< an invalid configuration is refused
  planned_stops,        ///< a planned stop cuts no request and ends in time
  time_limits,          ///< a request has a final answer at its route's time limit
  harness,              ///< the soak could do what its plan says
  recovery              ///< callers are served again soon after the last fault
};

const char* to_string(promise p) noexcept;

struct violation {
  promise what;
  std::string detail;
};

/// Bounds as in the deployments' settings.
struct ledger_bounds {
  base::milliseconds withdrawal{5000};      ///< from the acknowledgement until a key stops working
  base::milliseconds drain{2000};           ///< from the acknowledgement until nothing new arrives
  base::milliseconds calm{3000};            ///< without trouble before bounds on time hold
  base::milliseconds rate_window{5000};     ///< over which a workspace's requests are counted
  double rate_over = 0.1;                   ///< allowed beyond rate and burst
  double rate_slack = 20;                   ///< requests allowed beyond that
  base::milliseconds issue{2000};           ///< from the acknowledgement until a key works
  double wrongful_share = 0.002;            ///< of the requests that may be denied all the same
  std::size_t wrongful_slack = 5;           ///< and so many more
  base::milliseconds time_limit{2000};      ///< of the routes
  base::milliseconds time_limit_slack{500}; ///< until the final answer
};

struct sent_request {
  std::string id;
  std::string key;
  std::string workspace;
  std::string service;
  std::string entry; ///< instance that the caller sent it to
  bool is_repeatable = false;
  base::time_point at{};
};

struct seen_answer {
  unsigned status = 0; ///< 0: the connection ended or the caller gave up waiting
  bool is_own = false; ///< of a success: whole, and signed by a server for this request
  base::time_point at{};
};

/// Collects what callers, servers and operators saw, and finds broken promises. No input or output.
class ledger {
public:
  explicit ledger(ledger_bounds bounds = {}) : bounds_(bounds) {}

  void set_rate(const std::string& workspace, double per_second, double burst);

  void note_sent(const sent_request& request);
  /// A server begins to run a request.
  void note_run(const std::string& id, const std::string& server, const std::string& service,
                const std::string& workspace, bool has_key, base::time_point now);
  /// The server's whole answer has left.
  void note_served(const std::string& id);
  void note_answer(const std::string& id, const seen_answer& answer);

  void note_issued(const std::string& key, base::time_point acked);
  /// An order to withdraw the key is sent; from then on it may be refused.
  void note_withdrawing(const std::string& key);
  void note_withdrawn(const std::string& key, base::time_point acked);
  void note_leaving(const std::string& server, base::time_point acked);
  void note_accepted(std::uint64_t version);
  std::uint64_t accepted() const noexcept { return accepted_; }
  /// `accepted` is what had been acknowledged when the question was sent.
  void note_read(std::uint64_t version, std::uint64_t accepted);
  void note_invalid_accepted(const std::string& what);
  void note_slow_stop(const std::string& instance);
  /// The soak itself could not do something; counts as a failed run.
  void note_harness_failure(const std::string& what);
  void note_recovery(std::size_t served, std::size_t sent);

  /// An entry instance, its connections or the control instances are disturbed until `end_trouble`.
  void begin_trouble(const std::string& instance, base::time_point now);
  void end_trouble(const std::string& instance, base::time_point now);
  /// A planned stop of an entry instance: no trouble, but what it cuts counts.
  void begin_stop(const std::string& instance, base::time_point now);

  /// Checks what needs all facts. Call once, after the last answer.
  void finish();

  const std::vector<violation>& violations() const noexcept { return violations_; }
  std::size_t sent() const noexcept { return requests_.size(); }
  std::size_t served() const noexcept { return successes_; }
  std::size_t answers(unsigned status) const;
  std::string summary() const;

private:
  struct fact {
    sent_request request;
    std::vector<std::string> servers; ///< that ran it
    bool was_served = false;          ///< some server's whole answer left
    seen_answer answer;
    bool has_answer = false;
  };
  struct span {
    base::time_point begin;
    base::time_point end;
  };

  void report(promise p, std::string detail);
  bool is_calm(const std::string& instance, base::time_point from, base::time_point to) const;
  bool is_denied_in_force(const fact& f) const;
  void check_refusals();
  void check_rates();
  void check_time_limits();

  ledger_bounds bounds_;
  std::map<std::string, fact, std::less<>> requests_;
  std::map<std::string, std::pair<double, double>, std::less<>> rates_;
  std::map<std::string, base::time_point, std::less<>> issued_;
  std::set<std::string, std::less<>> withdrawing_;
  std::map<std::string, base::time_point, std::less<>> withdrawn_;
  std::size_t denied_in_force_ = 0;
  std::map<std::string, base::time_point, std::less<>> leaving_;
  std::map<std::string, std::deque<span>, std::less<>> troubles_;
  std::map<std::string, base::time_point, std::less<>> stops_;
  std::map<unsigned, std::size_t> statuses_;
  std::uint64_t accepted_ = 0;
  std::size_t successes_ = 0;
  std::vector<violation> violations_;
  std::map<promise, std::size_t> reported_;
};

} // namespace kingcupshunt::soak
