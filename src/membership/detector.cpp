#include "kingcupshunt/membership/detector.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace kingcupshunt::membership {

namespace {

// Of the latest 8 rounds. A loss of half the fleet still leaves every second round answered.
constexpr int isolated_outcomes = 6;

// A failed member is probed in one of this many rounds, so that a healed partition is noticed
// from both sides.
constexpr std::uint64_t failed_rounds = 8;

// One round without a direct answer may be a lost message; two in succession are a fault.
constexpr std::uint8_t fault_rounds = 2;

constexpr std::size_t max_rechecks = 32;

// Up to this size more helpers are asked: a few cuts are a large share of a small fleet's paths.
constexpr std::size_t small_fleet = 32;
constexpr std::size_t small_fleet_helpers = 6;

// A member that was heard directly within this many periods still reaches this instance.
constexpr int heard_periods = 8;

// About this many members tell a suspect directly that it is suspected, whatever the fleet's size.
constexpr double informers = 8.0;

} // namespace

detector::detector(detector_settings settings, peer::send_function send, detector_hooks hooks)
    : settings_(std::move(settings)), send_(std::move(send)), hooks_(std::move(hooks)),
      rng_(settings_.seed), incarnation_(settings_.incarnation), queue_(settings_.update_capacity) {
}

std::optional<std::size_t> detector::index_of(std::string_view id) const noexcept {
  const auto* member = view_.find(id);
  if (member == nullptr) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(member - view_.members.data());
}

void detector::set_view(const fleet_view& view, base::time_point) {
  if (!view_.members.empty() && view.version <= view_.version) {
    return;
  }
  std::vector<record> records(view.members.size());
  for (std::size_t i = 0; i < view.members.size(); ++i) {
    if (const auto old = index_of(view.members[i].id)) {
      records[i] = records_[*old];
    } else if (!view.members[i].is_active) {
      records[i].state = member_state::failed;
      records[i].visible = member_status::failed;
    }
  }
  view_ = view;
  records_ = std::move(records);
  self_ = index_of(settings_.self_id);
  order_.clear();
  round_.reset();
  announce_self();
}

void detector::announce_self() {
  const auto state = is_leaving_ ? member_state::left : member_state::alive;
  queue_.add({settings_.self_id, static_cast<std::uint8_t>(state), incarnation_}, true);
}

void detector::leave(base::time_point now) {
  is_leaving_ = true;
  announce_self();
  // This process may not live for another period.
  push_news(2 * settings_.indirect_peers);
  tick(now);
}

void detector::push_news(std::size_t members) {
  has_urgent_news_ = false;
  for (std::size_t tries = 0; members > 0 && tries < 2 * records_.size(); ++tries) {
    const auto target = rng_.below(records_.size());
    if (target == self_ || records_[target].state != member_state::alive) {
      continue;
    }
    probe_message message;
    message.sequence = ++sequence_;
    message.incarnation = incarnation_;
    send(view_.members[target].id, peer::message_kind::membership_probe, message);
    --members;
  }
}

void detector::inform_suspect(std::size_t member) {
  if (rng_.unit() * static_cast<double>(records_.size()) < informers) {
    probe_message message;
    message.sequence = ++sequence_;
    message.incarnation = incarnation_;
    send(view_.members[member].id, peer::message_kind::membership_probe, message);
  }
}

member_status detector::status_of(std::string_view id) const noexcept {
  const auto index = index_of(id);
  return index ? records_[*index].visible : member_status::failed;
}

bool detector::is_isolated() const noexcept {
  return std::popcount(outcomes_) >= isolated_outcomes;
}

void detector::note_outcome(bool is_answered) {
  outcomes_ = static_cast<std::uint8_t>((outcomes_ << 1U) | (is_answered ? 0U : 1U));
}

void detector::tick(base::time_point now) {
  if (round_ && !round_->is_direct_answered && !round_->is_indirect_sent &&
      now - round_->sent_at >= settings_.direct_timeout) {
    send_indirect();
  }
  expire_suspicions(now);
  refresh_damped(now);
  std::erase_if(forwarded_, [&](const auto& f) { return now - f.sent_at > 2 * settings_.period; });
  // News about failures does not wait for the next round; at most two pushes per period bound it.
  if (has_urgent_news_ && now >= next_push_at_) {
    next_push_at_ = now + settings_.period / 2;
    push_news(settings_.indirect_peers);
  }
  if (now >= next_round_at_) {
    finish_round(now);
    const auto jitter = base::from_seconds(base::to_seconds(settings_.period) * rng_.unit() / 8);
    next_round_at_ = now + settings_.period - jitter;
    start_round(now);
  }
}

