#pragma once

#include <functional>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/peer/handshake.h"

namespace kingcupshunt::proxy {

/// A connection that is only opened and closed, to find out whether a server can be reached.
struct path_probe {
  std::string server;  ///< id
  std::string address; ///< "ip:port" of the server
  std::string tunnel;  ///< "ip:port" of the instance to connect through; empty: directly
  peer::handshake_settings handshake; ///< for the tunnel
  base::duration timeout = base::milliseconds(100);
};

/// Opens the connection, closes it without sending a request and calls `done` once.
void probe_path(const boost::asio::any_io_executor& executor, path_probe probe,
                std::function<void(bool is_connected)> done);

} // namespace kingcupshunt::proxy
