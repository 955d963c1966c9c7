#include "request_handler.h"

#include <algorithm>
#include <charconv>

#include "kingcupshunt/proxy/head_checks.h"
#include "kingcupshunt/proxy/header_rewrite.h"

namespace kingcupshunt::proxy {

namespace http = boost::beast::http;

namespace {

std::string_view view_of(boost::beast::string_view s) noexcept {
  return {s.data(), s.size()};
}

refusal not_run(unsigned status, std::string reason, std::string message) {
  return refusal{status, std::move(reason), std::move(message), ran_state::no, std::nullopt};
}

/// Result of a hook that may complete later, shared with the hook.
template <class T>
struct pending {
  std::optional<decided<T>> result;
  bool is_abandoned = false;
  std::shared_ptr<event> wake;
};

} // namespace

request_handler::request_handler(entry_context& context, std::shared_ptr<caller_connection> caller,
                                 std::shared_ptr<caller_request> request)
    : context_(context), caller_(std::move(caller)), request_(std::move(request)),
      wake_(request_->wake), started_(request_->arrival_time) {}

awaitable<void> request_handler::serve() {
  std::optional<refusal> refused = prepare();
  if (!refused && head_.path.starts_with("/.kingcupshunt/")) {
    const bool is_answered = co_await answer_locally();
    if (!is_answered) {
      const auto unknown = not_run(404, "not_found", "no such path on this instance");
      co_await refuse(unknown);
    }
    co_return;
  }
  if (!refused) {
    refused = co_await wait_until_ready();
  }
  if (!refused) {
    refused = prepare_body();
  }
  if (!refused) {
    refused = co_await wait_for_earlier_requests();
  }
  if (!refused) {
    refused = co_await prepare_first_try();
  }
  if (refused) {
    co_await refuse(*refused);
  } else if (replay_) {
    co_await deliver_stored(*replay_);
  } else {
    co_await try_upstreams();
  }
  co_await stop_pump();
  if (is_admitted_) {
    context_.hook.finish(auth_);
  }
}

awaitable<void> request_handler::try_upstreams() {
  const auto ex = co_await find_answer();
  if (ex) {
    co_await deliver(ex);
  } else {
    settle_reservation(nullptr);
    const auto failure = refusal_of_failure();
    co_await refuse(failure);
  }
  co_return;
}

std::optional<refusal> request_handler::prepare() {
  const auto& head = request_->parser.get().base();
  is_head_method_ = head.method() == http::verb::head;
  head_.request_id = context_.next_request_id();
  head_.arrival_time = started_;
  head_.method = std::string(head.method_string());
  head_.caller_address = caller_->address;
  head_.connection_serial = request_->serial;
  if (auto problem = check_request(head)) {
    return problem;
  }
  auto key = bearer_key_of(head, context_.settings.names.key_scheme);
  if (!key) {
    return key.error();
  }
  head_.bearer_key = std::move(key.value());
  auto path = path_of(view_of(head.target()));
  if (!path) {
    return path.error();
  }
  head_.path = std::move(path.value());
  head_.host = host_of(view_of(head[http::field::host]));
  read_control_fields(head);
  if (const auto it = head.find("Idempotency-Key"); it != head.end()) {
    head_.idempotency_key = std::string(it->value());
  }
  if (const auto text = head[http::field::content_length]; !text.empty()) {
    head_.content_length = std::stoull(std::string(text));
  }
  if (head_.bearer_key) {
    const auto has_key = [&](std::string_view text) {
      return contains_key(text, *head_.bearer_key);
    };
    if (has_key(view_of(head.target())) || has_key(head_.method) ||
        has_key(view_of(head[http::field::host])) ||
        has_key(head_.idempotency_key.value_or(std::string()))) {
      return bad_request("key_outside_authorization",
                         "the key occurs outside the Authorization header");
    }
  }
  return std::nullopt;
}

void request_handler::read_control_fields(const request_header& head) {
  const auto& names = context_.settings.names;
  const auto id = view_of(head[names.request_id]);
  if (names.is_request_id_echoed ? !id.empty() : is_usable_request_id(id, head_.bearer_key)) {
    head_.request_id = id;
  }
  if (!names.caller_timeout.empty()) {
    const auto text = view_of(head[names.caller_timeout]);
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (ec == std::errc() && end == text.data() + text.size() && ms >= 0) {
      head_.caller_timeout = base::milliseconds(ms);
    }
  }
}

/// The body is not read yet, since its limits depend on the route.
awaitable<std::optional<refusal>> request_handler::wait_until_ready() {
  if (!context_.hook.wait_until_ready) {
    co_return std::nullopt;
  }
  auto waiting = std::make_shared<pending<void>>();
  waiting->wake = wake_;
  context_.hook.wait_until_ready([waiting](decided<void> result) {
    if (!waiting->is_abandoned) {
      waiting->result.emplace(std::move(result));
      waiting->wake->notify();
    }
  });
  if (waiting->result) {
    co_return std::nullopt;
  }
  auth_.deadline = started_ + context_.settings.total_timeout;
  if (head_.caller_timeout) {
    auth_.deadline = std::min(auth_.deadline, started_ + *head_.caller_timeout);
  }
  if (request_->parser.is_done()) {
    start_watch(caller_);
  }
  const auto refused = co_await wait_for(waiting);
  co_return refused;
}

std::optional<refusal> request_handler::prepare_body() {
  auto authorized = context_.hook.authorize(head_);
  if (!authorized) {
    return authorized.error();
  }
  auth_ = std::move(authorized.value());
  auth_.deadline = std::min(auth_.deadline, started_ + context_.settings.total_timeout);
  if (head_.caller_timeout) {
    auth_.deadline = std::min(auth_.deadline, started_ + *head_.caller_timeout);
  }
  body_memory_ = caller_memory::lease(body_holders());
  if (base::clock::now() >= auth_.deadline) {
    return not_run(504, "deadline_exceeded", "the deadline passed before the request ran");
  }

  const auto& head = request_->parser.get().base();
  const auto& route = *auth_.route;
  is_chunked_ = request_->parser.chunked();
  is_waiting_for_continue_ = head.count(http::field::expect) > 0 && !request_->parser.is_done();
  const auto length = head_.content_length.value_or(0);
  if (length > route.body_limit) {
    return not_run(413, "body_too_large", "the body is larger than the route allows");
  }
  if (is_reserving()) {
    if (!head_.idempotency_key || head_.idempotency_key->empty()) {
      return not_run(428, "idempotency_key_required",
                     "this route requires an Idempotency-Key header to distinguish a resend "
                     "from a new request");
    }
    if (length > context_.settings.max_replay_bytes) {
      return not_run(413, "non_repeatable_body_too_large",
                     "the body of a request that may not be repeated is at most 64 KiB");
    }
  }
  const bool is_long = length > context_.settings.max_replay_bytes;
  const bool is_chunked_whole = context_.settings.must_read_chunked_whole ||
                                route.kind == config::request_kind::once ||
                                route.kind == config::request_kind::upload;
  const bool may_be_long = is_long || (is_chunked_ && !is_chunked_whole);
  is_streamed_ = !request_->parser.is_done() && !is_reserving() && may_be_long;
  if (!is_streamed_ && must_stream_upload()) {
    is_streamed_ = true;
    context_.metrics.count("streamed_uploads_total");
  }
  auth_.has_streamed_body = is_streamed_;
  if (is_chunked_ && !is_streamed_) {
    checked_head_ = head; // the parser adds trailers, which are not checked, to its fields
  }
  return std::nullopt;
}

/// A request that may not be repeated, or whose body is read here, is served alone on its
/// connection: what is behind a body or a closed connection has then certainly not run.
awaitable<std::optional<refusal>> request_handler::wait_for_earlier_requests() {
  const bool is_alone = !request_->parser.is_done() || !auth_.route->is_repeatable();
  while (is_alone && !caller_->is_first(*request_)) {
    const auto refused = co_await wait_for_wake();
    if (refused) {
      co_return refused;
    }
  }
  if (!request_->parser.is_done()) {
    co_await stop_watch(*caller_);
  }
  co_return std::nullopt;
}

/// Lets the next request be served before this one is answered. From here on, an answer to this one
/// closes the connection only when it is the last.
void request_handler::allow_next_request() {
  if (auth_.route->is_repeatable() && request_->parser.keep_alive()) {
    request_->may_be_followed = true;
    caller_->changed.notify();
  }
}

awaitable<bool> request_handler::answer_locally() {
  if (!context_.intercept) {
    co_return false;
  }
  const auto answer = context_.intercept(head_);
  if (!answer) {
    co_return false;
  }
  co_await wait_for_answer_turn();
  response_header fields;
  fields.result(answer->status);
  fields.set(http::field::content_type, answer->content_type);
  if (answer->max_age) {
    fields.set(http::field::cache_control, "max-age=" + std::to_string(answer->max_age->count()));
  }
  const body_framing framing{false, answer->body.size()};
  const auto head =
      caller_head(fields, framing, head_.request_id, must_close(), context_.settings.names);
  const std::string_view body = is_head_method_ ? std::string_view{} : answer->body;
  co_await write_to_caller(head, body);
  co_return true;
}

bool request_handler::may_outlast_stop() const {
  const auto& stop = context_.stop;
  return stop && auth_.deadline + context_.settings.answer_grace > stop->end;
}

/// False when it is too late in a planned stop to send the request to a server.
bool request_handler::has_time_before_stop() const {
  return !may_outlast_stop() || base::clock::now() < context_.stop->last_start();
}

refusal request_handler::cut_by_stop() {
  return not_run(502, "cut_by_stop", "the instance stopped before the answer was complete");
}

/// The caller need not wait: the other instances are not affected.
refusal request_handler::refused_by_stop() {
  auto out = not_run(503, "stopping", "the instance is stopping; send the request to another one");
  out.retry_after = base::milliseconds(0);
  return out;
}

/// Reads the body unless it is streamed, admits the request, prepares the upstream request and
/// reserves the idempotency key.
awaitable<std::optional<refusal>> request_handler::prepare_first_try() {
  if (!has_time_before_stop()) {
    co_return refused_by_stop();
  }
  if (is_streamed_) {
    if (auto refused = lease_relay_piece()) {
      co_return refused;
    }
  }
  const bool is_read_first = !is_streamed_ && !is_waiting_for_continue_;
  if (is_read_first) {
    // The body is read before a turn is taken, so that a slow caller does not occupy one.
    auto refused = co_await read_whole_body();
    if (refused) {
      co_return refused;
    }
    start_watch(caller_);
    allow_next_request();
  }
  auto refused = co_await admit();
  if (refused) {
    co_return refused;
  }
  if (!is_streamed_ && is_waiting_for_continue_) {
    co_await send_continue();
    refused = co_await read_whole_body();
    if (refused) {
      co_return refused;
    }
    start_watch(caller_);
  }
  prepare_upstream_request();
  if (is_reserving()) {
    refused = co_await reserve();
  }
  co_return refused;
}

awaitable<void> request_handler::send_continue() {
  is_waiting_for_continue_ = false;
  caller_->stream->expires_at(auth_.deadline);
  co_await caller_->stream->write("HTTP/1.1 100 Continue\r\n\r\n");
}

std::string request_handler::workspace_name() const {
  return auth_.workspace ? auth_.workspace->name : std::string();
}

void request_handler::prepare_upstream_request() {
  const auto& head = checked_head_ ? *checked_head_ : request_->parser.get().base();
  upstream_request_ = std::make_shared<upstream_request>();
  body_framing framing{is_streamed_ && is_chunked_, std::nullopt};
  if (is_streamed_) {
    framing.length = head_.content_length;
  } else if (head_.content_length || is_chunked_) {
    framing.length = body_.size();
  }
  upstream_request_->head = upstream_head(head, head_.bearer_key, workspace_name(),
                                          head_.request_id, framing, context_.settings.names);
  upstream_request_->is_streamed = is_streamed_;
  upstream_request_->is_head = is_head_method_;
  upstream_request_->is_resendable = auth_.route->is_repeatable() && !is_streamed_;
  upstream_request_->is_open_route = auth_.route->is_open;
  upstream_request_->must_store = is_reserving();
  upstream_request_->request_id = head_.request_id;
  upstream_request_->deadline = auth_.deadline;
  // A streamed body is not read yet; its length represents it in the fingerprint.
  std::string identity = workspace_name();
  identity.append("\n").append(auth_.route->name).append("\n").append(head_.method);
  identity.append("\n").append(view_of(head.target())).append("\n");
  identity.append(is_streamed_ ? std::to_string(head_.content_length.value_or(0)) : body_);
  fingerprint_ = base::hash64(identity);
  if (!is_streamed_) {
    upstream_request_->body = std::move(body_);
    upstream_request_->memory = std::move(body_memory_);
  }
}

/// Waits for a notification. Returns a refusal when the request can't go on: the caller has
/// disconnected, the deadline has passed or it is too late in a planned stop.
awaitable<std::optional<refusal>> request_handler::wait_for_wake() {
  if (caller_->is_disconnected) {
    co_return caller_->is_aborted ? cut_by_stop()
                                  : not_run(499, "caller_gone", "the caller closed the connection");
  }
  if (base::clock::now() >= auth_.deadline) {
    co_return not_run(504, "deadline_exceeded", "the deadline passed before the request ran");
  }
  if (!has_time_before_stop()) {
    co_return refused_by_stop();
  }
  co_await wake_->wait_until(may_outlast_stop() ? context_.stop->last_start() : auth_.deadline);
  co_return std::nullopt;
}

/// Waits until a hook has completed or the request can't go on.
template <class Waiting>
awaitable<std::optional<refusal>> request_handler::wait_for(const Waiting& waiting) {
  while (!waiting->result) {
    auto refused = co_await wait_for_wake();
    if (refused) {
      waiting->is_abandoned = true;
      co_return refused;
    }
  }
  if (!*waiting->result) {
    co_return waiting->result->error();
  }
  co_return std::nullopt;
}

awaitable<std::optional<refusal>> request_handler::admit() {
  auto waiting = std::make_shared<pending<void>>();
  waiting->wake = wake_;
  context_.hook.admit(head_, auth_,
                      [waiting, &context = context_, auth = auth_](decided<void> result) {
                        if (!waiting->is_abandoned) {
                          waiting->result.emplace(std::move(result));
                          waiting->wake->notify();
                        } else if (result) {
                          context.hook.finish(auth);
                        }
                      });
  const auto wanted = waiting->result
                          ? std::shared_ptr<void>()
                          : context_.holds.want(auth_.service->name, base::clock::now());
  const auto refused = co_await wait_for(waiting);
  is_admitted_ = !refused;
  co_return refused;
}

/// Requests permission for the next try. When it is refused, returns false and sets failure_.
awaitable<bool> request_handler::plan_try() {
  if (!context_.hook.plan_try) {
    co_return true;
  }
  auto waiting = std::make_shared<pending<void>>();
  waiting->wake = wake_;
  context_.hook.plan_try(
      auth_, fingerprint_,
      [waiting, &context = context_, fingerprint = fingerprint_](decided<void> result) {
        if (!waiting->is_abandoned) {
          waiting->result.emplace(std::move(result));
          waiting->wake->notify();
        } else if (result) {
          context.hook.abandon_try(fingerprint);
        }
      });
  auto refused = co_await wait_for(waiting);
  if (refused) {
    failure_ = std::move(refused);
    co_return false;
  }
  co_return true;
}

awaitable<std::optional<refusal>> request_handler::reserve() {
  auto waiting = std::make_shared<pending<reservation>>();
  waiting->wake = wake_;
  context_.hook.reserve(head_, auth_, fingerprint_,
                        [waiting, &context = context_](decided<reservation> result) {
                          if (!waiting->is_abandoned) {
                            waiting->result.emplace(std::move(result));
                            waiting->wake->notify();
                          } else if (result && !result.value().answer) {
                            context.hook.release(result.value().attempt_id);
                          }
                        });
  auto refused = co_await wait_for(waiting);
  if (refused) {
    co_return refused;
  }
  auto& granted = waiting->result->value();
  if (granted.answer) {
    replay_ = std::move(granted.answer);
    co_return std::nullopt;
  }
  was_reserved_ = true;
  // The grant may arrive at the same time as the deadline or the caller's disconnection.
  if (caller_->is_disconnected || base::clock::now() >= auth_.deadline) {
    context_.hook.release(granted.attempt_id);
    co_return not_run(504, "deadline_exceeded", "the deadline passed before the request ran");
  }
  reservation_ = granted.attempt_id;
  co_return std::nullopt;
}

} // namespace kingcupshunt::proxy
