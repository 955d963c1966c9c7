#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/config/snapshot.h"

namespace kingcupshunt::admission {

struct retry_budget_settings {
  double share = 0.1;                ///< further tries for each recent success
  double workspace_per_second = 0.5; ///< further tries a workspace may always have
  double instance_per_second = 5;    ///< further tries an instance may always have
  double max_accrual_seconds = 5;    ///< the constant part is saved up for this long
  /// Time constant with which saved tries of past successes fade. A fixed cap would let an instance
  /// with few requests save up minutes of them and treble its load in a failure.
  base::seconds decay_time{10};
  std::size_t max_workspaces = 20000; ///< idle ones are dropped beyond this
};

/// Bounds the further tries (retries and hedges) of one instance to a share of its recent
/// successes plus a small constant, for each workspace and in total, so that a general failure does
/// not multiply the load.
class retry_budget {
public:
  explicit retry_budget(retry_budget_settings settings = {}) : settings_(settings) {}

  /// A request of `workspace` succeeded.
  void deposit(std::string_view workspace, base::time_point now);

  /// Takes one further try out of both budgets. False when either is empty; nothing is taken then.
  bool withdraw(std::string_view workspace, base::time_point now);

  /// Gives a withdrawn try back that was not sent.
  void restore(std::string_view workspace);

  std::size_t size() const noexcept { return workspaces_.size(); }

private:
  struct account {
    double earned = 0;   ///< by successes
    double constant = 0; ///< by time
    base::time_point at{};
    double total() const noexcept { return earned + constant; }
    void take();
  };

  account& find_or_create(std::string_view workspace, base::time_point now);
  void drop_idle(base::time_point now);
  void accrue(account& a, double per_second, base::time_point now) const;

  retry_budget_settings settings_;
  account instance_;
  bool has_started_ = false;
  std::unordered_map<std::string, account, config::string_hash, std::equal_to<>> workspaces_;
};

} // namespace kingcupshunt::admission
