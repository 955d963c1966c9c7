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
  double share = 0.1;                ///< retries for each recent success
  double workspace_per_second = 0.5; ///< constant retry rate of a workspace
  double instance_per_second = 5;    ///< constant retry rate of the instance
  double max_accrual_seconds = 5;    ///< the constant part accumulates for at most this long
  /// Time constant of the decay of retries earned by successes. With a fixed cap instead, an
  /// instance with few requests could accumulate minutes of them and triple its load in a failure.
  base::seconds decay_time{10};
  std::size_t max_workspaces = 20000; ///< beyond this, idle workspaces are dropped
};

/// Limits the retries (including hedges) of one instance to a share of its recent successes plus a
/// small constant rate, for each workspace and in total, so that a general failure does not
/// multiply the load.
class retry_budget {
public:
  explicit retry_budget(retry_budget_settings settings = {}) : settings_(settings) {}

  /// Records a successful request of `workspace`.
  void deposit(std::string_view workspace, base::time_point now);

  /// Takes one retry from both budgets. False when either is empty; then nothing is taken.
  bool withdraw(std::string_view workspace, base::time_point now);

  /// Returns a withdrawn retry that was not sent.
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
