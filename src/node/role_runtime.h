#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "drop_log.h"
#include "kingcupshunt/control/http_server.h"
#include "kingcupshunt/fleet/evacuation.h"
#include "kingcupshunt/observe/metrics.h"
#include "kingcupshunt/peer/transport.h"
#include "kingcupshunt/settings/port_limits.h"
#include "kingcupshunt/settings/role_settings.h"

namespace kingcupshunt::node {

struct role_hooks {
  std::function<void(std::string_view from, peer::message_kind kind, const std::string& body)>
      on_message;
  std::function<void(base::time_point now)> on_tick;
  /// What `kingcupshunt status` shows; may be empty. The page also names the instance.
  std::function<nlohmann::json()> status;
  std::function<void()> on_stop;   ///< SIGTERM or SIGINT, once
  std::function<void()> on_reload; ///< SIGHUP or periodically: the settings may have changed
};

/// The evacuations in force, for the status page.
nlohmann::json status_of(const fleet::evacuation_set& evacuations);

/// Settings of a port that answers requests without a body.
control::http_server_settings port_for_reading(const settings::listen_address& at,
                                               std::size_t connections);

/// The system's limit of the descriptors of this process; 0: none.
std::size_t most_descriptors();

/// Event loop, connections to other instances, timer, signals and metrics page of a process with
/// one role, control or entry.
class role_runtime {
public:
  role_runtime(settings::role_settings s, role_hooks hooks,
               const settings::port_limits& limits = {});

  /// Opens the peer and metrics listeners. The error is a one-line message for operators.
  base::result<void, std::string> start();
  void run();
  void end() { io.stop(); }

  /// Sends to another instance; messages to this instance are posted to the event loop.
  void send(std::string_view to, peer::message_kind kind, std::string body);
  /// Sets the instances to stay connected to. Their ids are IP addresses; all listen on the same
  /// peer port.
  void set_peers(const std::set<std::string, std::less<>>& ids);

  boost::asio::io_context io{1};
  settings::role_settings settings;
  settings::port_limits ports;
  observe::metrics metrics;
  std::unique_ptr<peer::transport> transport;
  std::uint64_t seed = 0;

private:
  void schedule_tick();
  control::http_response operator_page(const control::http_request& request);
  void wait_for_signal();

  role_hooks hooks_;
  boost::asio::steady_timer timer_{io};
  boost::asio::signal_set signals_{io};
  drop_log drops_{metrics};
  std::unique_ptr<control::http_server> metrics_server_;
  base::time_point next_reload_{};
  bool is_stopping_ = false;
};

} // namespace kingcupshunt::node
