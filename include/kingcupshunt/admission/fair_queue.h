#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/config/entities.h"
#include "kingcupshunt/observe/decision.h"
#include "kingcupshunt/proxy/hooks.h"
#include "kingcupshunt/proxy/refusal.h"

namespace kingcupshunt::admission {

using admit_function = std::function<void(proxy::decided<void>)>;

/// A request that waits for its turn.
struct queued_request {
  std::string workspace; ///< empty on a route open to all
  double weight = 1;     ///< share of the workspace
  config::request_class priority = config::request_class::normal;
  base::time_point deadline;
};

struct fair_queue_settings {
  std::string service;
  std::size_t queue_limit = 64; ///< requests waiting
  /// One turn of so many goes to a lower class although a higher one waits.
  std::uint32_t lower_class_turn = 20;
};

struct fair_queue_hooks {
  std::function<void(const observe::decision&)> on_decision; ///< may be unset
  std::function<void(std::string_view reason)> on_refusal;   ///< may be unset
};

/// Bounded queue of one service on one instance. Turns are shared between workspaces by weight,
/// critical before normal before deferrable.
class fair_queue {
public:
  using ticket = std::uint64_t;

  fair_queue(fair_queue_settings settings, fair_queue_hooks hooks);

  /// Requests that may run at once: slots of the healthy upstreams that this instance may use.
  void set_slots(std::size_t slots, base::time_point now);
  void set_queue_limit(std::size_t limit) { settings_.queue_limit = limit; }

  /// Runs `done` exactly once, at once or later: with success when the request has its turn, or
  /// with a refusal that says "not run". The ticket names the request while it waits; 0 when
  /// `done` has run already.
  ticket enter(const queued_request& request, base::time_point now, admit_function done);

  /// Takes a waiting request out without running its `done`. False when it does not wait.
  bool cancel(ticket t, base::time_point now);

  /// Gives a turn back. `run_time` is the time from the turn to now; a workspace is charged for
  /// requests that run longer than the mean.
  void finish(std::string_view workspace, config::request_class priority, base::duration run_time,
              base::time_point now);

  /// An upstream has shed a request as full: lowers the limit below the slots for a while.
  void note_shed(base::time_point now);

  /// Refuses requests whose deadline has passed.
  void tick(base::time_point now);

  std::size_t waiting() const noexcept { return waiting_; }
  std::size_t running() const noexcept { return running_; }
  /// Requests that may run at once now, at most the slots.
  std::size_t limit() const noexcept;

private:
  static constexpr std::size_t class_count = 3;

  struct waiting_request {
    ticket id = 0;
    base::time_point deadline;
    admit_function done;
  };
  struct tenant {
    double weight = 1;
    double start_tag = 0; ///< virtual time at which its next request starts
    std::deque<waiting_request> requests;
  };
  using tenant_map = std::map<std::string, tenant, std::less<>>;
  struct lane {
    double virtual_time = 0;
    double speed = 0; ///< measured virtual time per second while requests wait, 0 when not known
    double measured_from = 0; ///< virtual time at the start of the measurement in progress
    std::optional<base::time_point> measured_since;
    std::size_t waiting = 0;
    tenant_map tenants; ///< those with requests or with a start tag ahead of the virtual time
  };
  using completion = std::pair<admit_function, std::optional<proxy::refusal>>;

  base::duration expected_wait(const queued_request& request, std::size_t lane_index) const;
  std::size_t count_ahead(const queued_request& request, std::size_t lane_index) const;
  bool evict_for(const queued_request& request, std::size_t lane_index);
  bool drop_newest(std::size_t lane_index, double min_use);
  void refuse(admit_function done, std::string_view workspace, const char* reason,
              std::optional<base::duration> retry_after);
  void dispatch(base::time_point now);
  std::optional<std::size_t> choose_lane();
  void run_next(lane& l);
  static void forget_idle(lane& l);
  void charge(std::string_view workspace, lane& l, double seconds);
  static void measure(lane& l, base::time_point now);
  void run_completions();

  fair_queue_settings settings_;
  fair_queue_hooks hooks_;
  std::array<lane, class_count> lanes_;
  std::size_t waiting_ = 0;
  std::size_t running_ = 0;
  std::size_t slots_ = 0;
  double limit_ = 0;
  base::time_point last_shed_{};
  double mean_run_seconds_ = 0;
  std::map<std::string, double, std::less<>> workspace_means_; ///< of run times, in seconds
  std::uint64_t finished_ = 0;
  std::uint32_t turns_ = 0;
  ticket next_ticket_ = 0;
  std::uint64_t refused_ = 0;
  base::time_point last_decision_{};
  base::time_point now_{}; ///< of the call in progress
  std::vector<completion> completions_;
};

} // namespace kingcupshunt::admission
