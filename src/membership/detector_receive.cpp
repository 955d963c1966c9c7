#include "kingcupshunt/membership/detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupshunt::membership {

namespace {

// A member serves at most this many probes for others at a time.
constexpr std::size_t max_forwarded = 256;

// Each instance passes on an update this many times for each log10(n). With 10 for all of them the
// news of 1,000 members that start together lasted for 17 minutes; with 4 for refutations members
// failed under a loss of 10 %.
constexpr double sends_per_decade = 4.0;
constexpr double urgent_sends_per_decade = 12.0;

} // namespace

const char* name_of(member_status status) noexcept {
  switch (status) {
  case member_status::alive:
    return "alive";
  case member_status::suspect:
    return "suspect";
  case member_status::failed:
    return "failed";
  case member_status::left:
    return "left";
  case member_status::damped:
    return "damped";
  }
  return "unknown";
}

std::vector<member_update> detector::updates_for(std::string_view to) {
  const auto decades = std::log10(static_cast<double>(view_.members.size() + 1));
  const send_limits limits = {
      .ordinary = static_cast<std::size_t>(std::ceil(sends_per_decade * decades)),
      .urgent = static_cast<std::size_t>(std::ceil(urgent_sends_per_decade * decades))};
  const auto index = index_of(to);
  if (!index || records_[*index].state == member_state::alive) {
    return queue_.take(settings_.updates_per_message, limits);
  }
  // A member that is not held to be alive is told so first, and can refute it.
  const auto& r = records_[*index];
  std::vector<member_update> out = {
      {std::string(to), static_cast<std::uint8_t>(r.state), r.incarnation}};
  for (auto& update : queue_.take(settings_.updates_per_message - 1, limits)) {
    out.push_back(std::move(update));
  }
  return out;
}

template <class Message>
void detector::send(std::string_view to, peer::message_kind kind, const Message& message) {
  auto copy = message;
  copy.updates = updates_for(to);
  send_(to, kind, peer::pack(copy));
}

template void detector::send(std::string_view, peer::message_kind, const probe_message&);
template void detector::send(std::string_view, peer::message_kind, const probe_ack_message&);
template void detector::send(std::string_view, peer::message_kind, const probe_request_message&);

void detector::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                       base::time_point now) {
  const auto index = index_of(from);
  if (!index || index == self_) {
    ++counters_.unknown_senders;
    return;
  }
  if (kind == peer::message_kind::membership_probe) {
    if (const auto message = peer::unpack<probe_message>(body)) {
      receive_probe(*index, *message, now);
      return;
    }
  } else if (kind == peer::message_kind::membership_probe_ack) {
    if (const auto message = peer::unpack<probe_ack_message>(body)) {
      receive_ack(*index, *message, now);
      return;
    }
  } else if (kind == peer::message_kind::membership_probe_request) {
    if (const auto message = peer::unpack<probe_request_message>(body)) {
      receive_request(*index, *message, now);
      return;
    }
  }
  ++counters_.malformed;
}

void detector::receive_probe(std::size_t from, const probe_message& message, base::time_point now) {
  hear_from(from, message.incarnation, now);
  apply_all(message.updates, now);
  probe_ack_message ack;
  ack.sequence = message.sequence;
  ack.incarnation = incarnation_;
  if (message.origin.empty()) {
    records_[from].last_probe_sequence = message.sequence;
  } else if (const auto origin = index_of(message.origin)) {
    ack.has_heard_origin = records_[*origin].last_probe_sequence == message.origin_sequence;
  }
  send(view_.members[from].id, peer::message_kind::membership_probe_ack, ack);
}

void detector::receive_request(std::size_t from, const probe_request_message& message,
                               base::time_point now) {
  hear_from(from, message.incarnation, now);
  apply_all(message.updates, now);
  const auto target = index_of(message.target);
  if (!target || target == self_ || forwarded_.size() >= max_forwarded) {
    return;
  }
  probe_message probe;
  probe.sequence = ++sequence_;
  probe.incarnation = incarnation_;
  probe.origin = view_.members[from].id;
  probe.origin_sequence = message.sequence;
  forwarded_.push_back({probe.sequence, message.sequence, probe.origin, message.target, now});
  send(message.target, peer::message_kind::membership_probe, probe);
}

