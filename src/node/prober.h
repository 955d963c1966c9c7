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

  /// Checks whether a process serves at "ip:port" and calls `done` once. A process
  /// serves when a connection stays open, or when it accepts three connections in a row. A
  /// terminating process may close its connections before its listener, so that one accepted
  /// connection alone proves nothing.
  void check_alive(const std::string& upstream, std::function<void(bool is_alive)> done);

private:
  boost::asio::io_context& io_;
};

} // namespace kingcupshunt::node
