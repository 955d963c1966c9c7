#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/config/snapshot.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/observe/decision.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/rates/decayed_count.h"
#include "kingcupshunt/rates/limit.h"
#include "kingcupshunt/rates/messages.h"
#include "kingcupshunt/rates/ownership.h"

namespace kingcupshunt::rates {

enum class refusal_reason : std::uint8_t {
  over_rate,        ///< the workspace has used up its rate and burst
  owner_starting,   ///< the owner is new or its view is not fresh, so it grants nothing yet
  owner_silent,     ///< no answer from the owner
  unknown_workspace ///< the owner's configuration lacks the workspace, or no member is active
};

/// Stable lower-case name, also the label of the refusal counter.
const char* to_string(refusal_reason reason) noexcept;

/// Refusal of a request that got no token and has not run.
struct rate_refusal {
  refusal_reason reason = refusal_reason::over_rate;
  std::optional<base::milliseconds> retry_after; ///< only when the owner sent a time
};

using acquired = base::result<void, rate_refusal>;
using done_function = std::function<void(acquired)>;

struct client_settings {
  std::uint64_t incarnation = 1;          ///< differs for each start of the process, not 0
  base::milliseconds max_wait{100};       ///< maximum wait of a request for its token
  base::milliseconds request_timeout{25}; ///< time until an unanswered token request is repeated
  base::milliseconds prefetch{200};     ///< tokens for the demand of this time are held in advance
  base::milliseconds return_after{300}; ///< idle time after which unused tokens are returned
  std::size_t max_waiters = 1024;       ///< maximum of waiting requests of one workspace
};

struct client_hooks {
  peer::send_function send; ///< must also deliver messages to this instance itself
  std::function<void(const observe::decision&)> on_decision;            ///< may be unset
  std::function<void(std::string_view name, std::uint64_t n)> on_count; ///< may be unset
};

/// Instance side of the rate limits: spends tokens for requests and requests more from the owners.
class client {
public:
  client(client_settings settings, client_hooks hooks);

  void set_view(const membership::fleet_view& view, base::time_point now);

  /// Takes one token of `workspace`. Calls `done` exactly once: immediately when a token is held or
  /// the request is refused, else no later than the earlier of `deadline` and `now` + max_wait,
  /// with the precision of `tick`.
  void acquire(std::string_view workspace, base::time_point now, base::time_point deadline,
               done_function done);

  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  /// Earliest time at which a tick has work, for timers finer than the usual 50 ms.
  std::optional<base::time_point> next_due() const;

  std::size_t entry_count() const noexcept { return entries_.size(); }

private:
  struct token_batch {
    base::time_point expires;
    std::uint32_t tokens = 0;
  };
  struct waiter {
    base::time_point until;
    done_function done;
  };
  struct pending_request {
    std::uint64_t seq = 0;
    base::time_point sent;
    base::time_point resend;
    bool is_queued = false; ///< the owner has confirmed that the request is queued
  };
  struct entry {
    std::string owner;
    std::vector<token_batch> batches;        ///< from the current owner, ordered by expiry
    std::vector<token_batch> former_batches; ///< of a former owner or term; spent first, unreported
    std::uint32_t held = 0;                  ///< sum of `batches`
    std::uint64_t spent = 0;
    std::vector<base::time_point> spends; ///< newest unreported spends
    bool has_unreported = false;
    decayed_count demand;   ///< requests
    decayed_count received; ///< tokens
    std::optional<pending_request> pending;
    /// No prefetch, and no request to a starting owner, before this time.
    base::time_point request_after{};
    base::time_point next_token{};
    std::optional<refusal_reason> last_refusal; ///< reason why the last token request got nothing
    std::uint32_t timeouts = 0;
    bool is_scarce = false;    ///< each spend is reported immediately
    bool is_plentiful = false; ///< frames that only report spends are not needed
    std::vector<waiter> waiters;
    base::time_point last_used{};
    base::time_point last_report{};
    base::time_point last_decision{};
  };
  using entry_map = std::unordered_map<std::string, entry, config::string_hash, std::equal_to<>>;
  using completion = std::pair<done_function, acquired>;

  entry& find_or_make(std::string_view workspace, base::time_point now);
  static void make_former(entry& e);
  static bool spend(entry& e, base::time_point now);
  static void expire_batches(entry& e, base::time_point now);
  std::uint32_t target(const entry& e, base::time_point now) const;
  void request_if_needed(const std::string& workspace, entry& e, base::time_point now);
  void add_item(const std::string& workspace, entry& e, std::uint32_t urgent,
                std::uint32_t wanted_tokens, base::time_point now);
  std::optional<rate_refusal> immediate_refusal(const entry& e, base::time_point now) const;
  rate_refusal make_refusal(const entry& e, base::time_point now) const;
  void serve_waiters(entry& e, base::time_point now);
  void refuse_all_waiters(const std::string& workspace, entry& e, base::time_point now);
  void note_refusal(const std::string& workspace, entry& e, const rate_refusal& r,
                    base::time_point now);
  void handle(std::string_view from, const grant_item& item, base::time_point now);
  void handle_answer(const std::string& workspace, entry& e, const grant_item& item,
                     base::time_point now);
  void handle_recall(const std::string& workspace, entry& e, base::time_point now);
  void tick_entry(const std::string& workspace, entry& e, base::time_point now);
  void return_idle(entry& e, base::time_point now) const;
  static void drop_tokens(entry& e, std::uint32_t n);
  void drop_served();
  void flush();
  void count(std::string_view name, std::uint64_t n = 1);

  client_settings settings_;
  client_hooks hooks_;
  owner_map owners_;
  entry_map entries_;
  std::vector<entry*> waiting_; ///< entries with waiters, which are not removed
  std::unordered_map<std::string, std::uint64_t> terms_; ///< owner id to its incarnation
  std::uint64_t next_seq_ = 0;
  std::map<std::string, token_request> out_;
  std::vector<completion> completions_;
};

} // namespace kingcupshunt::rates
