#pragma once

#include <utility>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace standin {

/// Faults of the stand-in, each switched by POST /_faults with a JSON object of these members.
struct faults {
  std::uint32_t delay_ms = 0;   ///< before each answer
  double error_share = 0;       ///< share of requests answered with 500
  double truncate_share = 0;    ///< share of answers cut within the body
  double stall_share = 0;       ///< share of requests that get no answer at all
  bool is_refusing = false;     ///< closes new connections at once
  bool is_shedding = true;      ///< 503 with Retry-After when over its slots
  bool is_lying = false;        ///< /healthz says 200 whatever the state
  std::string crash_marker;     ///< a body or target that contains it ends the process
  std::uint32_t body_bytes = 0; ///< length of the answer's padding
};

struct backend_settings {
  std::string address;
  std::uint16_t port = 0;
  std::string service;
  std::string data_centre;
  std::string secret;
  std::uint32_t slots = 3;
  std::vector<std::string> announce_urls;
};

/// A backend server that echoes the nonce of each request and counts runs by Idempotency-Key.
class backend_server {
public:
  backend_server(boost::asio::io_context& io, backend_settings settings);

  void start();
  /// Announces that it leaves, finishes what runs, then stops the loop.
  void drain();

private:
  using request = boost::beast::http::request<boost::beast::http::string_body>;
  using response = boost::beast::http::response<boost::beast::http::string_body>;
  template <class T>
  using awaitable = boost::asio::awaitable<T>;

  awaitable<void> accept_loop();
  awaitable<void> serve(boost::asio::ip::tcp::socket socket);
  awaitable<bool> answer(boost::beast::tcp_stream& stream, const request& req);
  awaitable<bool> run(boost::beast::tcp_stream& stream, const request& req);
  awaitable<void> write(boost::beast::tcp_stream& stream, response& res, bool is_cut);
  awaitable<void> announce_loop();
  awaitable<void> announce_once();
  awaitable<void> announce_to(std::string url);
  awaitable<void> drain_loop();
  response control(const request& req);
  bool is_drawn(double share);

  boost::asio::io_context& io_;
  backend_settings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  faults faults_;
  std::map<std::string, std::uint64_t> runs_; ///< by Idempotency-Key
  std::uint64_t total_runs_ = 0;
  std::uint32_t running_ = 0;
  std::uint64_t incarnation_;
  bool is_draining_ = false;
  std::mt19937_64 random_{1};
};

} // namespace standin
