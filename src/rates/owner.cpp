#include "kingcupshunt/rates/owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupshunt::rates {

namespace {

// Retry time sent while this instance is not fresh; it may become fresh at any moment.
constexpr std::uint32_t not_fresh_retry_ms = 200;
// Retry time when the view of this instance names another owner; the views agree soon.
constexpr std::uint32_t not_owner_retry_ms = 50;
// Retry time for a workspace that has just moved, whose handover may arrive soon.
constexpr std::uint32_t handover_retry_ms = 10;
// Minimum interval of recalls to one holder.
constexpr base::milliseconds recall_interval{20};
// Minimum interval of serving queued requests together between messages.
constexpr base::milliseconds serve_interval{2};
// Time for which the bucket of a removed workspace is retained.
constexpr base::seconds removed_retention{3600};
// Below this share of the burst, tokens are scarce: spends are to be reported immediately.
constexpr double scarce_share = 0.05;
// With a burst below the accrual of this time, tokens are always scarce.
constexpr double scarce_burst_seconds = 0.02;

std::uint32_t to_retry_ms(double seconds) {
  return static_cast<std::uint32_t>(std::clamp(std::ceil(seconds * 1000.0), 1.0, 3'600'000.0));
}

bool is_scarce(const bucket& b) {
  const auto& l = b.limits();
  return b.level() < 1.0 + l.burst * scarce_share || l.burst < l.rate * scarce_burst_seconds;
}

// Unreported tokens count as outstanding for their lifetime, which reduces the usable burst by the
// number spent in that time. That is acceptable for a burst of at least two lifetimes' accrual.
bool is_plentiful(const bucket& b) {
  const auto& l = b.limits();
  const double per_lifetime = l.rate * base::to_seconds(token_lifetime);
  return l.burst >= 2 * per_lifetime && b.level() >= l.burst / 2;
}

// Seconds until `tokens` are free.
double seconds_until(const bucket& b, double tokens) {
  if (b.limits().rate <= 0) {
    return 3600;
  }
  return std::max(0.0, tokens - b.level()) / b.limits().rate;
}

using queued_shares =
    std::vector<std::pair<std::map<account_key, account>::iterator, std::uint32_t>>;

// Gives urgent requests up to `free` tokens, one in turn to each account that needs more, and sets
// `cursor` to the account that got the last one. Returns the number given. Counts whole rounds at
// once, since an instance may name any number of requests.
std::uint64_t share_urgent(queued_shares& shares, std::uint64_t free, account_key& cursor) {
  const auto given_in = [&](std::uint64_t rounds) {
    std::uint64_t n = 0;
    for (const auto& [it, tokens] : shares) {
      n += std::min<std::uint64_t>(it->second.queued->urgent, rounds);
    }
    return n;
  };
  std::uint64_t rounds = 0; // the most for which the tokens suffice
  std::uint64_t too_many = 1;
  for (const auto& [it, tokens] : shares) {
    too_many = std::max<std::uint64_t>(too_many, std::uint64_t{it->second.queued->urgent} + 1);
  }
  while (too_many - rounds > 1) {
    const auto middle = rounds + (too_many - rounds) / 2;
    (given_in(middle) <= free ? rounds : too_many) = middle;
  }
  auto left = free - given_in(rounds);
  const auto given = free - left;
  std::uint64_t extra = 0;
  for (auto& [it, tokens] : shares) {
    const auto urgent = it->second.queued->urgent;
    tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(urgent, rounds));
    if (rounds > 0 && tokens == rounds && extra == 0) {
      cursor = it->first;
    }
    if (left > 0 && urgent > rounds) {
      ++tokens;
      --left;
      ++extra;
      cursor = it->first;
    }
  }
  return given + extra;
}

} // namespace

owner::owner(owner_settings settings, owner_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {}

void owner::set_view(const membership::fleet_view& view, base::time_point now) {
  if (!views_.empty() && view.version <= views_.back().map.version()) {
    return;
  }
  const bool is_next = !views_.empty() && view.version == views_.back().map.version() + 1;
  if (!is_next) {
    views_.clear();
    buckets_.clear();
    handovers_.clear();
    claims_.clear();
    handovers_out_.clear();
    if (hooks_.on_decision) {
      hooks_.on_decision({"rates.takeover", "instance", settings_.self, "waits",
                          "view=" + std::to_string(view.version) +
                              " cause=no_continuous_history wait_ms=" +
                              std::to_string(base::to_ms(takeover_wait())),
                          0});
    }
  }
  past_view next;
  if (!views_.empty()) {
    next.map = views_.back().map;
  }
  next.map.set_view(view);
  next.set_at = now;
  views_.push_back(std::move(next));
  if (views_.size() > std::max<std::size_t>(settings_.view_history, 1)) {
    views_.pop_front();
  }
  const auto& map = views_.back().map;
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    if (map.repick(it->first, settings_.self) == settings_.self) {
      ++it;
      continue;
    }
    it->second.accrue(now);
    it->second.expire(now);
    hand_over(it->first, it->second);
    it = buckets_.erase(it);
  }
  add_claims(now);
  note_held_view(now);
  flush();
}

