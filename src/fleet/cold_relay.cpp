#include "kingcupshunt/fleet/cold_relay.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::fleet {

namespace {

/// An entry counts this long after it was last heard from. A relay that a partition cuts off from
/// the majority takes itself for connected for an election timeout plus 2.5 s; until then, the
/// relays on the other side must not issue its part.
constexpr base::seconds entry_retention{10};
/// An entry that does not report for this long gets no permits. Entries report each second.
constexpr base::milliseconds report_timeout{2500};
/// An entry's requests for a service count this long: as long as a report, plus the interval of the
/// full reports that state them. While the part of an entry that has left is issued, the entry must
/// remain among its recipients, as its new relay issues the part as well.
constexpr base::milliseconds wanted_timeout{3500};
/// A control instance that starts, or was paused or isolated, hears from all entries within this
/// time, by whose number it divides: they connect again after at most 2 s and ask each 0.5 s.
constexpr base::milliseconds start_delay{2500};
/// A smaller change of the end of a server's cold time is not sent on.
constexpr base::milliseconds news_tolerance{250};
/// Entries take a server for cold no longer than one warm-up after a note at second hand, so notes
/// of longer cold periods are repeated.
constexpr base::seconds repeat_interval{1};
constexpr std::uint32_t max_cold_ms = 600'000;

} // namespace

void cold_relay::note_entry(std::string_view id, std::string_view data_centre,
                            base::time_point now) {
  auto& e = entries_[std::string(id)];
  e.data_centre = data_centre;
  e.at = std::max(e.at, now);
}

bool cold_relay::note_cold(const cold_note& note, base::time_point now) {
  if (note.left_ms == 0 || !(note.per_second > 0)) {
    return false;
  }
  const auto until = now + base::milliseconds(std::min(note.left_ms, max_cold_ms));
  auto& s = servers_[note.server];
  const bool is_news = until > std::max(s.until, now) + news_tolerance;
  s.until = std::max(s.until, until);
  s.per_second = note.per_second;
  s.data_centre = note.data_centre;
  s.stated_at = now;
  permits_.set_limit(note.server, rates::cold_issue_rate(bound_, note.per_second), now);
  if (is_news) {
    news_.push_back(note.server);
    s.repeat_at = now + repeat_interval;
  }
  return is_news;
}

void cold_relay::on_report(std::string_view from, const load_report& report, base::time_point now) {
  if (report.stamp == 0) {
    return; // an earlier build, which uses no permits for cold servers
  }
  auto& last = reports_[std::string(from)];
  const bool is_first = last.since == base::time_point{} || now - last.at > report_timeout;
  last = {report.stamp, now, is_first ? now : last.since};
  for (const auto& note : report.cold) {
    if (note_cold(note, now)) {
      to_share_.push_back(note.server);
    }
    const auto it = servers_.find(note.server);
    if (it != servers_.end() && note.left_ms > 0) {
      it->second.reported_at = now;
    }
    if (it != servers_.end() && note.is_wanted) {
      it->second.wanted_by.insert_or_assign(std::string(from), now);
    } else if (it != servers_.end()) {
      it->second.wanted_by.erase(std::string(from));
    }
  }
}

void cold_relay::on_share(std::span<const cold_note> notes, base::time_point now) {
  for (const auto& note : notes) {
    note_cold(note, now);
  }
}

/// Repeats what is left of the cold time of servers whose last reports are recent. Notes of other
/// relays are passed on to entries only, so that none goes round between relays.
void cold_relay::repeat_notes(base::time_point now) {
  for (auto& [id, s] : servers_) {
    if (now < s.repeat_at || now - s.stated_at > report_timeout) {
      continue;
    }
    s.repeat_at = now + repeat_interval;
    news_.push_back(id);
    if (now - s.reported_at <= report_timeout) {
      to_share_.push_back(id);
    }
  }
}

void cold_relay::expire(base::time_point now) {
  std::erase_if(servers_, [&](const auto& item) {
    const bool is_over = now >= item.second.until;
    if (is_over) {
      permits_.set_limit(item.first, std::nullopt, now);
    }
    return is_over;
  });
  for (auto& [id, s] : servers_) {
    std::erase_if(s.wanted_by,
                  [&](const auto& item) { return now - item.second > wanted_timeout; });
  }
  std::erase_if(reports_, [&](const auto& item) { return now - item.second.at > report_timeout; });
  std::erase_if(entries_, [&](const auto& item) { return now - item.second.at > entry_retention; });
}

