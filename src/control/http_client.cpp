#include "kingcupshunt/control/http_client.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "kingcupshunt/base/http_status.h"

namespace kingcupshunt::control {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::uint64_t answer_limit_bytes = 256ULL << 20U;

std::string to_lower(std::string text) {
  for (auto& c : text) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
  }
  return text;
}

// One request and its answer as a chain of callbacks, so that a single deadline covers both.
class exchange {
public:
  exchange(asio::io_context& io, asio::ip::tcp::endpoint to,
           http::request<http::string_body> request)
      : stream_(io), to_(std::move(to)), request_(std::move(request)) {
    parser_.body_limit(answer_limit_bytes);
  }

  void start(base::milliseconds timeout) {
    stream_.expires_after(timeout);
    stream_.async_connect(to_, [this](error_code ec) {
      if (!failed(ec)) {
        http::async_write(stream_, request_, [this](error_code written, std::size_t) {
          if (!failed(written)) {
            read();
          }
        });
      }
    });
  }

  base::result<http_response, http_client_error> take() {
    if (error_) {
      return http_client_error{error_.message()};
    }
    auto answer = parser_.release();
    if (!base::is_http_status(answer.result_int())) {
      return http_client_error{"the answer has the invalid status " +
                               std::to_string(answer.result_int())};
    }
    http_response out{answer.result_int(), std::string(answer[http::field::content_type]),
                      std::move(answer.body())};
    for (const auto& field : answer) {
      out.headers[to_lower(std::string(field.name_string()))] = std::string(field.value());
    }
    return out;
  }

private:
  bool failed(error_code ec) {
    error_ = ec;
    return static_cast<bool>(ec);
  }

  void read() {
    http::async_read(stream_, buf_, parser_, [this](error_code ec, std::size_t) { failed(ec); });
  }

  beast::tcp_stream stream_;
  asio::ip::tcp::endpoint to_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  beast::flat_buffer buf_;
  error_code error_;
};

bool parse_endpoint(const std::string& text, asio::ip::tcp::endpoint& out) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  error_code ec;
  const auto address = asio::ip::make_address(text.substr(0, colon), ec);
  const auto port = std::strtoul(text.c_str() + colon + 1, nullptr, 10);
  if (ec || port == 0 || port > 65535) {
    return false;
  }
  out = {address, static_cast<unsigned short>(port)};
  return true;
}

} // namespace

base::result<http_response, http_client_error>
call(const std::string& endpoint, const std::string& method, const std::string& target,
     const std::string& body, base::milliseconds timeout, const http_headers& headers) {
  asio::ip::tcp::endpoint to;
  if (!parse_endpoint(endpoint, to)) {
    return http_client_error{"\"" + endpoint + "\" is not an IP address and port"};
  }
  http::request<http::string_body> request;
  request.method_string(method);
  request.target(target);
  request.version(11);
  request.set(http::field::host, endpoint);
  request.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : headers) {
    request.set(name, value);
  }
  request.keep_alive(false);
  request.body() = body;
  request.prepare_payload();
  asio::io_context io;
  exchange one(io, to, std::move(request));
  one.start(timeout);
  io.run();
  return one.take();
}

} // namespace kingcupshunt::control
