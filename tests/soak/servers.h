#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http.h"
#include "kingcupshunt/base/rng.h"
#include "ledger.h"
#include "loopback_proxy.h"

namespace kingcupshunt::soak {

struct server_settings {
  std::string service;
  std::string data_centre;
  std::string listen;    ///< "address:port", where it runs
  std::string announced; ///< of the proxy before it
  std::uint32_t slots = 3;
  base::milliseconds work{20};
  std::vector<std::string> controls; ///< "address:port" each
};

/// How a server misbehaves.
struct server_faults {
  double reset_share = 0; ///< requests that run and whose connection is reset then
  double error_share = 0; ///< answers with status 500
  double slow_factor = 1;
  double extra_share = 0; ///< answers that are given twice
};

/// A stand-in backend server: announces itself, runs requests, and tells the ledger of each.
class backend_server : public std::enable_shared_from_this<backend_server> {
public:
  backend_server(boost::asio::io_context& io, server_settings settings, ledger& facts,
                 std::uint64_t seed);

  void start();
  /// Ends at once; all connections are reset and nothing is said.
  void crash();
  /// Comes back as another incarnation.
  void restart();
  /// Says that it leaves, and ends some time after the acknowledgement.
  void leave();
  void set_faults(const server_faults& faults) { faults_ = faults; }

  bool is_running() const noexcept { return is_running_; }
  loopback_proxy& link() { return *proxy_; }
  const std::string& service() const noexcept { return settings_.service; }

private:
  using socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> accept_loop(std::uint64_t incarnation);
  boost::asio::awaitable<void> serve(std::shared_ptr<http_connection> c);
  boost::asio::awaitable<bool> answer(http_connection& c, const http_request& request);
  boost::asio::awaitable<void> announce_loop(std::uint64_t incarnation);
  boost::asio::awaitable<void> leave_loop(std::uint64_t incarnation);
  boost::asio::awaitable<bool> announce(bool is_leaving, bool is_farewell);
  std::string id() const;

  boost::asio::io_context& io_;
  server_settings settings_;
  ledger& facts_;
  base::rng rng_;
  server_faults faults_;
  std::shared_ptr<loopback_proxy> proxy_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::vector<std::weak_ptr<http_connection>> connections_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint32_t running_ = 0;
  bool is_running_ = false;
  bool is_leaving_ = false;
};

} // namespace kingcupshunt::soak