/// The entries that have requests for the service get the permits, all that report when none has
/// said so. An entry that began to report here lately counts for its own requests only: its former
/// relay still issues its part to others. Where each data centre has a relay, a server's permits go
/// to the entries of its own.
rates::permit_recipients cold_relay::recipients_of(std::string_view server,
                                                   base::time_point now) const {
  const auto& s = servers_.find(server)->second;
  const bool is_local = entries_.size() > max_single_relay_entries &&
                        std::ranges::any_of(entries_, [&](const auto& item) {
                          return item.second.data_centre == s.data_centre;
                        });
  std::size_t running = 0;
  std::size_t counted = 0;
  std::vector<std::string> reporting;
  std::vector<std::string> wanting;
  for (const auto& [id, e] : entries_) {
    if (is_local && e.data_centre != s.data_centre) {
      continue;
    }
    ++running;
    const auto report = reports_.find(id);
    if (report == reports_.end()) {
      continue;
    }
    const bool is_wanting = s.wanted_by.contains(id);
    const bool is_settled = now - report->second.since >= report_timeout;
    if (is_settled) {
      reporting.push_back(id);
    }
    if (is_wanting) {
      wanting.push_back(id);
    }
    counted += is_settled || is_wanting ? 1 : 0;
  }
  const double share =
      running == 0 ? 0 : static_cast<double>(counted) / static_cast<double>(running);
  return {wanting.empty() ? std::move(reporting) : std::move(wanting), share};
}

std::map<std::string, permit_grant> cold_relay::issue(bool has_majority, base::time_point now) {
  // After a loss of the majority or a pause, entries that still run may have been forgotten.
  if (!has_majority || !called_at_ || now - *called_at_ > report_timeout) {
    issue_from_ = now + start_delay;
  }
  called_at_ = now;
  expire(now);
  repeat_notes(now);
  std::map<std::string, permit_grant> out;
  if (servers_.empty()) {
    return out;
  }
  const bool may_issue = now >= issue_from_;
  const auto recipients = [&](std::string_view server) {
    return may_issue ? recipients_of(server, now) : rates::permit_recipients{};
  };
  for (auto& p : permits_.issue(recipients, now)) {
    auto& grant = out[p.recipient];
    const auto& report = reports_.find(p.recipient)->second;
    grant.stamp = report.stamp;
    grant.age_ms = static_cast<std::uint32_t>(base::to_ms(base::shorten_by_drift(now - report.at)));
    const auto same = std::ranges::find(grant.cold, p.server, &server_permits::server);
    if (same != grant.cold.end()) {
      same->permits += p.permits;
    } else {
      grant.cold.push_back({std::move(p.server), p.permits});
    }
  }
  return out;
}

cold_note cold_relay::to_note(std::string_view id, const cold_server& s, base::time_point now) {
  const auto left = std::max<std::int64_t>(base::to_ms(s.until - now), 0);
  return {std::string(id), static_cast<std::uint32_t>(left), s.per_second, s.data_centre, false};
}

std::vector<cold_note> cold_relay::notes(base::time_point now) const {
  std::vector<cold_note> out;
  for (const auto& [id, s] : servers_) {
    if (now < s.until) {
      out.push_back(to_note(id, s, now));
    }
  }
  return out;
}

std::vector<cold_note> cold_relay::take(std::vector<std::string>& ids, base::time_point now) const {
  std::vector<cold_note> out;
  for (const auto& id : std::exchange(ids, {})) {
    const auto it = servers_.find(id);
    if (it != servers_.end() && now < it->second.until) {
      out.push_back(to_note(id, it->second, now));
    }
  }
  return out;
}

std::vector<cold_note> cold_relay::take_news(base::time_point now) {
  return take(news_, now);
}

std::vector<cold_note> cold_relay::take_share(base::time_point now) {
  return take(to_share_, now);
}

} // namespace kingcupshunt::fleet
