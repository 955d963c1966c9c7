#include "kingcupshunt/rates/client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupshunt::rates {

namespace {

// An entry without requests, tokens or asks is dropped after this time.
constexpr base::seconds entry_idle{5};
// Reports that nothing else carries are sent at most this often while tokens are plenty.
constexpr base::milliseconds report_interval{200};
// Longest list of ages in a report; older spends count as being as new as the oldest listed.
constexpr std::size_t max_ages = 16;

} // namespace

client::client(client_settings settings, client_hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)) {}

void client::set_view(const membership::fleet_view& view, base::time_point now) {
  if (!owners_.set_view(view)) {
    return;
  }
  for (auto& [workspace, e] : entries_) {
    const auto next = owners_.repick(workspace, e.owner);
    if (next != e.owner) {
      make_former(e);
      e.owner = std::string(next);
      e.pending.reset();
      e.timeouts = 0;
      e.last_refusal.reset();
      e.request_after = now;
      request_if_needed(workspace, e, now);
    }
  }
  flush();
}

client::entry& client::find_or_make(std::string_view workspace, base::time_point now) {
  const auto it = entries_.find(workspace);
  if (it != entries_.end()) {
    return it->second;
  }
  auto& e = entries_[std::string(workspace)];
  e.owner = std::string(owners_.pick(workspace));
  e.last_used = now;
  return e;
}

void client::make_former(entry& e) {
  for (const auto& l : e.batches) {
    e.former_batches.push_back(l);
  }
  e.batches.clear();
  e.held = 0;
  e.spends.clear();
  e.has_unreported = false;
}

void client::expire_batches(entry& e, base::time_point now) {
  while (!e.batches.empty() && e.batches.front().expires <= now) {
    e.held -= e.batches.front().tokens;
    e.batches.erase(e.batches.begin());
    e.has_unreported = true;
  }
  std::erase_if(e.former_batches, [&](const token_batch& l) { return l.expires <= now; });
}

bool client::spend(entry& e, base::time_point now) {
  expire_batches(e, now);
  if (!e.former_batches.empty()) {
    if (--e.former_batches.front().tokens == 0) {
      e.former_batches.erase(e.former_batches.begin());
    }
    return true;
  }
  if (e.batches.empty()) {
    return false;
  }
  if (--e.batches.front().tokens == 0) {
    e.batches.erase(e.batches.begin());
  }
  --e.held;
  ++e.spent;
  e.has_unreported = true;
  if (e.spends.size() == max_ages) {
    e.spends.erase(e.spends.begin());
  }
  e.spends.push_back(now);
  return true;
}

std::uint32_t client::target(const entry& e, base::time_point now) const {
  const double per_second = e.demand.rate(now);
  return static_cast<std::uint32_t>(std::lround(per_second * base::to_seconds(settings_.prefetch)));
}

void client::acquire(std::string_view workspace, base::time_point now, base::time_point deadline,
                     done_function done) {
  if (owners_.active().empty()) {
    return done(rate_refusal{refusal_reason::unknown_workspace, std::nullopt});
  }
  const auto found = entries_.find(workspace);
  if (found == entries_.end()) {
    find_or_make(workspace, now);
  }
  const auto it = entries_.find(workspace);
  auto& e = it->second;
  e.demand.add(1, now);
  e.last_used = now;
  if (e.waiters.empty() && spend(e, now)) {
    completions_.emplace_back(std::move(done), base::success());
  } else if (const auto refusal = immediate_refusal(e, now)) {
    completions_.emplace_back(std::move(done), *refusal);
    note_refusal(it->first, e, *refusal, now);
  } else {
    if (e.waiters.empty()) {
      waiting_.push_back(&e);
    }
    e.waiters.push_back({std::min(deadline, now + settings_.max_wait), std::move(done)});
  }
  request_if_needed(it->first, e, now);
  flush();
}

void client::request_if_needed(const std::string& workspace, entry& e, base::time_point now) {
  if (e.pending || e.owner.empty()) {
    return;
  }
  const auto urgent = static_cast<std::uint32_t>(e.waiters.size());
  const auto wanted = target(e, now);
  const bool is_paused = now < e.request_after;
  const bool is_low = e.held < (wanted + 1) / 2;
  if (is_paused && e.last_refusal) {
    return;
  }
  if (urgent > 0 || (is_low && !is_paused)) {
    const auto wanted_tokens = wanted > e.held && !is_paused ? wanted - e.held : 0;
    add_item(workspace, e, urgent, wanted_tokens, now);
  } else if (e.is_scarce && e.has_unreported) {
    add_item(workspace, e, 0, 0, now);
  }
}

