#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/health/evidence.h"

namespace kingcupshunt::node {

/// Probes backend servers over new connections.
class prober {
public:
  explicit prober(boost::asio::io_context& io) : io_(io) {}

  /// Sends GET `path` to "ip:port" and calls `done` once with the outcome.
  void probe(const std::string& upstream, const std::string& path, base::milliseconds timeout,
             std::function<void(health::probe_outcome)> done);

  /// Opens a connection to "ip:port" and calls `done` once with whether that succeeded.
  void connect(const std::string& upstream, base::milliseconds timeout,
               std::function<void(bool is_connected)> done);

private:
  boost::asio::io_context& io_;
};

} // namespace kingcupshunt::node
