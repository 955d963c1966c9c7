#include "kingcupshunt/admission/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::admission {

namespace {

// An unanswered ask for a permit is repeated.
constexpr base::milliseconds permit_request_interval{200};
// Without an idle server the choice is repeated.
constexpr base::milliseconds choice_interval{50};
// A plan that does not begin within this time is given up.
constexpr base::seconds plan_timeout{1};
// Requests of one fingerprint that wait at this instance while another one runs.
constexpr std::size_t max_queued = 16;

} // namespace

void crash_suspects::admit(std::uint64_t fingerprint, base::time_point now,
                           base::time_point deadline, admit_done done) {
  if (table_.is_refused(fingerprint)) {
    refuse(std::move(done), fingerprint, now);
  } else if (table_.crashes(fingerprint) == 0) {
    done(run_plan{std::nullopt, deadline});
  } else {
    start_isolation(fingerprint, now, deadline, std::move(done));
  }
  run_completions();
}

void crash_suspects::start_isolation(std::uint64_t fingerprint, base::time_point now,
                                     base::time_point deadline, admit_done done) {
  isolation i;
  i.deadline = deadline;
  i.done = std::move(done);
  if (isolations_.contains(fingerprint)) {
    auto& queued = queued_isolations_[fingerprint];
    if (queued.size() >= max_queued) {
      refuse(std::move(i.done), fingerprint, now);
    } else {
      queued.push_back(std::move(i));
    }
    return;
  }
  i.call = ++next_call_;
  i.requested_at = now;
  request_permit(fingerprint, isolations_.emplace(fingerprint, std::move(i)).first->second, now);
}

void crash_suspects::request_permit(std::uint64_t fingerprint, isolation& i, base::time_point now) {
  i.coordinator = coordinator_of(fingerprint);
  i.due = now + permit_request_interval;
  if (!i.coordinator.empty()) {
    send_permit(i.coordinator, fingerprint, i.call, permit_step::request, now);
  }
}

void crash_suspects::handle_grant(const std::string& from, const permit_message& m,
                                  base::time_point now) {
  const auto it = isolations_.find(m.fingerprint);
  if (it == isolations_.end() || it->second.call != m.call) {
    send_permit(from, m.fingerprint, m.call, permit_step::release, now);
    return;
  }
  if (it->second.step == isolation_step::requesting && it->second.coordinator == from) {
    choose_server(m.fingerprint, it->second, now);
  }
}

void crash_suspects::choose_server(std::uint64_t fingerprint, isolation& i, base::time_point now) {
  if (!i.server.empty()) {
    notices_.erase({fingerprint, settings_.self});
  }
  const auto server = hooks_.pick_idle(fingerprint);
  i.step = server ? isolation_step::announcing : isolation_step::choosing_server;
  if (!server) {
    i.due = now + choice_interval;
    return;
  }
  i.server = *server;
  i.due = now + settings_.announce_wait;
  announce_isolation(fingerprint, *server, now);
}

void crash_suspects::announce_isolation(std::uint64_t fingerprint, const std::string& server,
                                        base::time_point now) {
  const isolation_notice n{fingerprint, server, ++next_call_};
  apply_notice(n, settings_.self, now);
  suspects_message m;
  m.notices.push_back(n);
  broadcast(std::move(m), now);
}

bool crash_suspects::has_conflict(std::uint64_t fingerprint, const std::string& server) const {
  return std::ranges::any_of(notices_, [&](const auto& n) {
    return n.second.server == server && n.first.first < fingerprint;
  });
}

void crash_suspects::step_isolation(std::uint64_t fingerprint, isolation& i, base::time_point now) {
  switch (i.step) {
  case isolation_step::requesting:
    request_permit(fingerprint, i, now);
    break;
  case isolation_step::choosing_server:
    choose_server(fingerprint, i, now);
    break;
  case isolation_step::announcing:
    if (has_conflict(fingerprint, i.server)) {
      choose_server(fingerprint, i, now);
      break;
    }
    i.step = isolation_step::planned;
    i.due = now + plan_timeout;
    completions_.push_back(
        [done = std::move(i.done),
         plan =
             run_plan{i.server, std::min(i.deadline, i.requested_at + settings_.permit_lifetime)}] {
          done(plan);
        });
    break;
  case isolation_step::planned:
    finish_isolation(fingerprint, now);
    break;
  case isolation_step::running:
  case isolation_step::ending:
    break;
  }
}

