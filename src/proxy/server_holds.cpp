#include "server_holds.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::proxy {

namespace {

/// A refused caller comes back soon, so its service counts as wanted for this long.
constexpr base::seconds refusal_lifetime{1};

} // namespace

std::shared_ptr<void> server_holds::add(server_hold hold, base::time_point now) {
  auto e = std::make_shared<entry>();
  e->hold = std::move(hold);
  e->moved_before = e->hold.moved();
  e->ticked_at = now;
  const bool is_first = holds_.empty();
  holds_.push_back(e);
  if (is_first && on_first) {
    on_first();
  }
  return e;
}

/// Forgets the demands that have ended before it adds one, since services come and go.
server_holds::demand& server_holds::demand_of(const std::string& service, base::time_point now) {
  if (!demands_.contains(service)) {
    std::erase_if(demands_, [now](const auto& it) {
      return it.second.waiting.expired() && now >= it.second.until;
    });
  }
  return demands_[service];
}

std::shared_ptr<void> server_holds::want(const std::string& service, base::time_point now) {
  auto& d = demand_of(service, now);
  auto out = d.waiting.lock();
  if (!out) {
    out = std::make_shared<char>();
    d.waiting = out;
  }
  return out;
}

void server_holds::note_refused(const std::string& service, base::time_point now) {
  demand_of(service, now).until = now + refusal_lifetime;
}

bool server_holds::is_wanted(const std::string& service, base::time_point now) const {
  const auto it = demands_.find(service);
  return it != demands_.end() && (!it->second.waiting.expired() || now < it->second.until);
}

/// Only the time in which the request waits for its caller counts: the server may be slow as well.
bool server_holds::is_stalled(entry& e, base::time_point now) const {
  const auto passed = now - std::exchange(e.ticked_at, now);
  if (!e.hold.is_waiting()) {
    return false;
  }
  // The process may have been suspended in between.
  e.waited += std::min<base::duration>(passed, 2 * tick_interval);
  if (e.waited < judged_time) {
    return false;
  }
  const auto moved = e.hold.moved();
  const auto rate = static_cast<double>(moved - e.moved_before) / base::to_seconds(e.waited);
  if (rate >= least_rate_) {
    e.waited = {};
    e.moved_before = moved;
  }
  return rate < least_rate_;
}

std::size_t server_holds::tick(base::time_point now) {
  std::vector<std::shared_ptr<entry>> stalled;
  std::erase_if(holds_, [&](const auto& weak) {
    const auto e = weak.lock();
    if (e && is_stalled(*e, now) && is_wanted(e->hold.service, now)) {
      stalled.push_back(e);
    }
    return !e;
  });
  for (const auto& e : stalled) {
    e->waited = {};
    e->hold.end();
  }
  return stalled.size();
}

} // namespace kingcupshunt::proxy
