#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "deployment.h"
#include "faults.h"
#include "ledger.h"
#include "servers.h"

namespace kingcupshunt::soak {

using server_list = std::vector<std::shared_ptr<backend_server>>;

/// Carries out a plan of faults on a deployment and its servers, from outside the processes.
class injector {
public:
  injector(boost::asio::io_context& io, deployment& all, server_list& servers, ledger& facts);

  /// Returns when the last fault is over and everything runs again.
  boost::asio::awaitable<void> run(std::vector<fault> plan);

private:
  boost::asio::awaitable<void> apply(fault f);
  boost::asio::awaitable<void> on_entry(const fault& f, instance& it);
  boost::asio::awaitable<void> on_control(const fault& f, instance& it);
  boost::asio::awaitable<void> kill_all_controls(const fault& f);
  boost::asio::awaitable<void> on_link(const fault& f);
  boost::asio::awaitable<void> on_server(const fault& f, backend_server& server);
  boost::asio::awaitable<void> stop_and_wait(instance& it);
  void harm_link(const fault& f, loopback_proxy& link);

  boost::asio::io_context& io_;
  deployment& all_;
  server_list& servers_;
  ledger& facts_;
  bool is_control_away_ = false; ///< one is, or catches up
  std::size_t running_ = 0;
};

} // namespace kingcupshunt::soak
