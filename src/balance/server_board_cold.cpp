// Servers that are cold, whose service states a rate for cold servers. Each request to one of them
// needs a permit, which the relay issues.

#include <algorithm>
#include <limits>
#include <utility>

#include "kingcupshunt/balance/server_board.h"

namespace kingcupshunt::balance {

namespace {

constexpr std::uint32_t wrong_instance_status = 421;
/// Requests for a service this long ago still show that this instance uses its servers. Longer than
/// the interval of full reports.
constexpr base::seconds wanted_time{2};
/// Statements of one cold period differ by the time that they take to arrive.
constexpr base::milliseconds news_tolerance{250};
/// A note at second hand counts for at least this long, more than the interval of its repetition.
constexpr base::milliseconds min_second_hand{2500};
/// Requests without a relay are counted for as long as the permits' bound assumes.
constexpr base::duration unrelayed_window = base::seconds(1) + rates::cold_send_delay;

} // namespace

void server_board::set_cold_terms(std::map<std::string, cold_terms, std::less<>> terms,
                                  base::time_point now) {
  cold_terms_ = std::move(terms);
  for (auto& [id, s] : servers_) {
    update_cold(s, now);
  }
}

const cold_terms* server_board::cold_terms_of(const server& s) const {
  const auto it = cold_terms_.find(s.record.service);
  return it == cold_terms_.end() ? nullptr : &it->second;
}

/// Brings the limit of a server's cold permits up to date.
void server_board::update_cold(server& s, base::time_point now) {
  const auto* terms = now < s.cold.until ? cold_terms_of(s) : nullptr;
  const auto before = s.cold.permits.limit();
  const auto sent = s.cold.permits.sent();
  const auto limit = terms != nullptr ? std::optional(terms->per_second) : std::nullopt;
  if (!s.cold.permits.set_limit(limit) || before.has_value() == limit.has_value()) {
    return;
  }
  if (limit) {
    s.cold.is_news = true;
    has_cold_news_ = true;
  } else {
    s.cold.unrelayed.clear();
  }
  if (hooks_.on_cold) {
    const auto left = limit ? s.cold.until - now : base::duration{};
    hooks_.on_cold({s.record.id, s.record.service, limit.has_value(), left, limit ? 0 : sent});
  }
}

/// A statement that the server remains cold for `left`. It never shortens the time known, as
/// statements may arrive late and in any order.
void server_board::extend_cold(server& s, base::duration left, bool is_first_hand,
                               base::time_point now) {
  if (left <= base::duration{}) {
    return;
  }
  const auto until = now + left;
  const bool is_news = until > std::max(s.cold.until, now) + news_tolerance;
  // A note of the relay repeats what this instance reported, later by the time of both messages. If
  // that extended the time, reports and notes would extend each other.
  if (!is_first_hand && !is_news && s.cold.is_first_hand && now < s.cold.until) {
    return;
  }
  if (is_news) {
    s.cold.is_first_hand = is_first_hand;
    s.cold.is_news = s.cold.is_news || is_first_hand;
    has_cold_news_ = has_cold_news_ || (is_first_hand && cold_terms_of(s) != nullptr);
  }
  s.cold.is_first_hand = s.cold.is_first_hand || is_first_hand;
  s.cold.until = std::max(s.cold.until, until);
  s.cold.stated_at = now;
  update_cold(s, now);
}

/// Reads what an answer says. An answer to a request that was sent after all earlier statements had
/// arrived is later than these, so it may also shorten the time.
void server_board::note_cold_answer(server& s, const running& run, const health::attempt& a,
                                    base::time_point now) {
  const bool is_current = run.started_ms == s.record.started_ms;
  if (!a.cold_left || !is_current || a.status == wrong_instance_status) {
    return;
  }
  if (run.since > s.cold.stated_at && now + *a.cold_left < s.cold.until) {
    s.cold.until = now + *a.cold_left;
    s.cold.is_first_hand = true;
    update_cold(s, now);
    return;
  }
  extend_cold(s, *a.cold_left, true, now);
}

bool server_board::is_cold_limited(const server& s, base::time_point now) noexcept {
  return s.cold.permits.limit() && now < s.cold.until;
}

bool server_board::is_cold(std::string_view id, base::time_point now) const {
  const auto it = servers_.find(id);
  return it != servers_.end() && is_cold_limited(it->second, now);
}

std::size_t server_board::cold_servers(base::time_point now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      servers_, [&](const auto& item) { return is_cold_limited(item.second, now); }));
}

/// Requests that may be sent to a server now, as far as its being cold limits them.
std::uint32_t server_board::cold_starts(const server& s, base::time_point now) const {
  if (!is_cold_limited(s, now)) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const auto permitted = s.cold.permits.available(now);
  // Permits of the former relay may be in use until their lifetime has passed.
  const bool is_unrelayed =
      relay_lost_at_ && now - *relay_lost_at_ >= rates::cold_permit_lifetime + unrelayed_window;
  if (!is_unrelayed) {
    return permitted;
  }
  const auto share =
      rates::cold_share_without_relay(settings_.cold_bound, *s.cold.permits.limit(), most_entries_);
  const auto used = static_cast<std::uint32_t>(std::ranges::count_if(
      s.cold.unrelayed, [&](const auto at) { return now - at < unrelayed_window; }));
  return permitted + (share - std::min(share, used));
}

