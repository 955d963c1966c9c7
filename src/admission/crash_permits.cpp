#include "kingcupshunt/admission/crash_suspects.h"

#include <algorithm>
#include <utility>

#include "kingcupshunt/base/rendezvous.h"

namespace kingcupshunt::admission {

namespace {

// Instances that wait for the permit of one fingerprint.
constexpr std::size_t max_queue = 256;

std::string pick(std::uint64_t fingerprint, const std::vector<std::string>& active) {
  const auto at = base::rendezvous_pick(std::to_string(fingerprint), active);
  return at < active.size() ? active[at] : std::string();
}

} // namespace

std::string crash_suspects::coordinator_of(std::uint64_t fingerprint) const {
  return pick(fingerprint, active_);
}

bool crash_suspects::is_ready(std::uint64_t fingerprint) const {
  // Every view whose permits may still be in use gave the fingerprint to this process.
  return std::ranges::all_of(former_views_, [&](const former_view& v) {
    return pick(fingerprint, v.active) == settings_.self;
  });
}

void crash_suspects::handle_permit(const std::string& from, const permit_message& m,
                                   base::time_point now) {
  if (m.step == static_cast<std::uint8_t>(permit_step::grant)) {
    return handle_grant(from, m, now);
  }
  if (coordinator_of(m.fingerprint) != settings_.self) {
    return;
  }
  if (m.step == static_cast<std::uint8_t>(permit_step::release)) {
    const auto it = permits_.find(m.fingerprint);
    if (it == permits_.end()) {
      return;
    }
    auto& p = it->second;
    std::erase(p.queue, std::pair(from, m.call));
    if (p.holder == from && p.call == m.call) {
      p.holder.clear();
      grant_next(m.fingerprint, p, now);
    }
    return;
  }
  if (m.step != static_cast<std::uint8_t>(permit_step::request) ||
      (permits_.size() >= settings_.limits.max_suspects && !permits_.contains(m.fingerprint))) {
    return;
  }
  auto& p = permits_[m.fingerprint];
  const std::pair requester(from, m.call);
  if (p.holder == from && p.call == m.call) {
    send_permit(from, m.fingerprint, m.call, permit_step::grant, now);
  } else if (std::ranges::find(p.queue, requester) == p.queue.end() && p.queue.size() < max_queue) {
    p.queue.push_back(requester);
    grant_next(m.fingerprint, p, now);
  }
}

void crash_suspects::grant_next(std::uint64_t fingerprint, permit& p, base::time_point now) {
  if (!p.holder.empty() || p.queue.empty() || !is_ready(fingerprint) ||
      (hooks_.is_fresh && !hooks_.is_fresh()) || table_.is_refused(fingerprint)) {
    return;
  }
  std::tie(p.holder, p.call) = p.queue.front();
  p.queue.pop_front();
  // After the holder's own limit and after the notes of its run, so that a holder that died with
  // its server is blamed before the next run.
  p.expires = now + settings_.permit_lifetime * 206 / 100;
  send_permit(p.holder, fingerprint, p.call, permit_step::grant, now);
}

void crash_suspects::send_permit(const std::string& to, std::uint64_t fingerprint,
                                 std::uint64_t call, permit_step step, base::time_point now) {
  suspects_message m;
  m.permits.push_back({fingerprint, call, static_cast<std::uint8_t>(step)});
  send_to(to, m, now);
}

void crash_suspects::tick_permits(base::time_point now) {
  for (auto it = permits_.begin(); it != permits_.end();) {
    auto& p = it->second;
    if (!p.holder.empty() && p.expires <= now) {
      p.holder.clear();
    }
    if (table_.is_refused(it->first)) {
      p.queue.clear();
    }
    grant_next(it->first, p, now);
    it = p.holder.empty() && p.queue.empty() ? permits_.erase(it) : std::next(it);
  }
}

} // namespace kingcupshunt::admission