std::optional<std::size_t> detector::next_in_order() {
  for (std::size_t tries = 0; tries < 2 * records_.size(); ++tries) {
    if (order_.empty()) {
      for (std::uint32_t i = 0; i < records_.size(); ++i) {
        order_.push_back(i);
        std::swap(order_.back(), order_[rng_.below(order_.size())]);
      }
    }
    const auto member = order_.back();
    order_.pop_back();
    const auto state = records_[member].state;
    const bool is_gone = state == member_state::failed || state == member_state::left;
    if (member != self_ && is_gone == (rounds_ % failed_rounds == 0)) {
      return member;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> detector::next_target(base::time_point now) {
  ++rounds_;
  // Rechecks take at most every second round, so that they cannot starve the other members.
  if (rounds_ % 2 == 0) {
    for (std::size_t n = rechecks_.size(); n > 0; --n) {
      const auto id = std::move(rechecks_.front());
      rechecks_.pop_front();
      const auto index = index_of(id);
      if (!index) {
        continue;
      }
      if (now >= records_[*index].recheck_at) {
        return index;
      }
      rechecks_.push_back(id);
    }
  }
  if (auto target = next_in_order()) {
    return target;
  }
  if (rounds_ % failed_rounds == 0) { // no member has failed; probe a living one
    ++rounds_;
    return next_in_order();
  }
  return std::nullopt;
}

void detector::start_round(base::time_point now) {
  const auto target = next_target(now);
  if (!target) {
    return;
  }
  round_ = probe_round{.target = *target, .sequence = ++sequence_, .sent_at = now};
  probe_message message;
  message.sequence = round_->sequence;
  message.incarnation = incarnation_;
  send(view_.members[*target].id, peer::message_kind::membership_probe, message);
}

void detector::send_indirect() {
  round_->is_indirect_sent = true;
  std::vector<std::size_t> helpers;
  for (std::size_t i = 0; i < records_.size(); ++i) {
    if (i != self_ && i != round_->target && records_[i].state == member_state::alive) {
      helpers.push_back(i);
    }
  }
  const auto wanted = records_.size() <= small_fleet
                          ? std::max(settings_.indirect_peers, small_fleet_helpers)
                          : settings_.indirect_peers;
  for (std::size_t n = 0; n < wanted && !helpers.empty(); ++n) {
    std::swap(helpers[rng_.below(helpers.size())], helpers.back());
    probe_request_message message;
    message.sequence = round_->sequence;
    message.incarnation = incarnation_;
    message.target = view_.members[round_->target].id;
    send(view_.members[helpers.back()].id, peer::message_kind::membership_probe_request, message);
    helpers.pop_back();
  }
}

void detector::finish_round(base::time_point now) {
  if (!round_) {
    return;
  }
  const auto target = round_->target;
  auto& r = records_[target];
  const bool is_answered = round_->is_direct_answered || round_->is_indirect_answered;
  const bool is_gone = r.state == member_state::failed || r.state == member_state::left;
  if (!is_gone) {
    note_outcome(is_answered);
  }
  if (is_answered) {
    answered_at_ = now;
    r.proof_at = now;
    judge_path(target);
  } else if (r.state == member_state::alive && !is_isolated()) {
    // Alive again after a former round went unanswered: it refuted the suspicion over another way.
    const bool is_heard = now - r.heard_at < heard_periods * settings_.period;
    note_missing_direct(target, is_heard ? path_direction::to_peer : path_direction::from_peer);
    set_state(target, member_state::suspect, r.incarnation, now);
  }
  const bool is_doubtful = r.state == member_state::suspect || r.rounds_without_direct > 0;
  const auto& id = view_.members[target].id;
  if (is_doubtful && rechecks_.size() < max_rechecks &&
      std::ranges::find(rechecks_, id) == rechecks_.end()) {
    const bool is_known_fault =
        r.reported != path_direction::none && r.state != member_state::suspect;
    r.recheck_at = is_known_fault ? now + settings_.fault_recheck : now;
    rechecks_.push_back(id);
  }
  round_.reset();
}

void detector::judge_path(std::size_t target) {
  auto& r = records_[target];
  if (round_->is_direct_answered) {
    r.rounds_without_direct = 0;
    report_path(target, path_direction::none);
    return;
  }
  note_missing_direct(target, round_->has_heard_origin ? path_direction::from_peer
                                                       : path_direction::to_peer);
}

void detector::note_missing_direct(std::size_t target, path_direction cut) {
  auto& r = records_[target];
  r.rounds_without_direct = static_cast<std::uint8_t>(std::min(r.rounds_without_direct + 1, 255));
  if (r.rounds_without_direct >= fault_rounds) {
    report_path(target, cut);
  }
}

void detector::report_path(std::size_t target, path_direction cut) {
  auto& r = records_[target];
  if (r.reported == cut) {
    return;
  }
  r.reported = cut;
  if (hooks_.on_path_fault) {
    hooks_.on_path_fault({view_.members[target].id, cut});
  }
}

void detector::refresh_damped(base::time_point now) {
  if (!std::exchange(has_damped_, false)) {
    return;
  }
  for (std::size_t i = 0; i < records_.size(); ++i) {
    if (records_[i].damper.is_damped()) {
      refresh_visible(i, false, now);
      has_damped_ = has_damped_ || records_[i].damper.is_damped();
    }
  }
}

void detector::expire_suspicions(base::time_point now) {
  if (is_isolated() || !std::exchange(has_suspects_, false)) {
    return;
  }
  for (std::size_t i = 0; i < records_.size(); ++i) {
    auto& r = records_[i];
    if (r.state != member_state::suspect) {
      continue;
    }
    has_suspects_ = true;
    if (now < r.suspect_until) {
      continue;
    }
    if (std::max(r.heard_at, r.proof_at) > r.suspect_since) {
      // It lives, so it will hear of the suspicion and refute it.
      r.suspect_since = now;
      r.suspect_until = now + 2 * settings_.period;
    } else if (answered_at_ >= r.suspect_since) {
      // Without any answer since the suspicion began, the fault may be this instance's own.
      set_state(i, member_state::failed, r.incarnation, now);
    }
  }
}

} // namespace kingcupshunt::membership
