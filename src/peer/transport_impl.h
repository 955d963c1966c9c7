#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "connection.h"
#include "kingcupshunt/base/memory_budget.h"
#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/peer/transport.h"

namespace kingcupshunt::peer {

/// Connections and queues behind peer::transport.
struct transport::impl : std::enable_shared_from_this<transport::impl> {
  struct queued {
    frame message;
    base::time_point at;
  };
  struct peer_entry {
    std::optional<boost::asio::ip::tcp::endpoint> address;
    std::deque<queued> queue;
    std::size_t queued_bytes = 0;
    std::shared_ptr<connection> outgoing;
    std::vector<std::shared_ptr<connection>> incoming; ///< authenticated, the newest last
    std::string relay;                                 ///< id, or empty for the direct path
    base::time_point retry_at{};
    int failures = 0;
  };

  impl(boost::asio::io_context& c, transport_settings s)
      : context(c), settings(std::move(s)), acceptor(c), timer(c), random(settings.seed),
        frame_memory(settings.limits.frame_memory) {}

  boost::asio::io_context& context;
  transport_settings settings;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer timer;
  base::rng random;
  base::memory_budget frame_memory;
  transport_counters counters;
  std::map<std::string, peer_entry, std::less<>> peers;
  /// Accepted, not yet authenticated, the oldest first.
  std::vector<std::shared_ptr<connection>> unnamed;
  std::size_t incoming_count = 0;
  message_function handler;
  std::function<void(std::string_view, bool)> connect_handler;
  std::function<void(const dropped_message&)> drop_handler;
  bool is_accepting = false;
  bool is_stopped = false;

  base::result<void, transport_error> start();

  connection_events events();

  void accept_next();

  void close_oldest_unnamed();

  void accepted(boost::asio::ip::tcp::socket s);

  void connect(const std::string& id, peer_entry& entry, base::time_point now);

  void on_ready(connection& c);

  void on_closed(connection& c);

  void back_off(peer_entry& entry);

  static connection* ready_connection(const peer_entry& entry);

  std::optional<frame> next_frame(connection& c);

  static frame pop(peer_entry& entry);

  void drop(std::string_view to, message_kind kind, std::size_t bytes, drop_reason reason);
  void drop_late(std::string_view id, peer_entry& entry, base::time_point now);

  bool enqueue(std::string_view to, message_kind kind, std::string body);
  bool send(std::string_view to, message_kind kind, std::string body);
  void on_frame(const std::string& from, frame f);
  void on_relay(const std::string& from, const frame& f);
  void tick();
  void schedule_tick();
  void stop();
  void set_peers(std::span<const peer_address> wanted);
};

} // namespace kingcupshunt::peer