void owner::note_held_view(base::time_point now) {
  if (views_.empty() || views_.back().held_at) {
    return;
  }
  if (!hooks_.is_view_held || hooks_.is_view_held(views_.back().map.version())) {
    views_.back().held_at = now;
  }
}

std::optional<base::time_point> owner::ready_at(std::string_view workspace) const {
  // Searches for the view that assigned the workspace to this instance. The former owner is not
  // fresh any more once the freshness bound has passed after a majority held that view or a later
  // one.
  std::optional<base::time_point> held;
  for (auto it = views_.rbegin(); it != views_.rend(); ++it) {
    if (it->map.pick(workspace) != settings_.self) {
      break;
    }
    if (it->held_at) {
      held = it->held_at;
    }
  }
  if (!held) {
    return std::nullopt;
  }
  return *held + takeover_wait();
}

const bucket* owner::find_bucket(std::string_view workspace) const {
  const auto it = buckets_.find(workspace);
  return it == buckets_.end() ? nullptr : &it->second;
}

bucket* owner::find_or_make(std::string_view workspace, const limit& l, base::time_point ready,
                            base::time_point now) {
  // A workspace without a bucket has not been used since `ready`, or its bucket was full when it
  // was removed. The accrual since `ready` is a lower bound of the level in both cases.
  bucket fresh(l, 0.0, ready);
  fresh.accrue(now);
  return &buckets_.emplace(std::string(workspace), std::move(fresh)).first->second;
}

void owner::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                    base::time_point now) {
  if (kind != peer::message_kind::rate_ask) {
    return;
  }
  const auto frame = peer::unpack<token_request>(body);
  if (!frame) {
    count("rates_malformed");
    return;
  }
  note_held_view(now);
  if (frame->items.empty()) {
    if (const auto handovers = peer::unpack<handover_frame>(body)) {
      note_handovers(from, *handovers, now);
    }
  }
  for (const auto& item : frame->items) {
    handle(from, *frame, item, now);
  }
  flush();
}

void owner::handle(std::string_view from, const token_request& frame,
                   const token_request_item& item, base::time_point now) {
  const auto reply = [&](grant_status status, std::uint32_t retry_ms) {
    if (item.urgent > 0 || item.wanted_tokens > 0) {
      answer(from, frame.incarnation,
             {item.workspace, frame.seq, 0, static_cast<std::uint8_t>(status), retry_ms, false,
              false});
    }
  };
  if (views_.empty() || (hooks_.is_fresh && !hooks_.is_fresh())) {
    return reply(grant_status::starting, not_fresh_retry_ms);
  }
  const auto l = hooks_.limit_of(item.workspace);
  if (!l) {
    return reply(grant_status::unknown, 0);
  }
  bucket* b = nullptr;
  if (const auto it = buckets_.find(item.workspace); it != buckets_.end()) {
    b = &it->second;
  } else {
    if (views_.back().map.pick(item.workspace) != settings_.self) {
      return reply(grant_status::not_owner, not_owner_retry_ms);
    }
    const auto ready = ready_at(item.workspace);
    const bool is_waiting = !ready || now < *ready;
    b = is_waiting ? use_handover(item.workspace, *l, now)
                   : find_or_make(item.workspace, *l, *ready, now);
    if (b == nullptr && has_just_moved(item.workspace, now)) {
      return reply(grant_status::starting, handover_retry_ms);
    }
    if (b == nullptr) {
      const auto wait = ready ? *ready - now : takeover_wait();
      const double first_token = l->rate > 0 ? 1.0 / l->rate : 0.0;
      return reply(grant_status::starting, to_retry_ms(base::to_seconds(wait) + first_token));
    }
  }
  b->set_limit(*l, now);
  b->expire(now);
  const account_key key(std::string(from), frame.incarnation);
  if (!b->apply(key, frame.seq, frame.term == settings_.incarnation, item, now)) {
    count("rates_stale_asks");
    return;
  }
  serve(item.workspace, *b, now);
}

