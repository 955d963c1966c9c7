#include "kingcupshunt/balance/limit_exchange.h"

#include <utility>

#include "kingcupshunt/peer/handle.h"

namespace kingcupshunt::balance {

using peer::message_kind;

namespace {

constexpr base::seconds renew_interval{1};
constexpr base::milliseconds report_lifetime{2500}; // two renewals may be lost

} // namespace

limit_exchange::limit_exchange(std::string self, limit_exchange_hooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks)) {}

void limit_exchange::set_view(const membership::fleet_view& view, base::time_point now) {
  if (!owners_.set_view(view)) {
    return;
  }
  std::erase_if(issued_, [&](const auto& item) {
    const bool is_moved = owners_.pick(item.first) != self_;
    if (is_moved) {
      issuer_.set_limit(item.first, std::nullopt, now);
    }
    return is_moved;
  });
  renew_at_ = now; // reports to the new issuers
}

void limit_exchange::send_note(std::string_view to, const fleet::limit_note& note) {
  hooks_.send(to, message_kind::limit_report, peer::pack(fleet::limit_report{{note}}));
}

void limit_exchange::observe(const fleet::limit_note& note) {
  if (note.is_limited) {
    observed_.insert_or_assign(note.server, note);
  } else {
    observed_.erase(note.server);
  }
  if (const auto issuer = owners_.pick(note.server); !issuer.empty()) {
    send_note(issuer, note);
  }
}

/// A report to the issuer of a server, or its notice that the limit of a server has ended.
void limit_exchange::on_report(std::string_view from, const fleet::limit_report& report,
                               base::time_point now) {
  for (const auto& note : report.limits) {
    const auto issuer = owners_.pick(note.server);
    if (issuer != self_) {
      const bool is_ended = from == issuer && !note.is_limited;
      if (is_ended && observed_.erase(note.server) > 0) {
        hooks_.on_limit(note);
      }
      continue;
    }
    if (note.is_limited) {
      issuer_.set_limit(note.server, note.per_second, now);
      issued_[note.server].reported_at[std::string(from)] = now;
      continue;
    }
    issuer_.set_limit(note.server, std::nullopt, now);
    const auto recipients = issued_.extract(note.server);
    if (recipients.empty()) {
      continue;
    }
    for (const auto& [id, at] : recipients.mapped().reported_at) {
      if (id == self_ && observed_.erase(note.server) > 0) {
        hooks_.on_limit(note);
      } else if (id != self_ && id != from) {
        send_note(id, note);
      }
    }
  }
}

void limit_exchange::receive(std::string_view from, message_kind kind, std::string_view body,
                             base::time_point now) {
  if (kind == message_kind::limit_report) {
    peer::handle<fleet::limit_report>(body, [&](const auto& m) { on_report(from, m, now); });
  } else if (kind == message_kind::permit_grant) {
    peer::handle<fleet::permit_grant>(body, [&](const auto& m) { hooks_.on_permits(m, now); });
  }
}

void limit_exchange::tick(base::time_point now) {
  if (now >= renew_at_) {
    renew_at_ = now + renew_interval;
    for (const auto& [server, note] : observed_) {
      if (const auto issuer = owners_.pick(server); !issuer.empty()) {
        send_note(issuer, note);
      }
    }
  }
  for (auto it = issued_.begin(); it != issued_.end();) {
    auto& reported_at = it->second.reported_at;
    std::erase_if(reported_at, [&](const auto& r) { return now - r.second > report_lifetime; });
    if (reported_at.empty()) {
      issuer_.set_limit(it->first, std::nullopt, now);
      it = issued_.erase(it);
    } else {
      ++it;
    }
  }
  const auto recipients_of = [&](std::string_view server) {
    rates::permit_recipients out;
    for (const auto& [id, at] : issued_.find(server)->second.reported_at) {
      out.ids.push_back(id);
    }
    return out;
  };
  std::map<std::string, fleet::permit_grant> grants;
  for (auto& p : issuer_.issue(recipients_of, now)) {
    grants[p.recipient].permits.push_back({std::move(p.server), p.permits});
  }
  for (const auto& [to, grant] : grants) {
    hooks_.send(to, message_kind::permit_grant, peer::pack(grant));
  }
}

} // namespace kingcupshunt::balance
