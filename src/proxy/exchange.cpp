#include "exchange.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "answer_owner.h"
#include "kingcupshunt/base/http_status.h"
#include "kingcupshunt/proxy/head_checks.h"
#include "kingcupshunt/proxy/header_rewrite.h"
#include "tunnel.h"

namespace kingcupshunt::proxy {

namespace http = boost::beast::http;
namespace asio = boost::asio;
using health::attempt_end;

namespace {

constexpr std::size_t max_answer_fields = 200;
/// A longer head counts toward the memory for answers.
constexpr std::size_t small_head_bytes = std::size_t{8} * 1024;
/// The buffer of a head has up to twice its size, and the fields are copied once.
constexpr std::size_t head_memory_factor = 3;
/// First piece of a body that is collected without knowing how much of it will come.
constexpr std::size_t least_piece_bytes = std::size_t{16} * 1024;

attempt_end end_of_failed_body(body_state state) noexcept {
  return state == body_state::closed      ? attempt_end::truncated
         : state == body_state::timed_out ? attempt_end::timed_out
                                          : attempt_end::malformed;
}

} // namespace

exchange::exchange(entry_context& context, upstream_target target,
                   std::shared_ptr<const upstream_request> request, connection_need need,
                   std::shared_ptr<event> wake)
    : context_owner_(context.shared_from_this()), context_(context), target_(std::move(target)),
      request_(std::move(request)), need_(need), wake_(std::move(wake)),
      started_(base::clock::now()) {}

void exchange::start() {
  asio::co_spawn(
      context_.executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void exchange::cancel() {
  is_cancelled_ = true;
  end_ = attempt_end::cancelled;
  release(false);
}

void exchange::release(bool is_reusable) {
  if (const auto connection = std::exchange(connection_, nullptr)) {
    total_ = base::clock::now() - started_;
    if (is_reusable) {
      context_.pool.put(connection, base::clock::now());
    } else {
      context_.pool.drop(connection);
    }
  }
}

awaitable<void> exchange::run() {
  try {
    co_await run_tries();
  } catch (const std::exception&) {
    // An allocation failure for the answer ends only this request.
    has_answer_ = false;
    end_ = attempt_end::cancelled;
    release(false);
  }
  silent_since_.reset();
  is_finished_ = true;
  wake_->notify();
}

awaitable<void> exchange::run_tries() {
  auto need = need_;
  bool has_lost_request = false;
  do {
    co_await run_once(need);
    need = connection_need::fresh;
    if (has_lost_request && end_ == attempt_end::connect_failed) {
      // The connection ended after the request was sent and the server accepts no new connection:
      // the server crashed, possibly because of the request.
      end_ = attempt_end::closed_unanswered;
    }
    has_lost_request = end_ == attempt_end::stale_connection && was_sent_;
    if (end_ == attempt_end::stale_connection) {
      context_.pool.discard_idle(target_.id);
      context_.metrics.count("upstream_stale_connections_total", "failed_in_use");
    }
  } while (!is_cancelled_ && end_ == attempt_end::stale_connection && may_resend());
  if (!has_answer_ || is_whole_) {
    total_ = base::clock::now() - started_;
  }
}

bool exchange::may_resend() const {
  const bool is_allowed = request_->is_resendable || !was_sent_;
  if (!is_allowed || base::clock::now() >= request_->deadline) {
    return false;
  }
  context_.metrics.count_retry("stale_connection");
  return true;
}

void exchange::take_connection(connection_need need) {
  const auto now = base::clock::now();
  connection_ = context_.pool.take(target_.id, need, now);
  if (!connection_ || !context_.settings.names.is_request_id_echoed) {
    return;
  }
  if (connection_->was_reused && connection_->last_request_id == request_->request_id) {
    // The id does not tell a repeated answer from the one to this request.
    context_.pool.drop(connection_);
    connection_ = context_.pool.take(target_.id, connection_need::fresh, now);
  }
  if (connection_) {
    connection_->last_request_id = request_->request_id;
  }
}

awaitable<void> exchange::run_once(connection_need need) {
  if (is_cancelled_) {
    co_return;
  }
  take_connection(need);
  if (!connection_) {
    had_no_connection_ = true;
    end_ = attempt_end::cancelled;
    co_return;
  }
  was_reused_ = connection_->was_reused;
  bool is_ok = co_await connect();
  const auto& may_send = context_.hook.may_send;
  if (is_ok && may_send && !may_send(target_.id, request_->is_open_route)) {
    was_withheld_ = true;
    context_.metrics.count("requests_withheld_total");
    end_ = attempt_end::cancelled;
    release(false);
    co_return;
  }
  if (is_ok) {
    is_ok = co_await send();
  }
  if (is_ok) {
    is_ok = co_await read_head();
  }
  if (is_cancelled_) {
    end_ = attempt_end::cancelled;
  }
  if (!is_ok || is_cancelled_) {
    release(false);
    co_return;
  }
  has_answer_ = true;
  co_await collect();
}

awaitable<bool> exchange::send() {
  const auto stream = connection_->stream;
  const auto left = request_->deadline - base::clock::now();
  stream->reset_written();
  const auto fields = try_fields(base::to_ms(left), target_.instance, context_.settings.names);
  // Set before the write: a cancellation before the write's completion is handled must not treat
  // the request as unsent.
  const bool was_sent_before = std::exchange(was_sent_, true);
  const bool is_parallel = request_->body.size() >= context_.settings.parallel_write_bytes;
  const auto ec = co_await stream->write(request_->head, fields,
                                         is_parallel ? std::string_view{} : request_->body);
  was_sent_ = was_sent_before || stream->written() > 0;
  sent_at_ = base::clock::now();
  if (ec && !is_cancelled_ && stream->written() == 0) {
    end_ = was_reused_ ? attempt_end::stale_connection : attempt_end::closed_unanswered;
    co_return false;
  }
  // An answer may have arrived even after a partial write, so it is read in any case.
  is_body_sent_ = !request_->is_streamed && !ec && !is_parallel;
  if (is_parallel && !ec && !is_cancelled_) {
    asio::co_spawn(
        context_.executor, [self = shared_from_this()] { return self->write_rest(); },
        asio::detached);
  }
  is_ready_for_body_ = request_->is_streamed && !ec;
  if (was_reused_ && is_body_sent_) {
    silent_since_ = sent_at_;
  }
  wake_->notify();
  co_return !is_cancelled_;
}

/// Writes the body while the answer is awaited, since an upstream may refuse a long request before
/// it has read it. The connection is reused only when the whole body was written before the end of
/// the answer.
awaitable<void> exchange::write_rest() {
  const auto connection = connection_;
  if (!connection) {
    co_return;
  }
  const auto ec = co_await connection->stream->write(request_->body);
  if (!ec && connection == connection_) {
    is_body_sent_ = true;
    sent_at_ = base::clock::now();
  }
}

void exchange::fail_read(bool has_bytes) {
  const auto& stream = *connection_->stream;
  if (stream.is_timed_out()) {
    end_ = attempt_end::timed_out;
  } else if (has_bytes) {
    end_ = attempt_end::truncated;
  } else {
    // After an interim answer the server has the request, so that its end may be a crash.
    const bool is_stale = was_reused_ && interim_answers_ == 0;
    end_ = is_stale ? attempt_end::stale_connection : attempt_end::closed_unanswered;
  }
}

/// Reads until a whole head is buffered. The caller determines its size.
awaitable<bool> exchange::read_head_bytes() {
  const auto stream = connection_->stream;
  stream->limit_reads(timed_socket::min_read_bytes);
  std::size_t searched = 0;
  while (find_head_end(stream->buffered(), searched) == std::string_view::npos) {
    searched = stream->buffered().size();
    const bool has_room =
        searched <= small_head_bytes ||
        context_.answer_memory.extend(answer_lease_, head_memory_factor * searched);
    if (searched > context_.settings.max_answer_head_bytes || !has_room) {
      context_.metrics.count("upstream_long_heads_total", has_room ? "too_long" : "no_memory");
      end_ = attempt_end::malformed;
      co_return false;
    }
    const auto ec = co_await stream->read_some();
    if (is_cancelled_) {
      co_return false;
    }
    if (ec) {
      fail_read(searched > 0);
      co_return false;
    }
    if (searched == 0) {
      silent_since_.reset();
      const bool was_sent_before = sent_at_ != base::time_point{};
      first_byte_ = was_sent_before ? base::clock::now() - sent_at_ : base::duration{};
    }
  }
  co_return true;
}

awaitable<bool> exchange::read_head() {
  const auto stream = connection_->stream;
  for (;;) {
    const bool has_bytes = co_await read_head_bytes();
    if (!has_bytes) {
      co_return false;
    }
    end_ = attempt_end::malformed;
    const auto size = find_head_end(stream->buffered(), 0);
    if (check_raw_head(stream->buffered().substr(0, size), max_answer_fields) != nullptr) {
      co_return false;
    }
    parser_.emplace();
    parser_->skip(request_->is_head);
    if (parse_head(*stream, *parser_, size)) {
      co_return false;
    }
    if (!base::is_http_status(answer().result_int())) {
      context_.metrics.count("upstream_invalid_statuses_total");
    }
    if (check_answer(answer(), request_->is_head, may_answer_end_with_connection()) != nullptr) {
      co_return false;
    }
    const auto owner = owner_of(answer(), request_->request_id, !was_reused_ && skipped_bytes_ == 0,
                                context_.settings.names);
    if (owner == answer_owner::unknown) {
      // The server may be running the request, so even a refusal is no answer to it.
      context_.metrics.count("upstream_unowned_answers_total");
      co_return false;
    }
    if (owner == answer_owner::other) {
      skipped_bytes_ += size;
      const bool is_skipped = co_await skip_mismatched_answer();
      if (!is_skipped) {
        co_return false;
      }
      continue;
    }
    if (answer().result_int() >= 200) {
      if (check_promises(answer(), context_.settings.names) != nullptr) {
        co_return false;
      }
      end_ = end_of_status();
      note_server_limit();
      note_server_leaving();
      note_server_pause();
      note_server_cold();
      co_return true;
    }
    note_server_leaving();
    // Interim answers are not forwarded: the entry itself sends 100 to the caller.
    if (++interim_answers_ > context_.settings.max_interim_answers) {
      co_return false;
    }
  }
}

/// The end of a tunnel does not show whether the upstream ended its answer or the instance between
/// ended.
bool exchange::may_answer_end_with_connection() const {
  return context_.settings.names.may_answer_end_with_connection && !connection_->is_tunnelled;
}

/// Reads an answer to another request to its end; the matching answer follows on the connection.
/// Fails beyond the limit, since a server in trouble may send such answers without end.
awaitable<bool> exchange::skip_mismatched_answer() {
  context_.metrics.count("upstream_foreign_answers_total");
  if (parser_->need_eof()) {
    co_return false; // it ends with the connection
  }
  std::string piece(std::size_t{4} * 1024, '\0');
  const auto limit = context_.settings.max_skipped_answer_bytes;
  while (!parser_->is_done() && skipped_bytes_ <= limit) {
    const auto got = co_await read_body(*connection_->stream, *parser_, piece.data(), piece.size());
    if (is_cancelled_ || is_failure(got.state)) {
      end_ = end_of_failed_body(got.state);
      co_return false;
    }
    skipped_bytes_ += got.size;
  }
  co_return skipped_bytes_ <= limit;
}

attempt_end exchange::end_of_status() const {
  if (is_refusal(answer(), context_.settings.names)) {
    return attempt_end::shed;
  }
  return answer().result_int() >= 500 ? attempt_end::error_status : attempt_end::ok;
}

std::optional<std::uint64_t> exchange::answer_length() const {
  const auto text = answer()[http::field::content_length];
  if (text.empty()) {
    return std::nullopt;
  }
  return std::stoull(std::string(text));
}

bool exchange::is_bodyless() const {
  const auto status = answer().result_int();
  return request_->is_head || status == 204 || status == 304;
}

awaitable<void> exchange::collect() {
  if (is_bodyless() || parser_->is_done()) {
    finish_answer();
    co_return;
  }
  const auto limit = context_.settings.max_stored_answer_bytes;
  const auto length = answer_length();
  if (length && *length > context_.settings.max_answer_body_bytes) {
    has_answer_ = false;
    end_ = attempt_end::malformed;
    release(false);
    co_return;
  }
  const bool must_collect = length ? *length <= limit
                                   : may_answer_end_with_connection() || request_->must_store ||
                                         answer().result_int() >= 500;
  if (!must_collect) {
    co_return;
  }
  const bool may_pass_on = length && !request_->must_store && answer().result_int() < 500;
  if (may_pass_on && !make_room(static_cast<std::size_t>(*length), false)) {
    context_.metrics.count("answers_not_collected_total");
    co_return;
  }
  std::size_t size = 0;
  while (!is_whole_ && size <= limit) {
    const auto wanted = length ? static_cast<std::size_t>(*length)
                               : std::max(least_piece_bytes, std::min(2 * size, limit + 1));
    if (size == collected_body_.size() && !make_room(wanted, size == 0)) {
      context_.metrics.count("answers_not_collected_total");
      break; // the rest is passed on as it arrives
    }
    const auto got =
        co_await read_more(collected_body_.data() + size, collected_body_.size() - size);
    size += got.size;
    if (got.state != body_state::more && !is_whole_) {
      has_answer_ = false; // no byte was sent to the caller
      co_return;
    }
  }
  collected_body_.resize(size);
}

/// Enlarges collected_body_ to `wanted` bytes, or `is_first` to one piece when there is less
/// memory. Reads are as large as the memory allows.
bool exchange::make_room(std::size_t wanted, bool is_first) {
  auto& memory = context_.answer_memory;
  const auto read_bytes = std::min(wanted, timed_socket::max_read_bytes);
  if (memory.extend(answer_lease_, wanted + read_bytes)) {
    limit_reads(read_bytes);
  } else if (!memory.extend(answer_lease_, wanted)) {
    if (!is_first) {
      return false;
    }
    wanted = std::min(wanted, least_piece_bytes); // an answer that has begun must go on
  }
  std::string grown(wanted, '\0'); // resize() may allocate twice as much
  std::ranges::copy(collected_body_, grown.begin());
  collected_body_ = std::move(grown);
  return true;
}

void exchange::limit_reads(std::size_t bytes) {
  if (connection_) {
    connection_->stream->limit_reads(bytes);
  }
}

awaitable<body_piece> exchange::read_more(char* out, std::size_t capacity) {
  if (!connection_) {
    co_return body_piece{0, body_state::closed};
  }
  const auto stream = connection_->stream;
  auto piece = co_await read_body(*stream, *parser_, out, capacity);
  if (is_cancelled_) {
    co_return body_piece{0, body_state::closed};
  }
  answer_body_bytes_ += piece.size;
  if (answer_body_bytes_ > context_.settings.max_answer_body_bytes) {
    piece = body_piece{0, body_state::malformed};
  }
  if (piece.state == body_state::done) {
    finish_answer();
  } else if (is_failure(piece.state)) {
    end_ = end_of_failed_body(piece.state);
    release(false);
  }
  co_return piece;
}

void exchange::finish_answer() {
  is_whole_ = true;
  // Without echoed ids, a refusal that the server writes once more would pass for the answer to the
  // next request on the connection.
  const bool is_repeat_visible =
      context_.settings.names.is_request_id_echoed || end_ != attempt_end::shed;
  const bool is_keep_alive = parser_->keep_alive() && answer().version() == 11;
  // The pool closes connections with bytes after the answer, which belong to no request.
  release(is_keep_alive && is_body_sent_ && is_repeat_visible && !is_leaving_);
}

awaitable<bool> exchange::write_body(std::string_view piece, bool is_chunked, bool is_last) {
  if (!connection_) {
    co_return false;
  }
  const auto stream = connection_->stream;
  error_code ec;
  if (!is_chunked) {
    ec = co_await stream->write(piece);
  } else if (!piece.empty()) {
    const auto line = chunk_size_line(piece.size());
    ec = co_await stream->write(line, piece, is_last ? "\r\n0\r\n\r\n" : "\r\n");
  } else if (is_last) {
    ec = co_await stream->write("0\r\n\r\n");
  }
  if (is_last && !ec) {
    is_body_sent_ = true;
    sent_at_ = base::clock::now();
  }
  co_return !ec;
}

} // namespace kingcupshunt::proxy