void client::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                     base::time_point now) {
  if (kind != peer::message_kind::rate_grant) {
    return;
  }
  const auto frame = peer::unpack<grant>(body);
  if (!frame) {
    return count("rates_malformed");
  }
  if (frame->incarnation != settings_.incarnation) {
    return count("rates_stale_grants");
  }
  auto& term = terms_[std::string(from)];
  if (term != frame->term) {
    // The owner has started again and knows nothing of the tokens of its former process.
    for (auto& [workspace, e] : entries_) {
      if (e.owner == from) {
        make_former(e);
      }
    }
    term = frame->term;
  }
  for (const auto& item : frame->items) {
    handle(from, item, now);
  }
  flush();
}

void client::handle(std::string_view from, const grant_item& item, base::time_point now) {
  const auto it = entries_.find(item.workspace);
  if (it == entries_.end() || it->second.owner != from) {
    return;
  }
  auto& e = it->second;
  if (item.status == static_cast<std::uint8_t>(grant_status::recall)) {
    handle_recall(it->first, e, now);
  } else if (e.pending && e.pending->seq == item.seq) {
    handle_answer(it->first, e, item, now);
  } else {
    count("rates_stale_grants");
  }
}

void client::drop_tokens(entry& e, std::uint32_t n) {
  // The oldest go first: owners assume that an instance keeps the tokens that expire last.
  e.has_unreported = e.has_unreported || n > 0;
  e.held -= n;
  while (n > 0) {
    const auto part = std::min(n, e.batches.front().tokens);
    e.batches.front().tokens -= part;
    n -= part;
    if (e.batches.front().tokens == 0) {
      e.batches.erase(e.batches.begin());
    }
  }
}

void client::serve_waiters(entry& e, base::time_point now) {
  std::size_t served = 0;
  while (served < e.waiters.size() && spend(e, now)) {
    completions_.emplace_back(std::move(e.waiters[served++].done), base::success());
  }
  e.waiters.erase(e.waiters.begin(), e.waiters.begin() + static_cast<std::ptrdiff_t>(served));
}

void client::tick(base::time_point now) {
  for (auto& [workspace, e] : entries_) {
    tick_entry(workspace, e, now);
  }
  drop_served();
  std::erase_if(entries_, [&](const auto& item) {
    const auto& e = item.second;
    return e.waiters.empty() && !e.pending && e.held == 0 && e.former_batches.empty() &&
           !e.has_unreported && now - e.last_used > entry_idle;
  });
  flush();
}

void client::drop_served() {
  std::erase_if(waiting_, [](const entry* e) { return e->waiters.empty(); });
}

void client::tick_entry(const std::string& workspace, entry& e, base::time_point now) {
  expire_batches(e, now);
  std::size_t kept = 0;
  for (std::size_t i = 0; i < e.waiters.size(); ++i) {
    if (e.waiters[i].until <= now) {
      const auto refusal = make_refusal(e, now);
      completions_.emplace_back(std::move(e.waiters[i].done), refusal);
      note_refusal(workspace, e, refusal, now);
    } else if (kept++ != i) {
      e.waiters[kept - 1] = std::move(e.waiters[i]);
    }
  }
  e.waiters.resize(kept);
  if (e.pending && e.pending->resend <= now) {
    if (!e.pending->is_queued) {
      ++e.timeouts;
    }
    e.pending.reset();
  }
  return_idle(e, now);
  request_if_needed(workspace, e, now);
  if (e.pending || !e.has_unreported || e.owner.empty()) {
    return;
  }
  if (e.is_plentiful && e.held == 0) {
    // The owner has many tokens left and takes unreported ones for spent when they expire.
    if (now - e.last_report >= token_lifetime) {
      e.has_unreported = false;
    }
  } else if (e.is_scarce || now - e.last_report >= report_interval) {
    add_item(workspace, e, 0, 0, now);
  }
}

void client::return_idle(entry& e, base::time_point now) const {
  if (e.held == 0) {
    return;
  }
  if (now - e.last_used >= settings_.return_after) {
    drop_tokens(e, e.held);
    return;
  }
  const auto keep = 2 * target(e, now) + 1;
  if (e.held > keep) {
    drop_tokens(e, e.held - keep);
  }
}

std::optional<base::time_point> client::next_due() const {
  std::optional<base::time_point> due;
  const auto take = [&](base::time_point at) { due = due ? std::min(*due, at) : at; };
  for (const auto* e : waiting_) {
    for (const auto& w : e->waiters) {
      take(w.until);
    }
    if (!e->waiters.empty()) {
      take(e->pending ? e->pending->resend : e->request_after);
    }
  }
  return due;
}

void client::flush() {
  drop_served();
  // Sending to this instance itself and the callers' functions may call back into this object.
  auto out = std::exchange(out_, {});
  for (const auto& [to, frame] : out) {
    hooks_.send(to, peer::message_kind::rate_ask, peer::pack(frame));
  }
  auto completions = std::exchange(completions_, {});
  for (auto& [done, outcome] : completions) {
    done(outcome);
  }
}

void client::count(std::string_view name, std::uint64_t n) {
  if (hooks_.on_count) {
    hooks_.on_count(name, n);
  }
}

} // namespace kingcupshunt::rates
