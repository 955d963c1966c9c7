#include "kingcupshunt/state/client.h"

#include <algorithm>
#include <utility>

#include "kingcupshunt/consensus/replica.h"

namespace kingcupshunt::state {

namespace {

// Envelope of a command around its body in the log.
constexpr std::size_t envelope_bytes = 256;

} // namespace

const char* message_of(client_error error) noexcept {
  switch (error) {
  case client_error::no_answer:
    return "no answer before the deadline; the effect is unknown";
  case client_error::overloaded:
    return "too many calls are outstanding";
  case client_error::too_large:
    return "the command does not fit into one message";
  }
  return "unknown error";
}

client::client(client_settings settings, peer::send_function send)
    : settings_(std::move(settings)), send_(std::move(send)), rng_(settings_.seed) {
  // Calls of a former incarnation of this instance must not meet those of this one.
  next_call_ = 1 + (rng_.below(1ULL << 40U) << 20U);
}

std::string client::next_voter(const std::string& after) {
  const auto& all = settings_.voters;
  if (all.empty()) {
    return {};
  }
  const auto it = std::ranges::find(all, after);
  if (it == all.end()) {
    return all[rng_.below(all.size())];
  }
  return it + 1 == all.end() ? all.front() : *(it + 1);
}

std::uint64_t client::start(command_kind kind, std::string body, bool is_read,
                            base::time_point deadline, done_function done, base::time_point now) {
  const bool is_closing = kind == command_kind::complete || kind == command_kind::release;
  if (!has_room(is_closing)) {
    done(client_error::overloaded);
    return 0;
  }
  if (body.size() + envelope_bytes > consensus::max_payload_bytes) {
    done(client_error::too_large);
    return 0;
  }
  const auto id = next_call_++;
  auto& c = calls_[id];
  c.message = {id, is_read, kind, std::move(body)};
  c.deadline = deadline;
  c.done = std::move(done);
  send_call(c, now);
  return id;
}

// Closing a reservation has room of its own: without it the key would stay "may have run" when the
// instance is busy.
bool client::has_room(bool is_closing) const noexcept {
  return calls_.size() < settings_.max_calls * (is_closing ? 2 : 1);
}

void client::close(command_kind kind, std::string body, base::time_point now) {
  start(
      kind, std::move(body), false, now + settings_.closing_time, [](const auto&) {}, now);
}

void client::send_call(call& c, base::time_point now) {
  c.sent_to = leader_.empty() ? next_voter(c.sent_to) : leader_;
  c.resend_at = now + settings_.resend_interval;
  if (!c.sent_to.empty()) {
    send_(c.sent_to, peer::message_kind::state_propose, peer::pack(c.message));
  }
}

void client::tick(base::time_point now) {
  std::vector<done_function> failed;
  for (auto it = calls_.begin(); it != calls_.end();) {
    auto& c = it->second;
    if (now >= c.deadline) {
      failed.push_back(std::move(c.done));
      it = calls_.erase(it);
      continue;
    }
    if (now >= c.resend_at) {
      if (leader_ == c.sent_to) {
        leader_.clear(); // it did not answer in time
      }
      send_call(c, now);
    }
    ++it;
  }
  now_ = now;
  for (auto& done : failed) {
    done(client_error::no_answer);
  }
}

void client::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                     base::time_point now) {
  if (kind != peer::message_kind::state_proposal_answer) {
    ++malformed_;
    return;
  }
  if (const auto m = peer::unpack<proposal_answer>(body)) {
    on_answer(from, *m, now);
  } else {
    ++malformed_;
  }
}

void client::on_answer(std::string_view from, const proposal_answer& m, base::time_point now) {
  now_ = now;
  const auto it = calls_.find(m.call_id);
  if (it == calls_.end()) {
    return;
  }
  auto& c = it->second;
  if (m.status == proposal_status::answered) {
    leader_ = std::string(from);
    const auto done = std::move(c.done);
    calls_.erase(it);
    done(m.result);
    return;
  }
  if (m.status == proposal_status::overloaded) {
    c.resend_at = now + settings_.resend_interval;
    return;
  }
  if (from != c.sent_to) {
    return; // answer to an earlier copy
  }
  if (leader_ == from) {
    leader_.clear();
  }
  if (!m.leader.empty() && m.leader != from) {
    leader_ = m.leader;
    send_call(c, now);
  } else {
    c.resend_at = now + settings_.retry_delay;
  }
}

void client::change(const change_files& c, base::time_point deadline, done_function done,
                    base::time_point now) {
  start(command_kind::change_files, peer::pack(c), false, deadline, std::move(done), now);
}

void client::change_view(const set_view& c, base::time_point deadline, done_function done,
                         base::time_point now) {
  start(command_kind::set_view, peer::pack(c), false, deadline, std::move(done), now);
}

void client::read(base::time_point deadline, done_function done, base::time_point now) {
  start(command_kind::change_files, "", true, deadline, std::move(done), now);
}

std::uint64_t client::reserve_key(std::string_view workspace, std::string_view key,
                                  std::uint64_t fingerprint, base::time_point deadline,
                                  done_function done, base::time_point now) {
  const auto attempt = 1 + rng_.below(~0ULL - 1);
  now_ = now;
  attempts_[attempt] = {std::string(workspace), std::string(key), 0};
  const reserve c{std::string(workspace), std::string(key), fingerprint, attempt};
  // The call goes on past the deadline of the caller as a release; see on_reserve_answer.
  const auto id = start(
      command_kind::reserve, peer::pack(c), false, deadline,
      [this, attempt, done = std::move(done)](client_result<command_result> result) {
        on_reserve_answer(attempt, done, std::move(result), now_);
      },
      now);
  if (const auto it = attempts_.find(attempt); it != attempts_.end()) {
    it->second.call_id = id;
  }
  return attempt;
}

void client::on_reserve_answer(std::uint64_t attempt, const done_function& done,
                               client_result<command_result> result, base::time_point now) {
  if (!attempts_.contains(attempt)) {
    return; // cancelled; the release is on its way
  }
  if (!result && result.error() == client_error::no_answer) {
    cancel(attempt, now);
  } else if (!result || result.value().code != outcome::granted) {
    attempts_.erase(attempt);
  }
  done(std::move(result));
}

// The release is proposed at once and not only after a late grant: the state machine remembers it
// and refuses a reserve of this attempt that is still under way.
void client::cancel(std::uint64_t attempt, base::time_point now) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) {
    return;
  }
  const auto a = std::move(it->second);
  attempts_.erase(it);
  calls_.erase(a.call_id);
  close(command_kind::release, peer::pack(release{a.workspace, a.key, attempt}), now);
}

void client::complete_key(std::uint64_t attempt, std::optional<kept_answer> answer,
                          base::time_point now) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) {
    return;
  }
  complete c{it->second.workspace, it->second.key, attempt, answer.has_value(), {}};
  attempts_.erase(it);
  if (answer) {
    c.answer = std::move(*answer);
  }
  close(command_kind::complete, peer::pack(c), now);
}

} // namespace kingcupshunt::state
