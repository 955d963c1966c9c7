#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "body_reader.h"
#include "entry_context.h"
#include "event.h"
#include "kingcupshunt/health/attempt.h"
#include "kingcupshunt/proxy/head_checks.h"

namespace kingcupshunt::proxy {

/// A request as it is sent to an upstream, shared by all its tries.
struct upstream_request {
  std::string head;           ///< without the deadline field and the blank line
  std::string body;           ///< whole body, when it is not streamed
  bool is_streamed = false;   ///< the body is written with exchange::write_body
  bool is_head = false;       ///< HEAD: the answer has no body
  bool is_resendable = true;  ///< may be sent again after bytes of it were sent
  bool is_open_route = false; ///< the route is open to all callers
  bool must_store = false;    ///< the answer is collected with any framing
  std::string request_id;     ///< echoed by the answer, if configured
  base::time_point deadline;
  caller_memory::lease memory; ///< of the body
};

/// One try of a request on one upstream: connects, sends the request and reads the answer's head,
/// and its body when it is short. Runs as its own coroutine; notifies `wake` on each change.
class exchange : public std::enable_shared_from_this<exchange> {
public:
  exchange(entry_context& context, upstream_target target,
           std::shared_ptr<const upstream_request> request, connection_need need,
           std::shared_ptr<event> wake);

  void start();

  /// Closes the connection, which cancels the upstream's work.
  void cancel();

  const upstream_target& target() const noexcept { return target_; }
  bool is_finished() const noexcept { return is_finished_; }
  bool is_cancelled() const noexcept { return is_cancelled_; }
  /// True when the connection is established and the streamed body can be written.
  bool is_ready_for_body() const noexcept { return is_ready_for_body_; }
  /// True when bytes of the request were sent on some connection.
  bool was_sent() const noexcept { return was_sent_; }
  /// True when the pool had no connection; nothing was sent.
  bool had_no_connection() const noexcept { return had_no_connection_; }
  /// True when the request was not sent because the upstream gets no requests any more.
  bool was_withheld() const noexcept { return was_withheld_; }
  /// True when the try ended with an answer's head, false after a failure.
  bool has_answer() const noexcept { return is_finished_ && has_answer_; }
  /// True when the answer's whole body is in collected_body().
  bool is_whole() const noexcept { return is_whole_; }
  /// True when an answer to the request, also an interim one, said that the server leaves.
  bool is_leaving() const noexcept { return is_leaving_; }
  /// Time since which a reused connection has been silent after the request was sent; empty
  /// otherwise.
  std::optional<base::time_point> silent_since() const noexcept { return silent_since_; }

  const response_header& answer() const { return parser_->get().base(); }
  std::optional<std::uint64_t> answer_length() const;
  bool is_bodyless() const;
  const std::string& collected_body() const noexcept { return collected_body_; }

  /// Moves out the part of the body that was collected before the answer is passed on as it
  /// arrives. Its memory counts toward the limit until release_body_memory.
  std::string take_collected_body() noexcept { return std::exchange(collected_body_, {}); }
  void release_body_memory() noexcept { answer_lease_ = {}; }
  /// Sets the greatest number of bytes that one read of the rest asks for.
  void limit_reads(std::size_t bytes);

  /// Writes a piece of a streamed body with its framing; `is_last` ends the body.
  awaitable<bool> write_body(std::string_view piece, bool is_chunked, bool is_last);

  /// Reads the next piece of an answer that is not whole. Sets end() when the answer fails.
  awaitable<body_piece> read_more(char* out, std::size_t capacity);

  /// Result of the try so far.
  health::attempt to_attempt(const authorized_request& request, std::uint64_t fingerprint) const;
  health::attempt_end end() const noexcept { return end_; }
  void set_end(health::attempt_end end) noexcept { end_ = end; }
  /// Returns true on the first call only, so that each try is reported once.
  bool mark_reported() noexcept { return !std::exchange(is_reported_, true); }

private:
  awaitable<void> run();
  awaitable<void> run_tries();
  awaitable<void> run_once(connection_need need);
  void take_connection(connection_need need);
  awaitable<bool> connect();
  std::shared_ptr<timed_socket> new_stream();
  awaitable<bool> connect_directly(base::time_point until);
  awaitable<bool> connect_through(const std::string& tunnel, base::time_point until);
  awaitable<bool> send();
  awaitable<bool> read_head();
  awaitable<bool> read_head_bytes();
  awaitable<void> write_rest();
  awaitable<bool> skip_mismatched_answer();
  bool may_answer_end_with_connection() const;
  base::time_point wait_limit() const;
  awaitable<void> collect();
  bool make_room(std::size_t wanted, bool is_first);
  bool may_resend() const;
  void fail_read(bool has_bytes);
  void finish_answer();
  void release(bool is_reusable);
  health::attempt_end end_of_status() const;
  void note_server_limit();
  void note_server_leaving(); // exchange_notices.cpp
  void note_server_pause();
  void note_server_cold(); // exchange_notices.cpp

  std::shared_ptr<entry_context> context_owner_; ///< a cancelled try may outlive the session
  entry_context& context_;
  upstream_target target_;
  std::shared_ptr<const upstream_request> request_;
  connection_need need_;
  std::shared_ptr<event> wake_;

  std::shared_ptr<upstream_connection> connection_;
  std::optional<response_parser> parser_;
  std::string collected_body_;
  base::memory_budget::lease answer_lease_; ///< of a long head, then of collected_body_
  health::attempt_end end_ = health::attempt_end::cancelled;
  std::size_t skipped_bytes_ = 0; ///< of answers to other requests
  unsigned interim_answers_ = 0;
  std::uint64_t answer_body_bytes_ = 0; ///< read so far
  health::limit_notice limit_ = health::limit_notice::unknown;
  double server_limit_ = 0;
  bool is_leaving_ = false;
  base::duration pause_{}; ///< asked for by the server
  std::optional<base::time_point> cold_until_;
  std::optional<base::time_point> silent_since_;
  base::time_point started_;
  base::time_point sent_at_;
  base::duration first_byte_{};
  base::duration total_{};
  bool is_finished_ = false;
  bool is_cancelled_ = false;
  bool is_ready_for_body_ = false;
  bool is_body_sent_ = false;
  bool was_sent_ = false;
  bool was_reused_ = false;
  bool had_no_connection_ = false;
  bool was_withheld_ = false;
  bool has_answer_ = false;
  bool is_whole_ = false;
  bool is_reported_ = false;
};

} // namespace kingcupshunt::proxy
