#include "kingcupshunt/admission/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::admission {

namespace {

// Each message to all instances is sent so many times, one tick apart, against loss.
constexpr std::uint32_t send_count = 3;
constexpr base::milliseconds send_interval{50};
// A request given up by this instance is blamed for a crash of its server within this time.
constexpr base::seconds attribution_time{1};
constexpr std::size_t max_abandoned = 64;
// A note that a server carries nothing any more outlives all repetitions of the notes before it.
constexpr base::seconds end_notice_lifetime{2};
// A new instance asks so many others for the suspects they know.
constexpr std::size_t max_sync_peers = 3;

} // namespace

crash_suspects::crash_suspects(crash_suspects_settings settings, crash_suspects_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)), table_(settings_.limits),
      next_call_(settings_.incarnation << 20U) {}

// An instance that runs a suspect tells its end itself, unless it dies together with the server.
// Then its note stays until it expires or the view drops the instance, and the others blame.
template <class Predicate>
void crash_suspects::drop_notices(base::time_point now, const Predicate& is_dropped) {
  suspects_message m;
  for (auto it = notices_.begin(); it != notices_.end();) {
    if (!is_dropped(it->first, it->second)) {
      ++it;
      continue;
    }
    if (it->second.incident && !it->second.server.empty()) {
      attribute_crash(it->first.first, *it->second.incident, m, now);
    }
    it = notices_.erase(it);
  }
  if (!m.records.empty()) {
    broadcast(std::move(m), now);
  }
}

void crash_suspects::set_view(const membership::fleet_view& view, base::time_point now) {
  if (view_version_ != 0 && view.version <= view_version_) {
    return;
  }
  const bool is_first = view_version_ == 0;
  // A coordinator of the former view stops within the freshness bound; the permits it gave last
  // for their lifetime after that.
  const auto until = now + base::milliseconds(2060) + settings_.permit_lifetime * 206 / 100;
  former_views_.push_back({until, active_});
  view_version_ = view.version;
  active_ = view.active_ids();
  std::erase_if(permits_, [&](const auto& p) { return coordinator_of(p.first) != settings_.self; });
  drop_notices(now, [&](const notice_key& key, const notice& n) {
    return n.incident && std::ranges::find(active_, key.second) == active_.end();
  });
  if (!is_first) {
    return;
  }
  suspects_message m;
  m.is_sync_request = true;
  std::size_t n = 0;
  for (const auto& id : active_) {
    if (id != settings_.self && n++ < max_sync_peers) {
      send_to(id, m, now);
    }
  }
}

void crash_suspects::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                             base::time_point now) {
  if (kind != peer::message_kind::crash_suspects) {
    return;
  }
  const auto m = peer::unpack<suspects_message>(body);
  if (!m) {
    return count("suspects_malformed");
  }
  for (const auto& record : m->records) {
    if (table_.merge(record, now) && table_.is_refused(record.fingerprint)) {
      report_refused(record.fingerprint, from);
    }
  }
  for (const auto& n : m->notices) {
    apply_notice(n, std::string(from), now);
  }
  for (const auto& p : m->permits) {
    handle_permit(std::string(from), p, now);
  }
  if (m->is_sync_request) {
    suspects_message answer;
    answer.records = table_.all();
    send_to(std::string(from), answer, now);
  }
  run_completions();
}

void crash_suspects::apply_notice(const isolation_notice& n, const std::string& from,
                                  base::time_point now) {
  const notice_key key(n.fingerprint, from);
  const auto it = notices_.find(key);
  if (it != notices_.end() ? n.seq <= it->second.seq
                           : notices_.size() >= settings_.limits.max_suspects) {
    return;
  }
  const base::duration kept = n.server.empty()
                                  ? base::duration(end_notice_lifetime)
                                  : base::duration(settings_.permit_lifetime * 103 / 100);
  notices_[key] = {n.server, n.seq, now + kept, std::nullopt};
}

bool crash_suspects::begin(std::uint64_t fingerprint, std::string_view server,
                           base::time_point now) {
  const auto it = isolations_.find(fingerprint);
  if (it != isolations_.end() && it->second.step == isolation_step::planned &&
      it->second.server == server) {
    if (table_.is_refused(fingerprint)) {
      finish_isolation(fingerprint, now);
      return false;
    }
    it->second.step = isolation_step::running;
  } else if (table_.crashes(fingerprint) > 0 || is_isolation_server(server)) {
    return false;
  }
  auto s = servers_.find(server);
  if (s == servers_.end()) {
    s = servers_.emplace(std::string(server), server_state{}).first;
  }
  s->second.in_flight.push_back(fingerprint);
  return true;
}

