#include <algorithm>

#include "request_handler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace kingcupshunt::proxy {

using health::attempt_end;

namespace {

refusal failed(unsigned status, std::string reason, std::string message, bool may_have_run) {
  return refusal{status, std::move(reason), std::move(message),
                 may_have_run ? ran_state::unknown : ran_state::no, std::nullopt};
}

refusal refusal_of(attempt_end end, bool may_have_run) {
  switch (end) {
  case attempt_end::connect_failed:
    return failed(502, "upstream_connect_failed", "could not connect to a backend server",
                  may_have_run);
  case attempt_end::closed_unanswered:
    return failed(502, "upstream_closed",
                  "the backend server closed the connection without an answer", may_have_run);
  case attempt_end::truncated:
    return failed(502, "answer_truncated", "the backend server's answer was truncated",
                  may_have_run);
  case attempt_end::malformed:
    return failed(502, "answer_malformed", "the backend server's answer is not valid HTTP",
                  may_have_run);
  case attempt_end::stale_connection:
    return failed(502, "upstream_connection_stale",
                  "the reused connection to the backend server was no longer usable", may_have_run);
  default:
    return failed(504, "upstream_timeout", "no complete answer before the deadline", may_have_run);
  }
}

constexpr base::milliseconds slot_retry_delay{5}; // about the time until a slot is freed
constexpr base::milliseconds full_server_retry_delay{
    20}; // the balancer excludes a full server for as long

bool is_error_answer(const exchange& ex) {
  return ex.end() == attempt_end::error_status || ex.end() == attempt_end::shed;
}

} // namespace

/// Runs tries until one has an answer for the caller. Returns null when none has; failure_ holds
/// the reason.
awaitable<request_handler::exchange_ptr> request_handler::find_answer() {
  const bool is_started = co_await start_first_try();
  if (!is_started) {
    co_return nullptr;
  }
  if (upstream_request_->is_resendable && context_.hook.hedge_delay) {
    if (const auto delay = context_.hook.hedge_delay(auth_)) {
      hedge_at_ = base::clock::now() + *delay;
    }
  }
  for (;;) {
    const bool must_continue = reservation_ && was_sent();
    const bool is_abandoned = caller_->is_aborted || (caller_->is_disconnected && !must_continue);
    if (body_failure_ || is_abandoned) {
      cancel_all();
      co_return nullptr;
    }
    if (const auto winner = collect_finished()) {
      cancel_all();
      co_return winner;
    }
    if (active_tries_.empty()) {
      const bool is_retried = co_await start_retry();
      if (is_retried) {
        continue;
      }
      co_return std::exchange(fallback_, nullptr);
    }
    const auto now = base::clock::now();
    if (hedge_at_ && now >= *hedge_at_) {
      start_hedge();
    }
    start_checks(now);
    co_await wake_->wait_until(next_timer());
  }
}

/// Starts the first try. Waits for a free server until the deadline.
awaitable<bool> request_handler::start_first_try() {
  for (;;) {
    if (!has_time_before_stop()) {
      failure_ = refused_by_stop();
      co_return false;
    }
    const bool is_planned = co_await plan_try();
    if (!is_planned) {
      co_return false;
    }
    if (start_try()) {
      co_return true;
    }
    const auto next = base::clock::now() + slot_retry_delay;
    if (!failure_->is_transient || next >= auth_.deadline || caller_->is_disconnected) {
      co_return false;
    }
    failure_.reset();
    co_await wake_->wait_until(next);
  }
}

/// Waits until it is known for every try of this request whether its server crashed.
awaitable<void> request_handler::wait_for_crash_checks() {
  while (unresolved_->count > 0) {
    co_await wake_->wait_until(base::time_point::max());
  }
}

/// True when bytes of the request were sent by any try.
bool request_handler::was_sent() const {
  return may_have_run_ ||
         std::any_of(active_tries_.begin(), active_tries_.end(),
                     [](const attempt_pair& pair) { return pair.main->was_sent(); });
}