void server_board::take_cold(server& s, base::time_point now) {
  if (!is_cold_limited(s, now)) {
    return;
  }
  if (!s.cold.permits.may_send(now)) {
    std::erase_if(s.cold.unrelayed, [&](const auto at) { return now - at >= unrelayed_window; });
    s.cold.unrelayed.push_back(now);
  }
  s.cold.permits.take(now);
}

/// Returns a cold server that this instance holds a permit for, or null. The permit is of no use
/// later, and the relay has spread the permits evenly over the servers.
server_board::server* server_board::find_permitted_cold(const service_state& of,
                                                        const board_request& request,
                                                        base::time_point now) {
  server* best = nullptr;
  double best_cost = 0;
  for (auto* s : of.servers) {
    const bool is_candidate = is_cold_limited(*s, now) && s->cold.permits.may_send(now) &&
                              is_usable(*s, now) && !s->record.is_silent && !s->pause.holds(now) &&
                              s->permits.may_send(now) && unpaused_starts(*s, now) > 0 &&
                              in_flight(*s, now) < s->record.slots && !is_likely_faulty(*s, now);
    if (!is_candidate) {
      continue;
    }
    const double c = cost(*s, of, request.is_repeatable, now) + settings_.jitter * rng_.unit();
    if (best == nullptr || c < best_cost) {
      best = s;
      best_cost = c;
    }
  }
  return best;
}

void server_board::note_request(std::string_view service, base::time_point now) {
  if (const auto of = services_.find(service); of != services_.end()) {
    of->second.wanted_at = now;
  }
}

void server_board::set_relay(bool has_relay, std::uint32_t entries, base::time_point now) {
  most_entries_ = std::max(most_entries_, entries);
  if (has_relay) {
    had_relay_ = true;
    relay_lost_at_.reset();
  } else if (had_relay_ && !relay_lost_at_) {
    relay_lost_at_ = now;
  }
}

std::uint64_t server_board::stamp_of(base::time_point at) noexcept {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(base::to_ms(at.time_since_epoch()), 1));
}

void server_board::add_cold_report(fleet::load_report& report, base::time_point now,
                                   base::duration suspended) {
  if (cold_terms_.empty()) {
    return;
  }
  report.stamp = stamp_of(now + suspended);
  first_stamp_ = first_stamp_ == 0 ? report.stamp : first_stamp_;
  has_cold_news_ = false;
  for (auto& [id, s] : servers_) {
    const bool is_due = s.record.state == fleet::server_state::ready && is_cold_limited(s, now) &&
                        (report.is_full || s.cold.is_news);
    if (!is_due) {
      continue;
    }
    s.cold.is_news = false;
    const auto of = services_.find(s.record.service);
    const bool is_wanted = of != services_.end() && now - of->second.wanted_at < wanted_time;
    // What came from the relay is not sent back, so that no statement goes round in circles.
    const auto left = s.cold.is_first_hand ? base::to_ms(s.cold.until - now) : 0;
    report.cold.push_back({id, static_cast<std::uint32_t>(left), *s.cold.permits.limit(),
                           s.record.data_centre, is_wanted});
  }
}

void server_board::apply_cold(std::span<const fleet::cold_note> notes, base::time_point now) {
  for (const auto& note : notes) {
    const auto it = servers_.find(note.server);
    if (it == servers_.end()) {
      continue;
    }
    auto& s = it->second;
    // A late message must not make a server cold for long. The relay repeats the note once a second
    // while entries report the server first-hand.
    const auto* terms = cold_terms_of(s);
    const base::duration left = base::milliseconds(note.left_ms);
    const bool is_capped = terms != nullptr && terms->warmup > base::duration{};
    const base::duration longest =
        is_capped ? std::max<base::duration>(terms->warmup, min_second_hand) : base::duration{};
    extend_cold(s, is_capped ? std::min(left, longest) : left, false, now);
  }
}

std::uint32_t server_board::add_cold_permits(const fleet::permit_grant& grant, base::time_point now,
                                             base::duration suspended) {
  // The relay issued the permits `age_ms` after a report of this instance or later, so a lifetime
  // that starts there ends in time however late the message is, also if the machine was suspended
  // meanwhile.
  const bool is_own =
      first_stamp_ != 0 && grant.stamp >= first_stamp_ && grant.stamp <= stamp_of(now + suspended);
  const auto issued = is_own ? base::time_point(base::milliseconds(grant.stamp)) +
                                   base::milliseconds(grant.age_ms) - suspended
                             : base::time_point{};
  const auto expires = std::min(issued, now) + rates::cold_permit_lifetime;
  std::uint32_t late = 0;
  for (const auto& p : grant.cold) {
    const auto it = servers_.find(p.server);
    if (!is_own || expires <= now) {
      late += p.permits;
    } else if (it != servers_.end()) {
      it->second.cold.permits.add_until(p.permits, expires, now);
    }
  }
  return late;
}

} // namespace kingcupshunt::balance