void crash_suspects::end(std::uint64_t fingerprint, std::string_view server,
                         health::attempt_end end, base::time_point now,
                         std::function<void()> done) {
  using health::attempt_end;
  const auto s = servers_.find(server);
  if (s == servers_.end()) {
    return done();
  }
  auto& in_flight = s->second.in_flight;
  const auto at = std::ranges::find(in_flight, fingerprint);
  if (at != in_flight.end()) {
    in_flight.erase(at);
  }
  const auto i = isolations_.find(fingerprint);
  const bool is_isolated = i != isolations_.end() && i->second.step == isolation_step::running &&
                           i->second.server == server;
  // A dead idle connection and a crash on a reused connection look alike.
  if (end == attempt_end::closed_unanswered || end == attempt_end::truncated ||
      end == attempt_end::stale_connection) {
    if (is_isolated) {
      i->second.step = isolation_step::ending;
    }
    cut c{fingerprint, now, is_isolated, std::move(done)};
    if (s->second.died_at && now - *s->second.died_at < attribution_time) {
      // The verdict came first. The server may have started and died again since.
      s->second.abandoned.emplace_back(fingerprint, now + attribution_time);
      hold(c, now);
    } else {
      s->second.cuts.push_back(std::move(c));
    }
    start_check(s->second, s->first, now);
    return;
  }
  if (end == attempt_end::timed_out || end == attempt_end::cancelled) {
    auto& abandoned = s->second.abandoned;
    abandoned.emplace_back(fingerprint, now + attribution_time);
    if (abandoned.size() > max_abandoned) {
      abandoned.pop_front();
    }
  }
  if (is_isolated) {
    if (end == attempt_end::ok || end == attempt_end::error_status) {
      suspects_message m;
      m.records.push_back(table_.clear(fingerprint, now));
      broadcast(std::move(m), now);
      report_decision(fingerprint, "cleared", "server=" + std::string(server));
    }
    finish_isolation(fingerprint, now);
  }
  forget_server(server);
  done();
  run_completions();
}

// May call server_died at once, so that nothing may be done with `s` afterwards.
void crash_suspects::start_check(server_state& s, const std::string& server, base::time_point now) {
  if (hooks_.check_server && !s.check_started) {
    s.check_started = now;
    hooks_.check_server(std::string(server));
  }
}

void crash_suspects::server_died(std::string_view server, std::uint64_t incident,
                                 base::time_point now) {
  suspects_message m;
  std::vector<std::uint64_t> fingerprints;
  const auto s = servers_.find(server);
  if (s != servers_.end()) {
    fingerprints = s->second.in_flight;
    for (const auto& c : s->second.cuts) {
      fingerprints.push_back(c.fingerprint);
    }
    for (const auto& [fingerprint, until] : s->second.abandoned) {
      fingerprints.push_back(fingerprint);
    }
    s->second.abandoned.clear();
  }
  for (auto& [key, n] : notices_) {
    if (n.server == server) {
      n.incident = incident;
    }
  }
  std::ranges::sort(fingerprints);
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
  for (const auto fingerprint : fingerprints) {
    attribute_crash(fingerprint, incident, m, now);
  }
  if (!m.records.empty()) {
    broadcast(std::move(m), now);
  }
  if (s != servers_.end()) {
    s->second.died_at = now;
    s->second.check_started.reset();
    for (auto& c : std::exchange(s->second.cuts, {})) {
      hold(c, now);
    }
    forget_server(server);
  }
}

void crash_suspects::attribute_crash(std::uint64_t fingerprint, std::uint64_t incident,
                                     suspects_message& out, base::time_point now) {
  const suspect_record record{fingerprint, {incident}, {}};
  out.records.push_back(record);
  if (!table_.merge(record, now)) {
    return;
  }
  if (table_.is_refused(fingerprint)) {
    report_refused(fingerprint, settings_.self);
  } else {
    report_decision(fingerprint, "suspected",
                    "crashes=" + std::to_string(table_.crashes(fingerprint)));
  }
}

void crash_suspects::server_alive(std::string_view server, base::time_point now) {
  const auto s = servers_.find(server);
  if (s == servers_.end()) {
    return;
  }
  // A request whose connection was cut after the check began may have ended the server since.
  const auto since = std::exchange(s->second.check_started, std::nullopt).value_or(now);
  auto& cuts = s->second.cuts;
  const auto later =
      std::stable_partition(cuts.begin(), cuts.end(), [&](const cut& c) { return c.at <= since; });
  for (auto it = cuts.begin(); it != later; ++it) {
    completions_.push_back(std::move(it->done));
    if (it->is_isolated) {
      finish_isolation(it->fingerprint, now);
    }
  }
  cuts.erase(cuts.begin(), later);
  s->second.died_at.reset();
  if (!cuts.empty()) {
    start_check(s->second, s->first, now);
  }
  forget_server(server);
  run_completions();
}

