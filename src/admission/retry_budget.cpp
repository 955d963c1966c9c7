#include "kingcupshunt/admission/retry_budget.h"

#include <algorithm>

namespace kingcupshunt::admission {

void retry_budget::accrue(account& a, double per_second, double cap, base::time_point now) {
  if (now > a.at) {
    // The constant part never lifts the budget beyond what it saves up by itself.
    const double most = std::max(a.tokens, cap);
    a.tokens = std::min(most, a.tokens + per_second * base::to_seconds(now - a.at));
    a.at = now;
  }
}

retry_budget::account& retry_budget::find_or_make(std::string_view workspace,
                                                  base::time_point now) {
  const auto& s = settings_;
  if (!has_started_) {
    has_started_ = true;
    instance_ = {s.instance_per_second * s.seconds_kept, now};
  }
  accrue(instance_, s.instance_per_second, s.instance_per_second * s.seconds_kept, now);
  auto it = workspaces_.find(workspace);
  if (it == workspaces_.end()) {
    if (workspaces_.size() >= s.max_workspaces) {
      drop_idle(now);
    }
    it = workspaces_
             .emplace(std::string(workspace), account{s.workspace_per_second * s.seconds_kept, now})
             .first;
  }
  accrue(it->second, s.workspace_per_second, s.workspace_per_second * s.seconds_kept, now);
  return it->second;
}

void retry_budget::drop_idle(base::time_point now) {
  // A dropped workspace starts again with the constant part, which the instance's budget bounds.
  std::erase_if(workspaces_, [&](const auto& e) {
    return now - e.second.at > base::from_seconds(settings_.seconds_kept);
  });
  if (workspaces_.size() >= settings_.max_workspaces) {
    workspaces_.erase(workspaces_.begin());
  }
}

void retry_budget::deposit(std::string_view workspace, base::time_point now) {
  auto& a = find_or_make(workspace, now);
  a.tokens = std::min(settings_.workspace_cap, a.tokens + settings_.share);
  instance_.tokens = std::min(settings_.instance_cap, instance_.tokens + settings_.share);
}

bool retry_budget::withdraw(std::string_view workspace, base::time_point now) {
  auto& a = find_or_make(workspace, now);
  if (a.tokens < 1.0 || instance_.tokens < 1.0) {
    return false;
  }
  a.tokens -= 1.0;
  instance_.tokens -= 1.0;
  return true;
}

void retry_budget::restore(std::string_view workspace) {
  const auto it = workspaces_.find(workspace);
  if (it != workspaces_.end()) {
    it->second.tokens = std::min(settings_.workspace_cap, it->second.tokens + 1.0);
  }
  instance_.tokens = std::min(settings_.instance_cap, instance_.tokens + 1.0);
}

} // namespace kingcupshunt::admission