void detector::receive_ack(std::size_t from, const probe_ack_message& message,
                           base::time_point now) {
  apply_all(message.updates, now);
  if (!message.target.empty()) { // forwarded to this instance by a helper
    const auto target = index_of(message.target);
    if (target && target != self_ && message.incarnation > records_[*target].incarnation) {
      apply({message.target, static_cast<std::uint8_t>(member_state::alive), message.incarnation},
            now);
    }
    if (target && round_ && round_->sequence == message.sequence && round_->target == *target) {
      round_->is_indirect_answered = true;
      round_->has_heard_origin = round_->has_heard_origin || message.has_heard_origin;
    }
    return;
  }
  hear_from(from, message.incarnation, now);
  if (round_ && round_->sequence == message.sequence && round_->target == from) {
    round_->is_direct_answered = true;
    return;
  }
  const auto it = std::ranges::find(forwarded_, message.sequence, &forwarded_probe::sequence);
  if (it == forwarded_.end() || it->target != view_.members[from].id) {
    return;
  }
  probe_ack_message out;
  out.sequence = it->origin_sequence;
  out.incarnation = message.incarnation;
  out.target = it->target;
  out.has_heard_origin = message.has_heard_origin;
  const auto origin = it->origin;
  forwarded_.erase(it);
  send(origin, peer::message_kind::membership_probe_ack, out);
}

void detector::hear_from(std::size_t member, std::uint64_t incarnation, base::time_point now) {
  records_[member].heard_at = now;
  // The same incarnation of a suspect or failed member must refute first; updates_for tells it.
  if (incarnation > records_[member].incarnation) {
    apply({view_.members[member].id, static_cast<std::uint8_t>(member_state::alive), incarnation},
          now);
  }
}

void detector::apply_all(const std::vector<member_update>& updates, base::time_point now) {
  for (const auto& update : updates) {
    apply(update, now);
  }
}

void detector::apply(const member_update& update, base::time_point now) {
  if (update.state > static_cast<std::uint8_t>(member_state::left)) {
    ++counters_.malformed;
    return;
  }
  const auto state = static_cast<member_state>(update.state);
  if (update.id == settings_.self_id) {
    if (update.incarnation >= incarnation_ && state != member_state::alive) {
      refute(update);
    }
    return;
  }
  const auto index = index_of(update.id);
  if (!index) {
    return;
  }
  const auto& r = records_[*index];
  const bool is_newer = update.incarnation > r.incarnation;
  if (is_newer || (update.incarnation == r.incarnation && state > r.state)) {
    set_state(*index, state, update.incarnation, now);
  } else if (update.incarnation < r.incarnation && state != member_state::alive) {
    // The sender accuses an incarnation that is over, or knows none. It learns the present one
    // from the next message and probes again.
    queue_.add({update.id, static_cast<std::uint8_t>(r.state), r.incarnation}, true);
  }
}

void detector::refute(const member_update& update) {
  if (is_leaving_ && update.incarnation == incarnation_) {
    return; // the others hold this instance to have left or failed, and both end the same way
  }
  ++counters_.refutations;
  incarnation_ = update.incarnation + 1;
  has_urgent_news_ = true;
  announce_self();
}

void detector::set_state(std::size_t member, member_state state, std::uint64_t incarnation,
                         base::time_point now) {
  auto& r = records_[member];
  const auto former = r.state;
  const bool has_restarted = is_restart(r.incarnation, incarnation);
  r.state = state;
  r.incarnation = incarnation;
  if (state == member_state::suspect) {
    const auto n = std::max<double>(10.0, static_cast<double>(view_.members.size()));
    const auto length =
        base::to_seconds(settings_.period) * settings_.suspicion_periods * std::log10(n);
    has_suspects_ = true;
    r.suspect_since = now;
    r.suspect_until = now + base::from_seconds(length);
  }
  if (former == member_state::failed && state == member_state::alive) {
    r.damper.add_return(settings_.flapping, now);
    has_damped_ = has_damped_ || r.damper.is_damped();
  }
  // Also the first incarnation heard of a living member is passed on: without it a suspicion of
  // that member has no incarnation, and is ignored by those who know one.
  const bool is_urgent = state != member_state::alive || former != member_state::alive;
  has_urgent_news_ = has_urgent_news_ || is_urgent;
  queue_.add({view_.members[member].id, static_cast<std::uint8_t>(state), incarnation}, is_urgent);
  refresh_visible(member, has_restarted, now);
  if (state == member_state::suspect) {
    inform_suspect(member);
  }
}

void detector::refresh_visible(std::size_t member, bool has_restarted, base::time_point now) {
  auto& r = records_[member];
  const bool is_damped = r.damper.update(settings_.flapping, now);
  auto visible = static_cast<member_status>(r.state);
  if (is_damped && (visible == member_status::alive || visible == member_status::suspect)) {
    visible = member_status::damped;
  }
  if (visible == r.visible && !has_restarted) {
    return;
  }
  const auto from = std::exchange(r.visible, visible);
  if (hooks_.on_change) {
    hooks_.on_change({view_.members[member].id, from, visible, r.incarnation, has_restarted});
  }
}

} // namespace kingcupshunt::membership
