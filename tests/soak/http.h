#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::soak {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// A connection that carries one request after the other.
struct http_connection {
  explicit http_connection(boost::asio::io_context& io) : stream(io) {}
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  bool is_open = false;
};

boost::asio::ip::tcp::endpoint endpoint_of(const std::string& address_and_port);

boost::asio::awaitable<void> sleep_for(base::duration d);

/// Sends `request` to "ip:port" on `connection`, which is opened when it is not, and reads the
/// answer. Empty, with the connection closed, when none came whole within `timeout`.
boost::asio::awaitable<std::optional<http_response>> exchange(http_connection& connection,
                                                              const std::string& to,
                                                              const http_request& request,
                                                              base::duration timeout);

/// One request on a connection of its own.
boost::asio::awaitable<std::optional<http_response>>
call(boost::asio::io_context& io, const std::string& to, boost::beast::http::verb method,
     const std::string& target, const std::string& body, base::duration timeout);

} // namespace kingcupshunt::soak
