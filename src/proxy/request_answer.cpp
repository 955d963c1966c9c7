#include <algorithm>

#include "request_handler.h"

#include "kingcupshunt/proxy/header_rewrite.h"

namespace kingcupshunt::proxy {

namespace http = boost::beast::http;
using health::attempt_end;

bool request_handler::must_close() const {
  const auto& parser = request_->parser;
  // The answers to requests behind this one are still to be sent.
  return caller_->is_last(*request_) &&
         (caller_->is_closing || context_.is_stopping || context_.stop || !parser.is_done() ||
          !parser.keep_alive());
}

/// Waits until the requests before this one are answered, or the caller has disconnected.
awaitable<void> request_handler::wait_for_answer_turn() {
  while (!caller_->is_first(*request_) && !caller_->is_disconnected) {
    co_await wake_->wait_until(base::time_point::max());
  }
}

base::time_point request_handler::write_deadline() const {
  return std::max(auth_.deadline, base::clock::now() + context_.settings.write_timeout);
}

awaitable<void> request_handler::write_to_caller(std::string_view head, std::string_view body) {
  caller_->is_closing = caller_->is_closing || must_close();
  if (caller_->is_disconnected) {
    co_return;
  }
  caller_->stream->expires_at(write_deadline());
  const auto ec = co_await caller_->stream->write(head, body);
  if (ec) {
    caller_->mark_disconnected();
  } else {
    caller_->stream->expires_at(base::time_point::max());
  }
  co_return;
}

/// "Not run" covers all attempts with an idempotency key. Before the reservation has confirmed that
/// there was no earlier attempt, the state is unknown.
refusal request_handler::with_key_history(refusal r) const {
  const bool has_history = is_reserving() && head_.idempotency_key.has_value();
  if (has_history && !was_reserved_ && r.ran == ran_state::no) {
    r.ran = ran_state::unknown;
  }
  return r;
}

/// Applies where the status states whether the request has run. A request that may have run is not
/// refused with a "not run" status. A request that has certainly not run gets 503 instead of other
/// failure statuses, so that the caller may repeat it.
refusal request_handler::with_status_of_ran_state(refusal r) const {
  constexpr base::milliseconds default_retry_after{250}; // about the time until a slot is freed
  const bool is_failure_status = r.status == 499 || r.status >= 500;
  if (is_not_run_status(r.status) && r.ran != ran_state::no) {
    r.status = 502;
    r.retry_after.reset();
  } else if (is_failure_status && r.ran == ran_state::no) {
    r.status = 503;
  }
  if ((r.status == 503 || r.status == 429) && !r.retry_after) {
    r.retry_after = default_retry_after;
  }
  return r;
}

awaitable<void> request_handler::refuse(const refusal& reason) {
  auto r = with_key_history(reason);
  if (context_.settings.names.has_not_run_statuses) {
    r = with_status_of_ran_state(std::move(r));
  }
  context_.metrics.count_refusal(r.reason);
  if (context_.hook.on_refusal) {
    context_.hook.on_refusal(head_, r, tried_);
  }
  co_await wait_for_answer_turn();
  // After invalid framing the start of the next request is unknown.
  const bool is_framing_uncertain = r.status == 400 || r.status == 501 || r.status == 505;
  caller_->is_closing =
      caller_->is_closing || must_close() || (is_framing_uncertain && !request_->may_be_followed);
  if (caller_->is_disconnected) {
    caller_->is_closing = true;
    co_return;
  }
  const auto text =
      refusal_answer(r, head_.request_id, is_head_method_, must_close(), context_.settings.names);
  co_await write_to_caller(text, {});
}

void request_handler::settle_reservation(const exchange* ex) {
  if (!reservation_) {
    return;
  }
  const auto id = *std::exchange(reservation_, std::nullopt);
  const bool was_refused = ex != nullptr && ex->end() == attempt_end::shed;
  if (!may_have_run_ && (ex == nullptr || was_refused)) {
    context_.hook.release(id);
    return;
  }
  if (ex == nullptr || !ex->is_whole()) {
    context_.hook.complete(id, std::nullopt);
    return;
  }
  const auto& head = ex->answer();
  context_.hook.complete(id, stored_answer{head.result_int(),
                                           std::string(head[http::field::content_type]),
                                           ex->collected_body()});
}

awaitable<void> request_handler::deliver_stored(const stored_answer& answer) {
  co_await wait_for_answer_turn();
  response_header fields;
  fields.result(answer.status);
  if (!answer.content_type.empty()) {
    fields.set(http::field::content_type, answer.content_type);
  }
  const body_framing framing{false, answer.body.size()};
  auto head = caller_head(fields, framing, head_.request_id, must_close(), context_.settings.names);
  head.insert(head.size() - 2, "X-Kingcupshunt-Replayed: 1\r\n");
  context_.metrics.count("replayed_answers_total");
  co_await write_to_caller(head, answer.body);
}

awaitable<void> request_handler::deliver(const exchange_ptr& ex) {
  context_.metrics.count("answers_total", std::to_string(ex->answer().result_int() / 100) + "xx");
  if (!ex->is_whole()) {
    co_await deliver_rest(ex);
    co_return;
  }
  settle_reservation(ex.get());
  report(*ex);
  co_await wait_for_answer_turn();
  body_framing framing{false, ex->collected_body().size()};
  if (ex->is_bodyless()) {
    framing =
        body_framing{ex->answer().count(http::field::transfer_encoding) > 0, ex->answer_length()};
  }
  if (ex->answer().result_int() == 204) {
    framing = body_framing{};
  }
  const auto head =
      caller_head(ex->answer(), framing, head_.request_id, must_close(), context_.settings.names);
  co_await write_to_caller(head, ex->collected_body());
}

/// Forwards an answer piece by piece, starting with the part that was collected before.
awaitable<void> request_handler::deliver_rest(const exchange_ptr& ex) {
  const body_framing framing{!ex->answer_length(), ex->answer_length()};
  const bool is_reserved = reservation_.has_value();
  request_->on_disconnect = [this, ex, is_reserved] {
    if (!is_reserved || caller_->is_aborted) {
      ex->cancel();
    }
  };
  if (context_.hook.note_answer_relayed) {
    context_.hook.note_answer_relayed(auth_, ex->target().id);
  }
  const auto hold = hold_server([caller = caller_] { return caller->stream->is_writing(); },
                                [caller = caller_] {
                                  caller->stream->close();
                                  caller->mark_disconnected();
                                });
  co_await wait_for_answer_turn();
  const auto head =
      caller_head(ex->answer(), framing, head_.request_id, must_close(), context_.settings.names);
  co_await write_to_caller(head, {});
  std::string piece = ex->take_collected_body();
  std::size_t size = piece.size();
  base::memory_budget::lease lease; // of `piece` and of the buffer that it is read through
  auto state = body_state::more;
  caller_->stream->expires_at(write_deadline());
  for (;;) {
    if (!caller_->is_disconnected && (size > 0 || state == body_state::done)) {
      const std::string_view data{piece.data(), size};
      const bool is_last = state == body_state::done;
      error_code ec;
      if (!framing.is_chunked) {
        ec = co_await caller_->stream->write(data);
      } else if (size > 0) {
        const auto size_line = chunk_size_line(size);
        const std::string_view end = is_last ? "\r\n0\r\n\r\n" : "\r\n";
        ec = co_await caller_->stream->write(size_line, data, end);
      } else {
        ec = co_await caller_->stream->write("0\r\n\r\n");
      }
      if (ec) {
        caller_->mark_disconnected();
      }
    }
    const bool is_ended = state != body_state::more || caller_->is_aborted ||
                          (caller_->is_disconnected && !is_reserved);
    if (is_ended) {
      break;
    }
    if (lease.size() == 0) {
      std::string().swap(piece); // an assignment would keep the memory
      ex->release_body_memory();
      lease = context_.answer_memory.take_some(2 * relay_piece_bytes, 2 * least_relay_piece_bytes);
      piece.resize(lease.size() / 2);
      ex->limit_reads(piece.size());
    }
    const auto got = co_await ex->read_more(piece.data(), piece.size());
    size = got.size;
    state = got.state;
  }
  request_->on_disconnect = nullptr;
  if (state != body_state::done) {
    // Closing the connection within the body shows the caller that the answer is incomplete.
    caller_->is_cut = !caller_->is_disconnected;
    caller_->mark_disconnected();
    context_.metrics.count("answers_cut_total", health::to_string(ex->end()));
    if (state == body_state::more) {
      ex->cancel();
    }
  }
  caller_->is_closing = caller_->is_closing || caller_->is_disconnected;
  caller_->stream->expires_at(base::time_point::max());
  // The body was forwarded without being stored, so the key keeps the state "may have run".
  settle_reservation(ex->end() == attempt_end::shed ? ex.get() : nullptr);
  report(*ex);
}

} // namespace kingcupshunt::proxy