/// The route's limit counts only tries that may have run the request.
bool request_handler::has_tries_left() const {
  const auto of_route = auth_.route->max_tries;
  return tries_ < context_.settings.max_tries &&
         (of_route == 0 || tries_ - unreached_tries_ < of_route);
}

bool request_handler::start_try() {
  if (!has_tries_left()) {
    return false;
  }
  auto picked = context_.hook.pick(auth_, fingerprint_, tried_);
  if (!picked) {
    context_.holds.note_refused(auth_.service->name, base::clock::now());
    if (!failure_ || (picked.error().is_general && !was_sent())) {
      failure_ = picked.error();
    } else if (failure_->status == 503 && !failure_->retry_after) {
      failure_->retry_after = picked.error().retry_after;
    }
    return false;
  }
  ++tries_;
  const auto need =
      upstream_request_->is_resendable ? connection_need::any : connection_need::verified;
  tried_.push_back(picked.value().id);
  auto ex = std::make_shared<exchange>(context_, std::move(picked.value()), upstream_request_, need,
                                       wake_);
  ex->start();
  active_tries_.push_back({std::move(ex), nullptr});
  return true;
}

/// Starts another try after the last failed one when the request can be sent again and the retry
/// budget allows it.
awaitable<bool> request_handler::start_retry() {
  co_await wait_for_crash_checks();
  if (!last_failed_try_) {
    co_return false;
  }
  const auto last = *std::exchange(last_failed_try_, std::nullopt);
  if (last.end == attempt_end::shed) {
    const bool is_requeued = co_await try_after_shed(last);
    co_return is_requeued;
  }
  if (last.end == attempt_end::cancelled) {
    // Only a withheld try ends so and asks for another one.
    const bool is_requeued = co_await try_after_withheld(last.upstream);
    co_return is_requeued;
  }
  const bool was_not_sent = last.end == attempt_end::connect_failed;
  const bool is_allowed =
      upstream_request_->is_resendable || (was_not_sent && !may_have_run_ && body_bytes_ == 0);
  if (!is_allowed || base::clock::now() >= auth_.deadline || !has_tries_left() ||
      caller_->is_disconnected || !has_time_before_stop()) {
    co_return false;
  }
  if (!context_.hook.may_retry || !context_.hook.may_retry(auth_, last)) {
    co_return false;
  }
  const bool is_planned = co_await plan_try();
  if (!is_planned || !start_try()) {
    co_return false;
  }
  context_.metrics.count_retry(health::to_string(last.end));
  co_return true;
}

/// A full server did not run the request, so the request is sent to another server, or waits until
/// the full ones may have a free slot again. This does not use the retry budget, since it adds no
/// work to any server, unless the deployment counts refused tries as well.
awaitable<bool> request_handler::try_after_shed(const health::attempt& last) {
  if (may_have_run_ || upstream_request_->is_streamed || !has_time_before_stop()) {
    co_return false;
  }
  if (context_.settings.names.is_shed_budgeted) {
    const bool is_allowed = has_tries_left() && base::clock::now() < auth_.deadline &&
                            !caller_->is_disconnected && context_.hook.may_retry &&
                            context_.hook.may_retry(auth_, last);
    if (!is_allowed || !start_try()) {
      co_return false;
    }
    context_.metrics.count_retry("shed");
    co_return true;
  }
  --tries_;
  full_servers_.push_back(last.upstream);
  auto before = std::exchange(failure_, std::nullopt);
  for (;;) {
    const bool is_planned = co_await plan_try();
    if (is_planned && start_try()) {
      context_.metrics.count_retry("shed");
      co_return true;
    }
    // Waiting helps where servers are full, not where no server can be reached.
    if (failure_ && failure_->is_general) {
      co_return false;
    }
    const auto next = base::clock::now() + full_server_retry_delay;
    if (!is_planned || next >= auth_.deadline || caller_->is_disconnected ||
        !has_time_before_stop()) {
      failure_ = std::move(before);
      co_return false;
    }
    co_await wake_->wait_until(next);
    for (const auto& id : full_servers_) {
      std::erase(tried_, id);
    }
    full_servers_.clear();
    failure_.reset();
  }
}

