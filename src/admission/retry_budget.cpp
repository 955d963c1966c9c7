#include "kingcupshunt/admission/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace kingcupshunt::admission {

void retry_budget::account::take() {
  const double part = std::min(constant, 1.0);
  constant -= part;
  earned = std::max(0.0, earned - (1.0 - part));
}

void retry_budget::accrue(account& a, double per_second, base::time_point now) const {
  if (now > a.at) {
    const double elapsed = base::to_seconds(now - a.at);
    a.earned *= std::exp(-elapsed / base::to_seconds(settings_.decay_time));
    a.constant =
        std::min(per_second * settings_.max_accrual_seconds, a.constant + per_second * elapsed);
    a.at = now;
  }
}

retry_budget::account& retry_budget::find_or_create(std::string_view workspace,
                                                    base::time_point now) {
  const auto& s = settings_;
  if (!has_started_) {
    has_started_ = true;
    instance_ = {0, s.instance_per_second * s.max_accrual_seconds, now};
  }
  accrue(instance_, s.instance_per_second, now);
  auto it = workspaces_.find(workspace);
  if (it == workspaces_.end()) {
    if (workspaces_.size() >= s.max_workspaces) {
      drop_idle(now);
    }
    it = workspaces_
             .emplace(std::string(workspace),
                      account{0, s.workspace_per_second * s.max_accrual_seconds, now})
             .first;
  }
  accrue(it->second, s.workspace_per_second, now);
  return it->second;
}

void retry_budget::drop_idle(base::time_point now) {
  // A dropped workspace starts again with the constant part, which the instance's budget bounds.
  std::erase_if(workspaces_,
                [&](const auto& e) { return now - e.second.at > settings_.decay_time; });
  if (workspaces_.size() >= settings_.max_workspaces) {
    workspaces_.erase(workspaces_.begin());
  }
}

void retry_budget::deposit(std::string_view workspace, base::time_point now) {
  find_or_create(workspace, now).earned += settings_.share;
  instance_.earned += settings_.share;
}

bool retry_budget::withdraw(std::string_view workspace, base::time_point now) {
  auto& a = find_or_create(workspace, now);
  if (a.total() < 1.0 || instance_.total() < 1.0) {
    return false;
  }
  a.take();
  instance_.take();
  return true;
}

void retry_budget::restore(std::string_view workspace) {
  const auto it = workspaces_.find(workspace);
  if (it != workspaces_.end()) {
    it->second.earned += 1.0;
  }
  instance_.earned += 1.0;
}

} // namespace kingcupshunt::admission
