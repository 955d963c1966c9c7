#include "kingcupshunt/rates/owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupshunt::rates {

namespace {

// Time after a view within which the former owner's handover is expected.
constexpr base::milliseconds handover_window{300};
// Maximum number of buckets in one handover frame.
constexpr std::size_t max_handovers = 1000;
// Maximum number of stored handovers.
constexpr std::size_t max_stored_handovers = 100'000;

} // namespace

void owner::hand_over(const std::string& workspace, const bucket& b) {
  const auto& map = views_.back().map;
  const auto next = std::string(map.pick(workspace));
  if (next.empty()) {
    return;
  }
  auto& frame = handovers_out_[next];
  if (frame.handovers.size() < max_handovers) {
    const auto outstanding = std::min<std::uint64_t>(b.outstanding(), 1U << 30U);
    frame.handovers.push_back(
        {workspace, map.version(), b.level(), static_cast<std::uint32_t>(outstanding)});
  }
}

void owner::add_claims(base::time_point now) {
  // A workspace without a bucket has no outstanding tokens if this instance was ready to grant its
  // tokens. That is so for the workspaces that it has owned since a view whose wait has passed.
  const auto& map = views_.back().map;
  std::uint64_t since = 0;
  for (const auto& v : views_) {
    if (v.held_at && *v.held_at + takeover_wait() <= now) {
      since = v.map.version();
    }
  }
  if (since != 0) {
    const bool is_leaving = std::ranges::find(map.active(), settings_.self) == map.active().end();
    for (const auto& id : is_leaving ? map.active() : map.added()) {
      if (id != settings_.self && handovers_out_[id].handovers.size() < max_handovers) {
        handovers_out_[id].claim_since = since;
        handovers_out_[id].claim_version = map.version();
      }
    }
  }
}

std::optional<owner::gain> owner::find_gain(std::string_view workspace) const {
  for (std::size_t i = views_.size(); i > 1; --i) {
    if (views_[i - 1].map.pick(workspace) != settings_.self) {
      return std::nullopt;
    }
    const auto& before = views_[i - 2].map;
    if (const auto former = before.pick(workspace); former != settings_.self) {
      return gain{i - 1, std::string(former)};
    }
  }
  return std::nullopt;
}

void owner::note_handovers(std::string_view from, const handover_frame& frame,
                           base::time_point now) {
  for (const auto& h : frame.handovers) {
    // Accepts a handover only from the owner in the view before the one that moved the workspace
    // here.
    const auto gained = find_gain(h.workspace);
    if (gained && views_[gained->index].map.version() == h.version && gained->former == from &&
        std::isfinite(h.level) && handovers_.size() < max_stored_handovers) {
      handovers_.try_emplace(h.workspace, received_handover{h, now, false});
    }
  }
  if (frame.claim_since != 0) {
    claims_[std::string(from)] = {frame.claim_since, frame.claim_version, now};
  }
}

bool owner::is_covered_by_claim(std::string_view workspace, const gain& g) const {
  const auto it = claims_.find(g.former);
  if (it == claims_.end() || it->second.version != views_[g.index].map.version()) {
    return false;
  }
  // The claim covers the workspace if the former owner has owned it in every view since
  // `claim_since`.
  for (std::size_t i = g.index; i-- > 0;) {
    if (views_[i].map.pick(workspace) != g.former) {
      return false;
    }
    if (views_[i].map.version() <= it->second.since) {
      return true;
    }
  }
  return false;
}

bucket* owner::use_handover(std::string_view workspace, const limit& l, base::time_point now) {
  const auto gained = find_gain(workspace);
  if (!gained || !views_.back().held_at) {
    return nullptr;
  }
  std::optional<bucket> taken;
  const auto it = handovers_.find(workspace);
  if (it != handovers_.end()) {
    if (it->second.is_used || it->second.state.version != views_[gained->index].map.version()) {
      return nullptr;
    }
    it->second.is_used = true;
    taken = bucket::take_over(l, it->second.state, it->second.at);
  } else if (is_covered_by_claim(workspace, *gained)) {
    taken = bucket(l, 0, claims_.at(gained->former).at);
  } else {
    return nullptr;
  }
  taken->accrue(now);
  taken->keep_until = now + 2 * takeover_wait();
  count("rates_handovers");
  return &buckets_.emplace(std::string(workspace), std::move(*taken)).first->second;
}

bool owner::has_just_moved(std::string_view workspace, base::time_point now) const {
  const auto gained = find_gain(workspace);
  return gained && now - views_[gained->index].set_at <= handover_window;
}

void owner::drop_handovers(base::time_point now) {
  const auto is_old = [&](const auto& e) { return now - e.second.at > 3 * takeover_wait(); };
  std::erase_if(handovers_, is_old);
  std::erase_if(claims_, is_old);
}

} // namespace kingcupshunt::rates
