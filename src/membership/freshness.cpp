#include "kingcupshunt/membership/freshness.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::membership {

namespace {

// A query that is unanswered for longer yields samples of little use.
constexpr base::duration query_lifetime = base::seconds(2);

// Inactive members are queried in one of this many rounds, so that a returning one is counted.
constexpr std::uint64_t inactive_rounds = 4;

// News of a majority is at most about three periods old while all aggregators answer.
constexpr int late_periods = 3;

} // namespace

freshness::freshness(freshness_settings settings, peer::send_function send, freshness_hooks hooks)
    : settings_(std::move(settings)), send_(std::move(send)), hooks_(std::move(hooks)),
      rng_(settings_.seed) {}

std::optional<std::size_t> freshness::index_of(std::string_view id) const noexcept {
  const auto* member = view_.find(id);
  if (member == nullptr) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(member - view_.members.data());
}

void freshness::set_view(const fleet_view& view, base::time_point now) {
  if (!view_.members.empty() && view.version <= view_.version) {
    return;
  }
  // What was learned under the former view stays valid: an instance that learned of a majority
  // of the former view after the new view was acknowledged would have heard of the new view.
  refresh(now);
  const bool is_next = !view_.members.empty() && view.version == view_.version + 1;
  const bool is_first = view.version <= 1;
  previous_view_.reset();
  if (is_next) {
    previous_view_ = view_;
  }
  is_previous_known_ = is_next || is_first;

  sample_table table;
  table.resize(view.members.size());
  for (std::size_t i = 0; i < view.members.size(); ++i) {
    if (const auto old = index_of(view.members[i].id)) {
      table.at(i) = table_.at(*old);
    }
  }
  table_ = std::move(table);
  view_ = view;
  view_revision_.reset();
  self_ = index_of(settings_.self_id);
  held_counter_.resize(view_.members.size());
  certificates_ = {};
  order_.clear();
  queries_.clear();
  first_call_id_ += 1U << 16U; // answers to queries under the former view match no record
  groups_.set_view(is_flat() ? fleet_view{} : view_, previous_view_ ? &*previous_view_ : nullptr);
}

void freshness::set_previous_view(const fleet_view& previous) {
  if (previous.version + 1 != view_.version) {
    return;
  }
  previous_view_ = previous;
  is_previous_known_ = true;
  groups_.set_view(is_flat() ? fleet_view{} : view_, &*previous_view_);
}

void freshness::set_applied(std::uint64_t revision, base::time_point now) {
  applied_ = std::max(applied_, revision);
  if (!view_revision_) {
    view_revision_ = applied_;
  }
  table_.set_applied(applied_);
  certificates_.set_applied(applied_);
  refresh(now);
}

void freshness::set_synced(base::time_point now) {
  if (!std::exchange(is_synced_, true) && hooks_.on_synced) {
    hooks_.on_synced();
  }
  refresh(now);
}

base::time_point freshness::fresh_until() const noexcept {
  if (!is_synced_ || !self_ || covered_at_ == never) {
    return never;
  }
  return covered_at_ + base::shorten_by_drift(settings_.lifetime);
}

bool freshness::is_fresh(base::time_point now) const noexcept {
  return now < fresh_until();
}

bool freshness::is_view_settled() const noexcept {
  return view_.version <= 1 || (view_revision_ && held_ >= *view_revision_);
}

void freshness::tick(base::time_point now) {
  while (!queries_.empty() && now - queries_.front().sent_at > query_lifetime) {
    queries_.pop_front();
    ++first_call_id_;
  }
  // Counting groups and confirming revisions costs too much to be done for each message.
  count_groups(now);
  refresh(now);
  refresh_held(now);
  if (now >= next_query_at_ && !view_.members.empty()) {
    // Up to an eighth of jitter keeps the instances from querying in step.
    const auto jitter = base::from_seconds(base::to_seconds(settings_.period) * rng_.unit() / 8);
    next_query_at_ = now + settings_.period - jitter;
    send_queries(now);
  }
}

void freshness::send_queries(base::time_point now) {
  ++round_;
  if (is_flat()) {
    query_flat(now);
  } else {
    query_by_group(now);
  }
}