void crash_suspects::tick_isolations(base::time_point now) {
  std::vector<std::uint64_t> all;
  for (const auto& [fingerprint, i] : isolations_) {
    all.push_back(fingerprint);
  }
  std::ranges::sort(all);
  for (const auto fingerprint : all) {
    const auto it = isolations_.find(fingerprint);
    if (it == isolations_.end()) {
      continue;
    }
    auto& i = it->second;
    const bool is_waiting = i.step == isolation_step::requesting ||
                            i.step == isolation_step::choosing_server ||
                            i.step == isolation_step::announcing;
    const auto end = std::min(i.deadline, i.requested_at + settings_.permit_lifetime);
    if (is_waiting && (end <= now || table_.is_refused(fingerprint))) {
      refuse(std::move(i.done), fingerprint, now);
      finish_isolation(fingerprint, now);
    } else if (i.step == isolation_step::running || i.step == isolation_step::ending) {
      // The run's end was never told; the permit has expired at the coordinator.
      if (now >= i.requested_at + 2 * settings_.permit_lifetime) {
        finish_isolation(fingerprint, now);
      }
    } else if (i.due <= now) {
      step_isolation(fingerprint, i, now);
    }
  }
  for (auto& [fingerprint, waiting] : queued_isolations_) {
    while (!waiting.empty() && waiting.front().deadline <= now) {
      refuse(std::move(waiting.front().done), fingerprint, now);
      waiting.pop_front();
    }
  }
  std::erase_if(queued_isolations_, [](const auto& b) { return b.second.empty(); });
}

void crash_suspects::abandon(std::uint64_t fingerprint, base::time_point now) {
  const auto it = isolations_.find(fingerprint);
  if (it != isolations_.end() && it->second.step == isolation_step::planned) {
    finish_isolation(fingerprint, now);
  }
  run_completions();
}

void crash_suspects::finish_isolation(std::uint64_t fingerprint, base::time_point now) {
  const auto it = isolations_.find(fingerprint);
  if (it == isolations_.end()) {
    return;
  }
  const auto i = std::move(it->second);
  isolations_.erase(it);
  if (!i.server.empty()) {
    announce_isolation(fingerprint, {}, now);
  }
  if (!i.coordinator.empty()) {
    send_permit(i.coordinator, fingerprint, i.call, permit_step::release, now);
  }
  const auto waiting = queued_isolations_.find(fingerprint);
  if (waiting == queued_isolations_.end()) {
    return;
  }
  auto all = std::move(waiting->second);
  queued_isolations_.erase(waiting);
  for (auto& next : all) {
    completions_.push_back(
        [this, fingerprint, now, deadline = next.deadline, done = std::move(next.done)]() mutable {
          admit(fingerprint, now, deadline, std::move(done));
        });
  }
}

void crash_suspects::refuse(admit_done done, std::uint64_t fingerprint, base::time_point now) {
  proxy::refusal r;
  r.status = 503;
  r.ran = proxy::ran_state::no;
  const auto until = table_.refused_until(fingerprint);
  if (until) {
    r.reason = "crash_suspect";
    r.message = "The request was running when two servers crashed and is refused for a while.";
    r.retry_after = std::chrono::ceil<base::milliseconds>(
        std::max<base::duration>(*until - now, base::milliseconds(1)));
  } else {
    r.reason = "crash_suspect_waits";
    r.message = "The request was running when a server crashed; its turn to run alone did not "
                "come before the deadline.";
  }
  count(r.reason);
  completions_.push_back([d = std::move(done), refusal = std::move(r)] { d(refusal); });
}

} // namespace kingcupshunt::admission
