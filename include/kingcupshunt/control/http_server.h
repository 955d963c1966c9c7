#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/control/http_message.h"

namespace boost::asio {
class io_context;
}

namespace kingcupshunt::control {

struct http_server_settings {
  std::string address;
  std::uint16_t port = 0;
  std::size_t body_limit = 16U << 20U; ///< bytes; a larger body is refused with 413
  /// Beyond these, connections that wait for their callers are closed for new ones.
  std::size_t connections = 1024;
  base::milliseconds timeout{30'000}; ///< for one request and its answer
  /// Bodies of all requests that are read or handled at the same time, beyond small ones. Others
  /// are refused with 503, since senders in trouble may send bodies without end.
  std::size_t body_memory = 32U << 20U;
  /// Answers that are not yet read by their callers, beyond small ones. Further calls are answered
  /// with 503.
  std::size_t answer_memory = 32U << 20U;
  /// Receive buffer of a connection, bytes. The system takes up to twice as much, which counts
  /// toward the memory of the process.
  int receive_bytes = 8 * 1024;
};

/// HTTP/1.1 server for small requests: announcements and operators' calls. Runs on the event loop
/// of `io`; the handler is called there.
class http_server {
public:
  /// Binds and listens. Throws boost::system::system_error when the address can't be bound.
  http_server(boost::asio::io_context& io, http_server_settings settings, http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Stops accepting; connections end after their current request.
  void stop();

private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

} // namespace kingcupshunt::control
