#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kingcupshunt/observe/metrics.h"
#include "kingcupshunt/proxy/entry_settings.h"
#include "kingcupshunt/proxy/hooks.h"
#include "kingcupshunt/proxy/request_head.h"
#include "kingcupshunt/proxy/stop_window.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace kingcupshunt::proxy {

/// An answer of the instance itself to a path under /.kingcupshunt/.
struct local_answer {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::optional<base::seconds> max_age; ///< set: sent as Cache-Control: max-age
};

/// Handles a request for a path under /.kingcupshunt/. An empty result is answered with 404.
using interceptor = std::function<std::optional<local_answer>(const request_head&)>;

/// HTTP/1.1 entry for callers. Runs only on the event loop passed to the constructor.
class entry_server {
public:
  /// Starts listening. Throws std::runtime_error when it cannot listen on the address.
  /// `metrics` and `io` must outlive the server.
  entry_server(boost::asio::io_context& io, entry_settings settings, hooks decisions,
               observe::metrics& metrics);
  ~entry_server();
  entry_server(const entry_server&) = delete;
  entry_server& operator=(const entry_server&) = delete;

  /// Port on which the server listens.
  std::uint16_t port() const noexcept;

  /// Sets the handler of paths under /.kingcupshunt/. These requests need no key and bypass
  /// admission control.
  void set_interceptor(interceptor answer);

  /// Begins a planned stop. Each further answer closes its connection; new connections are still
  /// accepted until `stop` is called. Requests that the window leaves no time for are refused.
  void begin_stop(const stop_window& window);

  /// Closes the idle connections to upstreams, after the network path to them has changed.
  void discard_upstream_connections();

  /// Sets the limits on heads and idle connections for requests and waits that begin after the
  /// call.
  void set_caller_limits(std::size_t head_bytes, base::milliseconds head_timeout,
                         base::milliseconds idle_timeout);

  /// Begins a planned stop unless one has begun. Stops accepting connections, closes idle ones,
  /// lets requests in flight finish until `deadline`, closes the remaining connections and calls
  /// `done` with the number of those that got no answer.
  void stop(base::time_point deadline, std::function<void(std::size_t aborted)> done);

  /// Number of open caller connections.
  std::size_t connection_count() const noexcept;

private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

} // namespace kingcupshunt::proxy
