#include "request_handler.h"

#include "kingcupshunt/proxy/head_checks.h"

namespace kingcupshunt::proxy {

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
                     "the body arrived more slowly than the least rate while memory was short",
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

/// Forwards a streamed body. Only one piece is buffered at a time, so that a slow upstream slows
/// the caller down.
awaitable<void> request_handler::pump_body(exchange_ptr to) {
  if (is_waiting_for_continue_) {
    co_await send_continue();
  }
  caller_->stream->expires_at(auth_.deadline);
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
  }
  is_pumping_ = false;
  if (is_last && !must_stop_pump_) {
    start_watch(caller_);
  }
  wake_->notify();
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
