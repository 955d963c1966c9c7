#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/observe/metrics.h"
#include "kingcupshunt/peer/handshake.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace kingcupshunt::proxy {

struct tunnel_server_settings {
  std::string address; ///< IP address to listen on
  std::uint16_t port = 0;
  peer::handshake_settings handshake;
  std::size_t max_tunnels = 2000; ///< of two descriptors each
  int receive_bytes = 0;          ///< receive buffer of each connection; 0: the system's
  base::duration open_timeout = base::seconds(1);           ///< from accept to the request
  base::duration connect_timeout = base::milliseconds(200); ///< to the backend server
  base::duration idle_timeout = base::seconds(30);          ///< without a byte in either direction
};

/// Connects other instances of the fleet to backend servers that they cannot reach themselves. Each
/// accepted connection is authenticated, names a server, and then carries the bytes of a connection
/// to it.
class tunnel_server {
public:
  /// Starts listening. Throws std::runtime_error when it cannot. `resolve` returns the "ip:port" of
  /// a backend server, empty when it is not known. `io` and `metrics` must outlive the server.
  tunnel_server(boost::asio::io_context& io, tunnel_server_settings settings,
                std::function<std::string(const std::string& server)> resolve,
                observe::metrics& metrics);
  ~tunnel_server();
  tunnel_server(const tunnel_server&) = delete;
  tunnel_server& operator=(const tunnel_server&) = delete;

  /// Port on which the server listens.
  std::uint16_t port() const noexcept;

  /// Accepts no further tunnels, closes each one when it waits for a request, and all of them at
  /// `deadline`; then calls `done`.
  void stop(base::time_point deadline, std::function<void()> done);

private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

} // namespace kingcupshunt::proxy
