#include "kingcupshunt/rates/local_share.h"

#include <algorithm>
#include <cmath>

#include "kingcupshunt/rates/attachment.h"

namespace kingcupshunt::rates {

namespace {

/// The owner's last count of free tokens says nothing after this time: others may have used them.
constexpr base::seconds free_lifetime{1};
/// An owner that doesn't hear an instance gives up this instance's part of its level after
/// `detach_after`. The instance waits a little longer before it uses that part.
constexpr base::milliseconds free_delay = detach_after + base::milliseconds(100);

limit part_of(const limit& workspace_limit, double instances) {
  const double n = std::max(instances, 1.0);
  return {workspace_limit.rate / n, workspace_limit.burst / n};
}

} // namespace

local_share::share& local_share::refill(std::string_view workspace, const limit& part,
                                        base::time_point now) {
  // A whole request fits also where the part of the burst is less.
  const double most = std::max(part.burst, 1.0);
  auto it = shares_.find(workspace);
  if (it == shares_.end()) {
    it = shares_.emplace(std::string(workspace), share{}).first;
    it->second.balance = most;
    it->second.balance_at = now;
  }
  auto& s = it->second;
  if (s.balance_at == base::time_point{}) { // made by an answer
    s.balance = most;
    s.balance_at = now;
  }
  s.balance = std::min(most, s.balance + part.rate * base::to_seconds(now - s.balance_at));
  s.balance_at = now;
  return s;
}

/// Whether a whole request has accrued without the owner and is not taken yet.
bool local_share::has_accrued(share& s, const limit& part, const share_basis& basis,
                              base::time_point now) {
  const auto since = std::max(s.answered_at, basis.granting_at);
  if (since == base::time_point{} || since > now) {
    return false;
  }
  if (since != s.since) {
    s.since = since;
    s.first_fraction = rng_.unit();
    s.taken = 0;
  }
  const bool has_free = since - s.answered_at <= free_lifetime && now - since >= free_delay;
  const double accrued = s.first_fraction + part.rate * base::to_seconds(now - since) +
                         (has_free ? s.free / std::max(basis.instances, 1.0) : 0);
  // Like a bucket, the shares together keep no more than the burst.
  const double expired = std::floor(std::max(accrued - part.burst, 0.0));
  s.taken = std::max(s.taken, expired);
  return std::floor(accrued) > s.taken;
}

bool local_share::take(std::string_view workspace, const limit& workspace_limit,
                       const share_basis& basis, base::time_point now) {
  if (basis.instances < 1) {
    return false;
  }
  const auto part = part_of(workspace_limit, basis.instances);
  auto& s = refill(workspace, part, now);
  if (s.balance < 1 || !has_accrued(s, part, basis, now)) {
    return false;
  }
  s.balance -= 1;
  s.taken += 1;
  return true;
}

void local_share::note_granted(std::string_view workspace, const limit& workspace_limit,
                               double instances, base::time_point now) {
  if (instances < 1) {
    return;
  }
  const auto part = part_of(workspace_limit, instances);
  auto& s = refill(workspace, part, now);
  // Bounded so that a negative balance is restored within the window.
  s.balance = std::max(s.balance - 1, -part.rate * base::to_seconds(settings_.window));
}

void local_share::note_answer(std::string_view workspace, double free, base::time_point sent) {
  auto it = shares_.find(workspace);
  if (it == shares_.end()) {
    it = shares_.emplace(std::string(workspace), share{}).first;
  }
  it->second.answered_at = std::max(it->second.answered_at, sent);
  it->second.free = free;
}

} // namespace kingcupshunt::rates
