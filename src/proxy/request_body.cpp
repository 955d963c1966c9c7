#include "request_handler.h"

#include <algorithm>
#include <utility>

#include "kingcupshunt/proxy/head_checks.h"

namespace kingcupshunt::proxy {

namespace {

refusal refused_as_too_large(std::string reason, std::string message) {
  return refusal{413, std::move(reason), std::move(message), ran_state::no, std::nullopt};
}

} // namespace

std::optional<refusal> request_handler::refusal_of_body(body_state state) const {
  switch (state) {
  case body_state::closed:
    return refusal{499, "caller_gone", "the caller closed the connection", ran_state::no,
                   std::nullopt};
  case body_state::no_memory:
    return refused_for_memory();
  case body_state::timed_out:
    if (caller_->is_dropped) {
      return refusal{408, "body_too_slow",
                     "the body arrived more slowly than the least rate while others waited",
                     ran_state::no, std::nullopt};
    }
    return refusal{408, "body_timeout", "the body did not arrive before the deadline",
                   ran_state::no, std::nullopt};
  case body_state::malformed:
    return bad_request("bad_body", "the body's chunks are not valid");
  default:
    return std::nullopt;
  }
}

/// True for an upload of known length that there is no memory to hold whole.
bool request_handler::must_stream_upload() {
  const bool may_stream = auth_.route->kind == config::request_kind::upload &&
                          head_.content_length && !request_->parser.is_done();
  const auto length = head_.content_length.value_or(0);
  return may_stream && !context_.extend(body_memory_, length, caller_memory::use::body);
}

/// Before anything is sent to a server.
std::optional<refusal> request_handler::lease_relay_piece() {
  const bool is_leased =
      context_.extend(body_memory_, relay_piece_bytes, caller_memory::use::body) ||
      context_.extend(body_memory_, least_relay_piece_bytes, caller_memory::use::body);
  return is_leased ? std::nullopt : std::optional(refused_for_memory());
}

caller_memory::holders request_handler::body_holders() const {
  auto out = caller_->holders;
  if (auth_.workspace) {
    out.push_back(context_.memory.counter_of('w', auth_.workspace->name));
  }
  out.push_back(context_.memory.counter_of('r', auth_.route->name));
  return out;
}

/// Raises the memory of the body. When there is not enough, waits for a moment for the memory of
/// stalled requests, if there are any.
awaitable<bool> request_handler::lease_body(std::size_t bytes) {
  constexpr int max_waits = 10;
  constexpr base::milliseconds wait{10};
  bool is_freeing = false;
  for (int i = 0; i <= max_waits; ++i) {
    if (context_.extend(body_memory_, bytes, caller_memory::use::body,
                        i == 0 ? &is_freeing : nullptr)) {
      co_return true;
    }
    if (!is_freeing || caller_->is_disconnected) {
      break;
    }
    co_await wake_->wait_until(base::clock::now() + wait);
  }
  co_return false;
}

awaitable<std::optional<refusal>> request_handler::read_whole_body() {
  if (request_->parser.is_done()) {
    co_return std::nullopt;
  }
  caller_->stream->expires_at(auth_.deadline);
  const auto own = std::exchange(caller_->holders, body_holders());
  caller_->start_reading(base::clock::now());
  auto refused = co_await read_leased_body();
  caller_->stop_reading();
  caller_->holders = own;
  caller_->stream->release_buffer();
  if (refused) {
    std::string().swap(body_); // an assignment would keep the memory
    context_.memory.shrink(body_memory_, 0);
    co_return refused;
  }
  caller_->stream->expires_at(base::time_point::max());
  co_return std::nullopt;
}

/// Reads into body_ itself, since a copy would double its memory.
awaitable<std::optional<refusal>> request_handler::read_leased_body() {
  constexpr std::size_t first_chunked_bytes = std::size_t{16} * 1024;
  auto& parser = request_->parser;
  const auto most = context_.settings.max_replay_bytes;
  std::size_t size = 0;
  while (!parser.is_done()) {
    if (size == body_.size()) {
      auto next = std::max(2 * size, first_chunked_bytes);
      if (head_.content_length) {
        next = std::max<std::size_t>(*head_.content_length, 1);
      } else if (next > most) {
        next = most + 1; // one byte more shows that the body is too large
      }
      const bool is_leased = co_await lease_body(next);
      if (!is_leased) {
        co_return refused_for_memory();
      }
      caller_->body_bytes = next;
      body_.resize(next);
    }
    const auto got =
        co_await read_body(*caller_->stream, parser, body_.data() + size, body_.size() - size);
    size += got.size;
    if (auto refused = refusal_of_body(got.state)) {
      co_return refused;
    }
    if (size > auth_.route->body_limit) {
      co_return refused_as_too_large("body_too_large", "the body is larger than the route allows");
    }
    if (size > most) {
      co_return refused_as_too_large("non_repeatable_body_too_large",
                                     "the body is longer than one that is held whole may be");
    }
  }
  body_.resize(size);
  if (!head_.content_length) {
    body_.shrink_to_fit();
    context_.memory.shrink(body_memory_, size);
  }
  co_return std::nullopt;
}

/// Forwards a streamed body. Only one piece is buffered at a time, so that a slow upstream slows
/// the caller down.
awaitable<void> request_handler::pump_body(exchange_ptr to) {
  if (is_waiting_for_continue_) {
    co_await send_continue();
  }
  caller_->stream->expires_at(auth_.deadline);
  const auto hold = hold_server([this] { return is_reading_body_; },
                                [caller = caller_] {
                                  caller->is_dropped = true;
                                  caller->stream->expires_at(base::clock::now());
                                });
  std::string piece(body_memory_.size(), '\0');
  bool is_last = false;
  while (!is_last && !must_stop_pump_) {
    is_reading_body_ = true;
    const auto got =
        co_await read_body(*caller_->stream, request_->parser, piece.data(), piece.size());
    is_reading_body_ = false;
    if (must_stop_pump_) {
      break;
    }
    body_bytes_ += got.size;
    body_failure_ = refusal_of_body(got.state);
    caller_->is_disconnected = caller_->is_disconnected || got.state == body_state::closed;
    if (!body_failure_ && body_bytes_ > auth_.route->body_limit) {
      body_failure_ = refusal{413, "body_too_large", "the body is larger than the route allows",
                              ran_state::unknown, std::nullopt};
    }
    if (body_failure_) {
      break;
    }
    is_last = got.state == body_state::done;
    const bool is_written = co_await to->write_body({piece.data(), got.size}, is_chunked_, is_last);
    if (!is_written) {
      break; // the upstream may have answered early; exchange reads its answer
    }
    if (is_last && context_.hook.note_body_sent) {
      context_.hook.note_body_sent(auth_, to->target().id);
    }
  }
  is_pumping_ = false;
  if (is_last && !must_stop_pump_) {
    start_watch(caller_);
  }
  wake_->notify();
}

/// While the result lives, the request may be ended by `end` when its caller stalls and others need
/// its server. `is_waiting` tells whether it waits for its caller.
std::shared_ptr<void> request_handler::hold_server(std::function<bool()> is_waiting,
                                                   std::function<void()> end) {
  server_hold hold;
  hold.service = auth_.service->name;
  hold.moved = [stream = caller_->stream] { return stream->moved(); };
  hold.is_waiting = std::move(is_waiting);
  hold.end = std::move(end);
  return context_.holds.add(std::move(hold), base::clock::now());
}

/// Stops forwarding a body that no upstream reads any more.
awaitable<void> request_handler::stop_pump() {
  must_stop_pump_ = true;
  while (is_pumping_) {
    error_code ignored;
    caller_->stream->socket().cancel(ignored);
    co_await wake_->wait_until(base::time_point::max());
  }
  co_return;
}

} // namespace kingcupshunt::proxy
