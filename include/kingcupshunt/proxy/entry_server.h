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

/// Answers a request for a path under /.kingcupshunt/; empty: 404.
using interceptor = std::function<std::optional<local_answer>(const request_head&)>;

/// HTTP/1.1 entry for callers. Runs on the event loop it was given and on no other thread.
class entry_server {
public:
  /// Listens at once. Throws std::runtime_error when the address cannot be listened on.
  /// `metrics` and `io` outlive the server.
  entry_server(boost::asio::io_context& io, entry_settings settings, hooks decisions,
               observe::metrics& metrics);
  ~entry_server();
  entry_server(const entry_server&) = delete;
  entry_server& operator=(const entry_server&) = delete;

  /// Port listened on.
  std::uint16_t port() const noexcept;

  /// Sets who answers paths under /.kingcupshunt/. These need no key and are not admitted.
  void set_interceptor(interceptor answer);

  /// From now on each answer closes its connection; new connections are still served.
  void close_after_answers();

  /// Takes over bounds on what callers send, for requests and waits that begin from now on.
  void set_caller_limits(std::size_t head_bytes, base::milliseconds head_timeout,
                         base::milliseconds idle_timeout);

  /// Accepts no further connections, closes idle ones, lets requests in flight finish until
  /// `deadline`, cuts the rest, and calls `done` with the number of connections cut.
  void stop(base::time_point deadline, std::function<void(std::size_t cut)> done);

  /// Open caller connections.
  std::size_t connection_count() const noexcept;

private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

} // namespace kingcupshunt::proxy