/// A withheld request has used no server, so it needs no retry budget, and waits for a free server
/// as a first try does.
awaitable<bool> request_handler::try_after_withheld(const std::string& server) {
  const auto before = std::exchange(failure_, std::nullopt);
  for (bool is_first = true;; is_first = false) {
    if (!has_time_before_stop()) {
      failure_ = refused_by_stop();
      co_return false;
    }
    const bool is_planned = co_await plan_try();
    if (!is_planned) {
      co_return false;
    }
    if (start_try()) {
      co_return true;
    }
    // The first refusal may only mean that the other servers are full, since one is excluded.
    const bool may_wait = is_first || (failure_ && failure_->is_transient);
    const auto next = base::clock::now() + (is_first ? full_server_retry_delay : slot_retry_delay);
    if (!may_wait || next >= auth_.deadline || caller_->is_disconnected || !has_tries_left()) {
      if (!failure_) {
        failure_ = before;
      }
      co_return false;
    }
    co_await wake_->wait_until(next);
    failure_.reset();
    // The hook refuses the server as long as it gets no requests.
    std::erase(tried_, server);
    for (const auto& id : full_servers_) {
      std::erase(tried_, id);
    }
    full_servers_.clear();
  }
}

void request_handler::start_hedge() {
  hedge_at_.reset();
  const auto failure = failure_;
  const bool is_allowed =
      has_time_before_stop() && (!context_.hook.take_hedge || context_.hook.take_hedge(auth_));
  if (active_tries_.size() == 1 && is_allowed && start_try()) {
    context_.metrics.count_retry("hedge");
  }
  failure_ = failure; // a refused hedge is not a failure of the request
}

/// Distinguishes a dead reused connection from a dead server: when the connection stays silent,
/// sends the request once more on a new connection to the same upstream, at most once for each
/// request.
void request_handler::start_checks(base::time_point now) {
  for (auto& pair : active_tries_) {
    const auto silent_since = pair.main->silent_since();
    const bool is_due = silent_since && now - *silent_since >= context_.settings.silence_timeout;
    if (!is_due || has_checked_ || !upstream_request_->is_resendable) {
      continue;
    }
    has_checked_ = true;
    pair.check = std::make_shared<exchange>(context_, pair.main->target(), upstream_request_,
                                            connection_need::fresh, wake_);
    pair.check->start();
    context_.metrics.count_retry("silent_connection");
  }
}

base::time_point request_handler::next_timer() const {
  auto next = hedge_at_.value_or(base::time_point::max());
  for (const auto& pair : active_tries_) {
    if (const auto since = pair.main->silent_since(); since && !has_checked_) {
      next = std::min(next, *since + context_.settings.silence_timeout);
    }
  }
  return next;
}

/// Removes finished tries from the active ones. Returns the try whose answer is to be sent, or
/// null.
request_handler::exchange_ptr request_handler::collect_finished() {
  for (std::size_t i = 0; i < active_tries_.size();) {
    const auto& pair = active_tries_[i];
    if (upstream_request_->is_streamed && pair.main->is_ready_for_body() && !is_pumping_ &&
        body_bytes_ == 0 && !request_->parser.is_done()) {
      is_pumping_ = true;
      boost::asio::co_spawn(
          context_.executor,
          [self = shared_from_this(), main = pair.main] { return self->pump_body(main); },
          boost::asio::detached);
    }
    const bool has_check_answer = pair.check && pair.check->has_answer();
    const bool is_settled = pair.main->is_finished() || has_check_answer;
    if (!is_settled) {
      ++i;
      continue;
    }
    const auto taken = active_tries_[i];
    active_tries_.erase(active_tries_.begin() + static_cast<std::ptrdiff_t>(i));
    if (auto winner = settle(taken)) {
      return winner;
    }
    i = 0;
  }
  return nullptr;
}