void owner::serve(const std::string& workspace, bucket& b, base::time_point now) {
  auto& accounts = b.accounts();
  auto free = static_cast<std::uint64_t>(std::max(0.0, std::floor(b.level())));
  queued_shares shares;
  // Round robin over the queued requests, beginning after the account served last.
  const auto start = accounts.upper_bound(b.cursor);
  const auto add = [&](auto first, auto last) {
    for (auto it = first; it != last; ++it) {
      if (it->second.queued) {
        shares.emplace_back(it, 0);
      }
    }
  };
  add(start, accounts.end());
  add(accounts.begin(), start);
  free -= share_urgent(shares, free, b.cursor);
  // Prefetches share the remaining tokens, so that one instance cannot take all.
  const auto cap = free / (accounts.size() + 1);
  for (auto& [it, tokens] : shares) {
    const auto extra = std::min<std::uint64_t>({it->second.queued->wanted_tokens, cap, free});
    tokens += static_cast<std::uint32_t>(extra);
    free -= extra;
  }
  double ahead = 0;
  bool is_short = false;
  for (auto& [it, tokens] : shares) {
    auto& a = it->second;
    const auto queued = *a.queued;
    if (tokens > 0) {
      b.grant_to(a, tokens, now);
    }
    if (tokens > 0 || queued.urgent == 0) {
      a.queued.reset();
    }
    ahead += queued.urgent - std::min(queued.urgent, tokens);
    is_short = is_short || tokens < queued.urgent;
    const bool is_final = !a.queued;
    if (!is_final && queued.is_notified) {
      continue;
    }
    if (!is_final) {
      a.queued->is_notified = true;
    }
    const auto status = is_final ? grant_status::granted : grant_status::queued;
    const auto retry = tokens < queued.urgent ? to_retry_ms(seconds_until(b, ahead)) : 0;
    answer(it->first.first, it->first.second,
           {workspace, queued.seq, tokens, static_cast<std::uint8_t>(status), retry, is_scarce(b),
            is_plentiful(b)});
  }
  b.last_served = now;
  if (is_short) {
    recall(workspace, b, now);
  }
}

void owner::recall(const std::string& workspace, bucket& b, base::time_point now) {
  for (auto& [key, a] : b.accounts()) {
    if (a.outstanding == 0 || a.queued || now - a.last_recall < recall_interval) {
      continue;
    }
    a.last_recall = now;
    answer(key.first, key.second,
           {workspace, 0, 0, static_cast<std::uint8_t>(grant_status::recall), 0, true, false});
  }
}

void owner::tick(base::time_point now) {
  note_held_view(now);
  const bool is_acting = !hooks_.is_fresh || hooks_.is_fresh();
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    auto& b = it->second;
    const auto l = hooks_.limit_of(it->first);
    if (l) {
      b.removed_at.reset();
    } else if (!b.removed_at) {
      b.removed_at = now;
    }
    b.set_limit(l.value_or(limit{}), now);
    b.expire(now);
    if (is_acting && b.queued_count() > 0) {
      serve(it->first, b, now);
    }
    const bool is_unused =
        b.removed_at ? now - *b.removed_at > removed_retention : b.is_idle() && b.keep_until <= now;
    it = is_unused ? buckets_.erase(it) : std::next(it);
  }
  std::erase_if(handovers_, [&](const auto& h) { return now - h.second.at > 2 * takeover_wait(); });
  flush();
}

std::optional<base::time_point> owner::next_due() const {
  std::optional<base::time_point> due;
  for (const auto& [workspace, b] : buckets_) {
    if (b.queued_count() == 0 || b.limits().rate <= 0) {
      continue;
    }
    const auto wait = seconds_until(b, 1.0) * (1.0 + 2 * base::clock_drift_bound);
    const auto at =
        std::max(b.accrued_until() + base::from_seconds(wait), b.last_served + serve_interval);
    due = due ? std::min(*due, at) : at;
  }
  return due;
}

void owner::answer(std::string_view to, std::uint64_t incarnation, grant_item item) {
  auto& frame = out_[{std::string(to), incarnation}];
  frame.incarnation = incarnation;
  frame.term = settings_.incarnation;
  frame.items.push_back(std::move(item));
}

void owner::flush() {
  // Sending to this instance itself may call `receive` before it returns.
  auto out = std::exchange(out_, {});
  for (const auto& [to, frame] : out) {
    hooks_.send(to.first, peer::message_kind::rate_grant, peer::pack(frame));
  }
  // Handovers are sent only once a majority holds the view. Before that, a sender that restarts
  // could grant again in the old view, until 2 s after a majority holds the new one. After it, the
  // wait that follows a start is longer than these 2 s, so the handover stays valid.
  if (views_.empty() || !views_.back().held_at) {
    return;
  }
  auto handovers = std::exchange(handovers_out_, {});
  for (const auto& [to, frame] : handovers) {
    hooks_.send(to, peer::message_kind::rate_ask, peer::pack(frame));
  }
}

void owner::count(std::string_view name, std::uint64_t n) {
  if (hooks_.on_count) {
    hooks_.on_count(name, n);
  }
}

} // namespace kingcupshunt::rates
