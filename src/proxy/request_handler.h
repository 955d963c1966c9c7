#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "caller_connection.h"
#include "entry_context.h"
#include "exchange.h"

namespace kingcupshunt::proxy {

/// Largest piece of a streamed body, and its size when memory is short.
inline constexpr std::size_t relay_piece_bytes = std::size_t{64} * 1024;
inline constexpr std::size_t least_relay_piece_bytes = std::size_t{4} * 1024;

/// Serves one request whose head has been parsed: admission, tries and the answer.
class request_handler : public std::enable_shared_from_this<request_handler> {
public:
  request_handler(entry_context& context, std::shared_ptr<caller_connection> caller,
                  std::shared_ptr<caller_request> request);

  /// Serves the request. Sets caller->is_closing when no further request may be read.
  awaitable<void> serve();

private:
  using exchange_ptr = std::shared_ptr<exchange>;

  /// A try on one upstream, with a check on a new connection to it if the reused connection stays
  /// silent.
  struct attempt_pair {
    exchange_ptr main;
    exchange_ptr check;
  };

  // request_handler.cpp: steps before the first try.
  awaitable<void> try_upstreams();
  std::optional<refusal> prepare();
  void read_control_fields(const request_header& head);
  awaitable<std::optional<refusal>> wait_until_ready();
  std::optional<refusal> prepare_body();
  awaitable<std::optional<refusal>> wait_for_earlier_requests();
  void allow_next_request();
  awaitable<bool> answer_locally();
  awaitable<std::optional<refusal>> prepare_first_try();
  bool may_outlast_stop() const;
  bool has_time_before_stop() const;
  static refusal refused_by_stop();
  static refusal cut_by_stop();
  awaitable<std::optional<refusal>> admit();
  awaitable<std::optional<refusal>> reserve();
  awaitable<bool> plan_try();
  awaitable<std::optional<refusal>> read_whole_body();
  awaitable<std::optional<refusal>> read_leased_body();
  awaitable<bool> lease_body(std::size_t bytes);
  bool must_stream_upload();
  caller_memory::holders body_holders() const;
  std::optional<refusal> lease_relay_piece();
  std::shared_ptr<void> hold_server(std::function<bool()> is_waiting, std::function<void()> end);
  awaitable<void> send_continue();
  std::string workspace_name() const;
  /// True when the request may run at most once for its idempotency key, over all attempts of the
  /// caller.
  bool is_reserving() const {
    return auth_.route && auth_.route->kind == config::request_kind::keyed_once;
  }
  void prepare_upstream_request();
  awaitable<std::optional<refusal>> wait_for_wake();
  template <class Waiting>
  awaitable<std::optional<refusal>> wait_for(const Waiting& waiting);

  // request_tries.cpp: tries, retries, hedging.
  awaitable<exchange_ptr> find_answer();
  bool was_sent() const;
  bool has_tries_left() const;
  bool start_try();
  awaitable<bool> start_first_try();
  awaitable<bool> start_retry();
  awaitable<bool> try_after_shed(const health::attempt& last);
  awaitable<bool> try_after_withheld(const std::string& server);
  awaitable<void> wait_for_crash_checks();
  void start_hedge();
  void start_checks(base::time_point now);
  exchange_ptr collect_finished();
  exchange_ptr settle(const attempt_pair& pair);
  void cancel_all();
  base::time_point next_timer() const;
  void report(exchange& ex);
  refusal refusal_of_failure() const;

  // request_body.cpp: streamed request bodies.
  awaitable<void> pump_body(exchange_ptr to);
  awaitable<void> stop_pump();
  std::optional<refusal> refusal_of_body(body_state state) const;

  // request_answer.cpp: answers to the caller.
  refusal with_key_history(refusal r) const;
  refusal with_status_of_ran_state(refusal r) const;
  awaitable<void> refuse(const refusal& reason);
  awaitable<void> write_to_caller(std::string_view head, std::string_view body);
  awaitable<void> deliver(const exchange_ptr& ex);
  awaitable<void> deliver_rest(const exchange_ptr& ex);
  awaitable<void> deliver_stored(const stored_answer& answer);
  void settle_reservation(const exchange* ex);
  awaitable<void> wait_for_answer_turn();
  bool must_close() const;
  base::time_point write_deadline() const;

  entry_context& context_;
  std::shared_ptr<caller_connection> caller_;
  std::shared_ptr<caller_request> request_;
  std::shared_ptr<event> wake_; ///< of the request
  base::time_point started_;    ///< when the request arrived

  request_head head_;
  std::optional<request_header> checked_head_; ///< as checked; set when trailers may follow
  authorized_request auth_;
  std::shared_ptr<upstream_request> upstream_request_;
  caller_memory::lease body_memory_; ///< of body_, or of a piece of a streamed body
  std::string body_;
  std::uint64_t fingerprint_ = 0;
  bool is_head_method_ = false;
  bool is_chunked_ = false;
  bool is_streamed_ = false;
  bool is_waiting_for_continue_ = false;
  bool is_admitted_ = false;
  bool was_reserved_ = false; ///< no earlier attempt with the idempotency key exists

  std::optional<std::uint64_t> reservation_; ///< attempt id
  std::optional<stored_answer> replay_;

  std::vector<std::string> tried_;
  std::vector<std::string> full_servers_; ///< ids in tried_ that refused the request as full
  std::vector<attempt_pair> active_tries_;
  exchange_ptr fallback_; ///< whole answer with an error status, sent when no try succeeds
  std::optional<refusal> failure_;
  std::optional<health::attempt> last_failed_try_; ///< not yet considered for a retry
  struct unresolved_tries {
    std::size_t count = 0; ///< tries whose server may have crashed, not yet decided
  };
  std::shared_ptr<unresolved_tries> unresolved_ = std::make_shared<unresolved_tries>();
  std::optional<base::time_point> hedge_at_;
  unsigned tries_ = 0;
  unsigned unreached_tries_ = 0; ///< tries that certainly did not run the request
  bool may_have_run_ = false;
  bool has_checked_ = false;

  std::uint64_t body_bytes_ = 0;
  bool is_pumping_ = false;
  bool is_reading_body_ = false; ///< pump_body waits for the caller, not for the upstream
  bool must_stop_pump_ = false;
  std::optional<refusal> body_failure_;
};

} // namespace kingcupshunt::proxy