/// Evaluates one finished pair. Returns the try whose answer is to be sent; otherwise stores the
/// answer as fallback or the failure for a retry and returns null.
request_handler::exchange_ptr request_handler::settle(const attempt_pair& pair) {
  exchange_ptr ended = pair.main;
  if (pair.check && pair.check->has_answer() && !pair.main->has_answer()) {
    // The new connection answers, so the old connection is dead and the server is not.
    pair.main->cancel();
    context_.pool.discard_idle(pair.main->target().id);
    context_.metrics.count("upstream_stale_connections_total", "silent");
    ended = pair.check;
  } else if (pair.check) {
    pair.check->cancel();
  }
  if (ended->is_leaving() && context_.hook.note_leaving) {
    // The report comes only after the body, which may take long.
    context_.hook.note_leaving(auth_, ended->target().id);
  }
  may_have_run_ = may_have_run_ || (ended->was_sent() && ended->end() != attempt_end::shed);
  if (ended->has_answer() && !is_error_answer(*ended)) {
    return ended; // reported after its body was sent
  }
  if (ended->has_answer() && !ended->is_whole()) {
    if (active_tries_.empty()) {
      return ended;
    }
    ended->cancel();
  }
  if (is_pumping_ && ended->has_answer()) {
    return ended; // the body cannot be sent again, so no other try is possible
  }
  if (is_pumping_ && is_reading_body_ && ended->end() == attempt_end::timed_out) {
    // The deadline passed while the caller was sending; this is no evidence against the server.
    ended->set_end(attempt_end::cancelled);
    body_failure_ = refusal_of_body(body_state::timed_out);
  }
  report(*ended);
  if (ended->was_withheld()) {
    --tries_;
    if (!active_tries_.empty() || last_failed_try_) {
      return nullptr; // the other try decides what is next
    }
    failure_ = failed(503, "withheld", "the chosen backend server gets no requests any more",
                      may_have_run_);
    last_failed_try_ = ended->to_attempt(auth_, fingerprint_);
    return nullptr;
  }
  const bool is_unreached =
      ended->end() == attempt_end::shed || (!ended->was_sent() && !ended->had_no_connection());
  unreached_tries_ += is_unreached ? 1 : 0;
  const bool has_not_run =
      ended->end() == attempt_end::shed && context_.settings.names.has_not_run_statuses;
  if (has_not_run) {
    // The entry refuses the request itself, as not run and with a Retry-After.
    failure_ = failed(503, "servers_refused", "every server that was tried refused the request",
                      may_have_run_);
  } else if (ended->has_answer()) {
    fallback_ = ended;
  } else if (ended->had_no_connection()) {
    failure_ = failed(503, "upstream_connections_exhausted",
                      "all connections to the backend server are in use", may_have_run_);
    context_.holds.note_refused(auth_.service->name, base::clock::now());
    if (active_tries_.empty()) {
      start_try();
    }
    return nullptr;
  } else {
    failure_ = refusal_of(ended->end(), may_have_run_);
  }
  last_failed_try_ = ended->to_attempt(auth_, fingerprint_);
  return nullptr;
}

void request_handler::cancel_all() {
  for (auto& pair : active_tries_) {
    may_have_run_ = may_have_run_ || pair.main->was_sent();
    pair.main->cancel();
    if (pair.check) {
      pair.check->cancel();
    }
    report(*pair.main);
  }
  active_tries_.clear();
}

void request_handler::report(exchange& ex) {
  if (!ex.mark_reported()) {
    return;
  }
  const auto attempt = ex.to_attempt(auth_, fingerprint_);
  context_.hook.report(auth_, attempt);
  if (context_.hook.settle_try) {
    ++unresolved_->count;
    context_.hook.settle_try(attempt, [state = unresolved_, wake = wake_] {
      --state->count;
      wake->notify();
    });
  }
}

refusal request_handler::refusal_of_failure() const {
  refusal r;
  if (caller_->is_aborted) {
    r = cut_by_stop();
  } else if (body_failure_) {
    r = *body_failure_;
  } else if (failure_) {
    r = *failure_;
  } else if (caller_->is_cut) {
    r = failed(499, "earlier_answer_cut",
               "the connection was closed within the answer to an earlier request", false);
  } else {
    r = failed(499, "caller_gone", "the caller closed the connection", false);
  }
  if (may_have_run_) {
    r.ran = ran_state::unknown;
  }
  return r;
}

} // namespace kingcupshunt::proxy
