#include "kingcupshunt/membership/freshness.h"

#include <algorithm>

#include "kingcupshunt/membership/wire_age.h"

namespace kingcupshunt::membership {

void freshness::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                        base::time_point now) {
  const auto index = index_of(from);
  if (!index) {
    ++counters_.unknown_senders;
    return;
  }
  if (kind == peer::message_kind::freshness_query) {
    if (const auto message = peer::unpack<freshness_query>(body)) {
      receive_query(from, *message, now);
      return;
    }
  } else if (kind == peer::message_kind::freshness_answer) {
    if (const auto message = peer::unpack<freshness_answer>(body)) {
      receive_answer(*index, *message, now);
      return;
    }
  }
  ++counters_.malformed;
}

void freshness::receive_query(std::string_view from, const freshness_query& message,
                              base::time_point now) {
  refresh(now);
  note_peer_revision(from, message.revision);
  freshness_answer out;
  out.call_id = message.call_id;
  out.view_version = view_.version;
  out.revision = applied_;
  out.is_synced = is_synced_;
  out.incarnation = settings_.incarnation;
  out.held = held_;
  out.majority_age = age_rounded_up(covered_at_, now);
  const bool is_same_view = message.view_version == view_.version;
  if (is_flat()) {
    fill_samples(out, is_same_view, now);
  } else if (is_same_view && self_ && groups_.groups().is_aggregator(*self_)) {
    const auto sender = index_of(from);
    const auto own = groups_.groups().group_of(*self_);
    if (sender && groups_.groups().is_aggregator(*sender) &&
        groups_.groups().group_of(*sender) != own) {
      out.aggregates.push_back(groups_.count(own, table_, now));
    }
  }
  send_(from, peer::message_kind::freshness_answer, peer::pack(out));
}

void freshness::fill_samples(freshness_answer& out, bool is_same_view, base::time_point now) const {
  const auto is_sent = [&](std::size_t i) {
    const auto& sample = table_.at(i).newest;
    return i != self_ && sample.taken_at != never && age_rounded_up(sample.taken_at, now) >= 0 &&
           now - sample.taken_at < settings_.lifetime;
  };
  for (std::size_t i = 0; i < table_.size(); ++i) {
    if (is_sent(i)) {
      out.greatest = std::max(out.greatest, table_.at(i).newest.revision);
    }
  }
  relayed_samples samples;
  for (std::size_t i = 0; i < table_.size(); ++i) {
    const auto& sample = table_.at(i).newest;
    if (is_sent(i)) {
      samples.ages.push_back(age_rounded_up(sample.taken_at, now));
      samples.lags.push_back(out.greatest - sample.revision);
      samples.incarnations.push_back(sample.incarnation);
    } else if (is_same_view) {
      samples.ages.push_back(-1);
      samples.lags.push_back(0);
      samples.incarnations.push_back(0);
      continue;
    } else {
      continue;
    }
    if (!is_same_view) {
      samples.ids.push_back(view_.members[i].id);
    }
  }
  out.samples.push_back(std::move(samples));
}

void freshness::receive_answer(std::size_t from, const freshness_answer& message,
                               base::time_point now) {
  const auto at = message.call_id - first_call_id_; // wraps to a great value for older ids
  if (at >= queries_.size() || queries_[at].member != from) {
    ++counters_.unexpected;
    return;
  }
  const auto sent_at = queries_[at].sent_at;
  if (message.is_synced) {
    add_sample(from, {message.revision, message.incarnation, sent_at, now});
  }
  for (const auto& samples : message.samples) {
    add_relayed(samples, message, sent_at, now);
  }
  if (message.view_version == view_.version) {
    if (message.majority_age >= 0 && message.majority_age <= max_age_units) {
      certificates_.add(message.revision, earliest_time(sent_at, message.majority_age), applied_);
    }
    if (!is_flat() && !message.aggregates.empty()) {
      groups_.add(groups_.groups().group_of(from), message.aggregates.front(), sent_at, now);
    }
  }
  raise_held(message.held);
  refresh(now);
  note_peer_revision(view_.members[from].id, message.revision);
}

void freshness::add_relayed(const relayed_samples& samples, const freshness_answer& message,
                            base::time_point sent_at, base::time_point now) {
  const auto n = samples.ages.size();
  const bool has_ids = !samples.ids.empty();
  const bool is_sound =
      samples.lags.size() == n && samples.incarnations.size() == n &&
      (has_ids ? samples.ids.size() == n
               : n == 0 || (message.view_version == view_.version && n == view_.members.size()));
  if (!is_sound) {
    ++counters_.malformed;
    return;
  }
  for (std::size_t i = 0; i < n; ++i) {
    const auto member = has_ids ? index_of(samples.ids[i]) : std::optional(i);
    if (!member || member == self_ || samples.ages[i] < 0 || samples.ages[i] > max_age_units ||
        samples.lags[i] > message.greatest) {
      continue;
    }
    add_sample(*member, {message.greatest - samples.lags[i], samples.incarnations[i],
                         earliest_time(sent_at, samples.ages[i]), now});
  }
}

void freshness::add_sample(std::size_t member, const revision_sample& sample) {
  greatest_heard_ = std::max(greatest_heard_, sample.revision);
  table_.add(member, sample, applied_);
  held_counter_.add(member, sample);
}

void freshness::note_peer_revision(std::string_view peer, std::uint64_t revision) {
  if (revision > applied_ && hooks_.on_behind) {
    hooks_.on_behind(peer, revision);
  }
}

} // namespace kingcupshunt::membership
