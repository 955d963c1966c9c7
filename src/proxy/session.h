#pragma once

#include <memory>
#include <optional>
#include <string>

#include "caller_connection.h"
#include "entry_context.h"

namespace kingcupshunt::proxy {

/// Serves one caller connection: reads request heads in sequence and serves each request.
class session : public std::enable_shared_from_this<session> {
public:
  session(std::shared_ptr<entry_context> context, tcp::socket socket, std::string address);

  /// Serves until the connection ends.
  awaitable<void> run();

  bool is_idle() const noexcept { return is_idle_; }
  /// True when the last answer was sent and the caller has yet to close the connection.
  bool is_draining() const noexcept { return is_draining_; }

  /// Lets a waiting request notice that a stop has begun.
  void wake();

  /// Closes the connection at once and cancels the upstream work of its request.
  void abort();

private:
  awaitable<bool> wait_for_request();
  awaitable<bool> read_head();
  awaitable<std::optional<refusal>> read_head_bytes(std::size_t& size);
  std::optional<refusal> parse(std::size_t size);
  awaitable<void> refuse(const refusal& r);

  std::shared_ptr<entry_context> context_;
  std::shared_ptr<caller_connection> caller_;
  bool is_idle_ = true;
  bool is_draining_ = false;
};

} // namespace kingcupshunt::proxy
