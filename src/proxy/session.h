#pragma once

#include <exception>
#include <memory>
#include <optional>
#include <string>

#include "caller_connection.h"
#include "entry_context.h"

namespace kingcupshunt::proxy {

/// Serves one caller connection: reads request heads in sequence and serves each request.
/// Repeatable requests that arrive before the answer to the one before are served at the same time,
/// up to a limit, and answered in their order.
class session : public std::enable_shared_from_this<session> {
public:
  /// `memory` is that of the connection.
  session(std::shared_ptr<entry_context> context, tcp::socket socket, std::string address,
          caller_memory::lease memory);

  /// Serves until the connection ends.
  awaitable<void> run();

  /// True when the connection waits for the first byte of a request.
  bool is_idle() const noexcept { return is_idle_ && !caller_->is_aborted; }
  /// True when bytes have arrived that are not read yet, such as a request on an idle connection.
  bool has_pending_input() { return caller_->stream->has_pending_input(); }
  base::time_point idle_since() const noexcept { return idle_since_; }
  bool is_stalled() const noexcept { return caller_->is_stalled; }
  /// True when memory is held on behalf of `of`; null: of anyone.
  bool holds_for(const caller_memory::counter& of) const;
  /// Memory that ends with the connection, and the body that is being read.
  std::size_t held_bytes() const noexcept;
  /// Observes the rate of a head or body that is being read.
  void sample_rate(base::time_point now);
  /// Ends the reading of a stalled head or body, which is refused.
  void drop_stalled();
  /// True when the last answer was sent and the caller has yet to close the connection.
  bool is_draining() const noexcept { return is_draining_; }

  /// Lets a waiting request notice that a stop has begun.
  void wake();

  /// Closes the connection at once and cancels the upstream work of its request.
  void abort();

private:
  bool is_serving() const noexcept;
  bool may_serve_next() const;
  awaitable<bool> next_request();
  awaitable<bool> wait_for_request();
  awaitable<bool> read_head();
  awaitable<std::optional<refusal>> read_head_bytes(std::size_t& size);
  std::optional<refusal> parse(std::size_t size);
  bool take_head_memory(std::size_t size, caller_memory::use purpose);
  awaitable<void> refuse(const refusal& r);
  void start_request();
  awaitable<void> serve(std::shared_ptr<caller_request> request);
  awaitable<void> wait_until_answered();

  std::shared_ptr<entry_context> context_;
  std::shared_ptr<caller_connection> caller_;
  std::shared_ptr<caller_request> next_; ///< parsed, not served yet
  std::exception_ptr failure_;           ///< of a request
  caller_memory::lease next_memory_;     ///< of the next request
  base::time_point idle_since_ = base::clock::now();
  bool is_idle_ = true;
  bool is_draining_ = false;
};

} // namespace kingcupshunt::proxy