void freshness::query_flat(base::time_point now) {
  const auto wanted = std::min(settings_.fan_out, view_.members.size() - (self_ ? 1 : 0));
  std::size_t sent = 0;
  for (std::size_t tries = 0; sent < wanted && tries < 2 * view_.members.size(); ++tries) {
    if (order_.empty()) {
      for (std::uint32_t i = 0; i < view_.members.size(); ++i) {
        order_.push_back(i);
        std::swap(order_.back(), order_[rng_.below(order_.size())]);
      }
    }
    const auto member = order_.back();
    order_.pop_back();
    if (member == self_ || (!view_.members[member].is_active && round_ % inactive_rounds != 0)) {
      continue;
    }
    query(member, now);
    ++sent;
  }
}

void freshness::query_by_group(base::time_point now) {
  const auto& groups = groups_.groups();
  if (!self_ || !groups.is_aggregator(*self_)) {
    // When the own group's aggregators bring nothing new, those of other groups serve as well.
    const bool is_late =
        covered_at_ == never || now - covered_at_ > late_periods * settings_.period;
    const auto own = self_ ? groups.group_of(*self_) : rng_.below(groups.count());
    const auto group = is_late && round_ % 2 == 0 ? rng_.below(groups.count()) : own;
    const auto& aggregators = groups.aggregators(group);
    if (!aggregators.empty()) {
      query(aggregators[round_ % aggregators.size()], now);
    }
    return;
  }
  const auto own = groups.group_of(*self_);
  groups_.take_snapshot(own, table_, now);
  for (const auto member : groups.members(own)) {
    if (member != *self_) {
      query(member, now);
    }
  }
  for (std::size_t group = 0; group < groups.count(); ++group) {
    const auto& aggregators = groups.aggregators(group);
    if (group != own && !aggregators.empty()) {
      query(aggregators[(round_ + *self_) % aggregators.size()], now);
    }
  }
}

void freshness::query(std::size_t member, base::time_point now) {
  freshness_query message;
  message.call_id = first_call_id_ + static_cast<std::uint32_t>(queries_.size());
  message.view_version = view_.version;
  message.revision = applied_;
  queries_.push_back({static_cast<std::uint32_t>(member), now});
  send_(view_.members[member].id, peer::message_kind::freshness_query, peer::pack(message));
}

void freshness::refresh(base::time_point now) {
  if (view_.members.empty()) {
    return;
  }
  if (is_synced_ && self_) {
    table_.add(*self_, {applied_, settings_.incarnation, now, now}, applied_);
    held_counter_.set_self(*self_, applied_);
  }
  if (is_flat()) {
    covered_at_ = std::max(covered_at_, table_.covered_by(view_.majority()));
  }
  covered_at_ = std::max(covered_at_, certificates_.taken_at());
  // Samples taken since this process started cover everything that this instance was counted for
  // before it restarted.
  if (!is_synced_ && covered_at_ != never && covered_at_ >= settings_.started_at) {
    set_synced(now);
  }
}

void freshness::count_groups(base::time_point now) {
  if (is_flat() || !self_ || !groups_.groups().is_aggregator(*self_)) {
    return;
  }
  const auto own = groups_.groups().group_of(*self_);
  groups_.add(own, groups_.count(own, table_, now), now, now);
  if (const auto c = groups_.majority(view_.majority())) {
    certificates_.add(c->revision, c->taken_at, applied_);
  }
}

void freshness::refresh_held(base::time_point now) {
  const bool is_settled = is_view_settled();
  if (!is_settled && (!is_previous_known_ || !has_view_revision())) {
    return;
  }
  const auto* previous = !is_settled && previous_view_ ? &*previous_view_ : nullptr;
  if (!is_flat()) {
    const auto needed_old = previous != nullptr ? previous->majority() : 0;
    // A later revision may belong to a later view, which has other majorities.
    raise_held(std::min(groups_.held(view_.majority(), needed_old), applied_));
    return;
  }
  const auto is_quorum = [&](const std::function<bool(std::size_t)>& is_counted) {
    std::size_t n = 0;
    std::size_t n_old = 0;
    for (std::size_t i = 0; i < view_.members.size(); ++i) {
      if (is_counted(i)) {
        ++n;
        n_old += previous != nullptr && previous->find(view_.members[i].id) != nullptr ? 1 : 0;
      }
    }
    return n >= view_.majority() && (previous == nullptr || n_old >= previous->majority());
  };
  if (held_counter_.update(is_quorum, applied_, now)) {
    raise_held(held_counter_.held());
  }
}

void freshness::raise_held(std::uint64_t revision) {
  if (revision <= held_) {
    return;
  }
  held_ = revision;
  if (hooks_.on_held) {
    hooks_.on_held(revision);
  }
}

} // namespace kingcupshunt::membership
