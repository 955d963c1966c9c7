#include "http.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace kingcupshunt::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

asio::ip::tcp::endpoint endpoint_of(const std::string& address_and_port) {
  const auto colon = address_and_port.rfind(':');
  return {asio::ip::make_address(address_and_port.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address_and_port.substr(colon + 1)))};
}

asio::awaitable<void> sleep_for(base::duration d) {
  asio::steady_timer timer(co_await asio::this_coro::executor, d);
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<std::optional<http_response>> exchange(http_connection& connection,
                                                       const std::string& to,
                                                       const http_request& request,
                                                       base::duration timeout) {
  error_code ec;
  auto& stream = connection.stream;
  stream.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(timeout));
  if (!connection.is_open) {
    connection.buffer.clear();
    co_await stream.async_connect(endpoint_of(to), asio::redirect_error(asio::use_awaitable, ec));
    connection.is_open = !ec;
  }
  if (!ec) {
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, ec));
  }
  http_response answer;
  // An answer may come although the request could not be written whole.
  if (connection.is_open) {
    ec = {};
    co_await http::async_read(stream, connection.buffer, answer,
                              asio::redirect_error(asio::use_awaitable, ec));
  }
  if (ec || !answer.keep_alive()) {
    stream.close();
    connection.is_open = false;
  }
  if (ec) {
    co_return std::nullopt;
  }
  co_return answer;
}

asio::awaitable<std::optional<http_response>> call(asio::io_context& io, const std::string& to,
                                                   http::verb method, const std::string& target,
                                                   const std::string& body,
                                                   base::duration timeout) {
  http_connection connection(io);
  http_request request(method, target, 11);
  request.set(http::field::host, to);
  request.set(http::field::content_type, "application/json");
  request.body() = body;
  request.prepare_payload();
  auto answer = co_await exchange(connection, to, request, timeout);
  co_return answer;
}

} // namespace kingcupshunt::soak