void crash_suspects::hold(cut& c, base::time_point now) {
  held_.push_back(
      {now + settings_.broadcast_time, c.fingerprint, c.is_isolated, std::move(c.done)});
}

void crash_suspects::resolve_cuts(server_state& s, std::string_view server, base::time_point now) {
  suspects_message m;
  for (auto it = s.cuts.begin(); it != s.cuts.end();) {
    if (now - it->at < settings_.check_timeout) {
      ++it;
      continue;
    }
    if (it->is_isolated) {
      // Alone at a server that nobody found alive since: counts as a crash, or a verdict that
      // never comes would allow a third run.
      attribute_crash(it->fingerprint, base::hash64(server, it->fingerprint), m, now);
      hold(*it, now);
    } else {
      // The check is taken for lost. One that still ends blames the request.
      s.abandoned.emplace_back(it->fingerprint, now + attribution_time);
      completions_.push_back(std::move(it->done));
    }
    it = s.cuts.erase(it);
  }
  if (!m.records.empty()) {
    broadcast(std::move(m), now);
  }
}

bool crash_suspects::is_unused(const server_state& s) noexcept {
  return s.in_flight.empty() && s.cuts.empty() && s.abandoned.empty() && !s.check_started;
}

void crash_suspects::forget_server(std::string_view server) {
  const auto s = servers_.find(server);
  if (s != servers_.end() && is_unused(s->second)) {
    servers_.erase(s);
  }
}

bool crash_suspects::is_isolation_server(std::string_view server) const {
  return std::ranges::any_of(notices_, [&](const auto& n) { return n.second.server == server; });
}

void crash_suspects::broadcast(suspects_message message, base::time_point now) {
  send_all(message);
  repetitions_.push_back({now + send_interval, send_count - 1, std::move(message)});
}

void crash_suspects::send_all(const suspects_message& message) {
  const auto body = peer::pack(message);
  for (const auto& id : active_) {
    if (id != settings_.self) {
      hooks_.send(id, peer::message_kind::crash_suspects, body);
    }
  }
}

void crash_suspects::send_to(const std::string& to, const suspects_message& message,
                             base::time_point now) {
  if (to != settings_.self) {
    hooks_.send(to, peer::message_kind::crash_suspects, peer::pack(message));
    return;
  }
  for (const auto& p : message.permits) {
    handle_permit(to, p, now);
  }
}

void crash_suspects::tick(base::time_point now) {
  for (auto& r : repetitions_) {
    if (r.due <= now) {
      send_all(r.message);
      r.due = now + send_interval;
      --r.left;
    }
  }
  std::erase_if(repetitions_, [](const repetition& r) { return r.left == 0; });
  for (auto it = servers_.begin(); it != servers_.end();) {
    auto& s = it->second;
    resolve_cuts(s, it->first, now);
    std::erase_if(s.abandoned, [&](const auto& g) { return g.second <= now; });
    it = is_unused(s) ? servers_.erase(it) : std::next(it);
  }
  for (auto& h : held_) {
    if (h.until <= now) {
      completions_.push_back(std::move(h.done));
      if (h.is_isolated) {
        finish_isolation(h.fingerprint, now);
      }
    }
  }
  std::erase_if(held_, [&](const held_answer& h) { return h.until <= now; });
  drop_notices(now, [&](const notice_key&, const notice& n) { return n.expires <= now; });
  std::erase_if(former_views_, [&](const former_view& v) { return v.until <= now; });
  tick_isolations(now);
  tick_permits(now);
  table_.expire(now);
  run_completions();
}

void crash_suspects::report_refused(std::uint64_t fingerprint, std::string_view from) {
  report_decision(fingerprint, "refused",
                  "crashes=" + std::to_string(table_.crashes(fingerprint)) +
                      " reported_by=" + std::string(from) + " minutes=" +
                      std::to_string(std::chrono::duration_cast<std::chrono::minutes>(
                                         settings_.limits.retention)
                                         .count()));
}

void crash_suspects::report_decision(std::uint64_t fingerprint, const char* outcome,
                                     std::string evidence) {
  if (hooks_.on_decision) {
    hooks_.on_decision({"crash_suspects", "fingerprint", std::to_string(fingerprint), outcome,
                        std::move(evidence), 0});
  }
}

void crash_suspects::run_completions() {
  auto completions = std::exchange(completions_, {});
  for (auto& done : completions) {
    done();
  }
}

void crash_suspects::count(std::string_view name) {
  if (hooks_.on_count) {
    hooks_.on_count(name);
  }
}

} // namespace kingcupshunt::admission
