#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshunt/control/http_server.h"
#include "kingcupshunt/observe/metrics.h"
#include "kingcupshunt/peer/transport.h"
#include "kingcupshunt/settings/role_settings.h"

namespace kingcupshunt::node {

struct role_hooks {
  std::function<void(std::string_view from, peer::message_kind kind, const std::string& body)>
      on_message;
  std::function<void(base::time_point now)> on_tick;
  std::function<void()> on_stop;   ///< SIGTERM or SIGINT, once
  std::function<void()> on_reload; ///< the settings may have changed
};

/// Event loop, connections to other instances, timer, signals and metrics page of a process that
/// plays one role.
class role_runtime {
public:
  role_runtime(settings::role_settings s, role_hooks hooks);

  /// Listens for the other instances. The error is a line for operators.
  base::result<void, std::string> start();
  void run();
  void end() { io.stop(); }

  /// Sends to another instance, or to this one through the event loop.
  void send(std::string_view to, peer::message_kind kind, std::string body);
  /// Keeps connections to these instances, which listen on the peer port of their address.
  void set_peers(const std::set<std::string, std::less<>>& ids);

  boost::asio::io_context io{1};
  settings::role_settings settings;
  observe::metrics metrics;
  std::unique_ptr<peer::transport> transport;
  std::uint64_t seed = 0;

private:
  void schedule_tick();
  void wait_for_signal();

  role_hooks hooks_;
  boost::asio::steady_timer timer_{io};
  boost::asio::signal_set signals_{io};
  std::unique_ptr<control::http_server> metrics_server_;
  base::time_point next_reload_{};
  bool is_stopping_ = false;
};

} // namespace kingcupshunt::node
