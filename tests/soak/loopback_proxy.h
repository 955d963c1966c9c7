#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::soak {

/// What a proxy does to the bytes that pass it.
struct link_state {
  base::milliseconds delay{0};  ///< of each piece, in both directions
  bool is_cut_forward = false;  ///< bytes towards the listener vanish
  bool is_cut_backward = false; ///< bytes towards the one who connected vanish
};

/// Forwards connections from one loopback address to another and harms them on request.
class loopback_proxy : public std::enable_shared_from_this<loopback_proxy> {
public:
  loopback_proxy(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint listen,
                 boost::asio::ip::tcp::endpoint target);

  void start();
  void stop();

  /// Holds for all connections. One that lost bytes stays silent for good.
  void set_state(const link_state& state) { state_ = state; }
  /// Resets all open connections.
  void reset_all();
  /// All open connections go silent for good; new ones work.
  void silence_all();

private:
  struct pipe {
    explicit pipe(boost::asio::io_context& io) : near(io), far(io) {}
    boost::asio::ip::tcp::socket near; ///< of the one who connected
    boost::asio::ip::tcp::socket far;  ///< to the listener behind
    bool is_silent = false;
  };
  using pipe_ptr = std::shared_ptr<pipe>;

  boost::asio::awaitable<void> accept_loop();
  boost::asio::awaitable<void> serve(pipe_ptr p);
  boost::asio::awaitable<void> pump(pipe_ptr p, bool is_forward);
  static void reset(pipe& p);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  link_state state_;
  std::vector<std::weak_ptr<pipe>> pipes_;
};

} // namespace kingcupshunt::soak
