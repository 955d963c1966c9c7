#include "kingcupshunt/control/http_server.h"

#include <algorithm>
#include <array>
#include <bit>
#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "kingcupshunt/base/memory_budget.h"
#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::control {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using stream = beast::tcp_stream;
using parsed_request = http::request<http::string_body>;

constexpr std::uint32_t header_limit_bytes = 16 * 1024;
constexpr std::size_t read_buffer_bytes = std::size_t{32} * 1024;
/// A body of this size needs no share of the memory, so that announcements are always received.
constexpr std::size_t small_body_bytes = std::size_t{16} * 1024;
/// Of the rest of a refused request, which is read so that its sender gets the answer.
constexpr std::size_t max_discarded_bytes = std::size_t{1} << 20U;
constexpr base::milliseconds discard_timeout{1000};

std::string to_lower(std::string_view text) {
  std::string out(text);
  for (auto& c : out) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
  }
  return out;
}

bool convert(parsed_request& in, const stream& socket, http_request& out) {
  out.method = std::string(in.method_string());
  for (const auto& field : in) {
    out.headers[to_lower(std::string(field.name_string()))] = std::string(field.value());
  }
  out.body = std::move(in.body());
  error_code ec;
  out.caller_address = socket.socket().remote_endpoint(ec).address().to_string();
  return parse_target(std::string(in.target()), out);
}

// Waits until the handler has called `done`, on the event loop that runs the coroutine.
asio::awaitable<http_response> run_handler(const http_handler& handler, http_request request) {
  struct pending {
    explicit pending(const asio::any_io_executor& executor) : timer(executor) {}
    asio::steady_timer timer;
    std::optional<http_response> response;
  };
  const auto executor = co_await asio::this_coro::executor;
  const auto state = std::make_shared<pending>(executor);
  state->timer.expires_at(asio::steady_timer::time_point::max());
  try {
    handler(request, [state](http_response response) {
      state->response = std::move(response);
      state->timer.cancel();
    });
  } catch (const std::exception& e) {
    observe::log_error("handler_failed", {{"path", request.path}, {"error", e.what()}});
    state->response = error_response(500, "internal", "the request can't be handled");
  }
  while (!state->response) {
    error_code ec;
    co_await state->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return std::move(*state->response);
}

http::response<http::string_body> to_beast(http_response in, unsigned version, bool keep_alive) {
  http::response<http::string_body> out;
  out.version(version);
  out.result(in.status);
  out.set(http::field::content_type, in.content_type);
  out.set(http::field::cache_control, "no-store");
  for (const auto& [name, value] : in.headers) {
    out.set(name, value);
  }
  out.keep_alive(keep_alive);
  out.body() = std::move(in.body);
  out.prepare_payload();
  return out;
}

} // namespace

struct http_server::impl : std::enable_shared_from_this<http_server::impl> {
  impl(asio::io_context& io, http_server_settings s, http_handler h)
      : settings(std::move(s)), handler(std::move(h)), acceptor(io), memory(settings.body_memory) {
    const tcp::endpoint at(asio::ip::make_address(settings.address), settings.port);
    acceptor.open(at.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(at);
    acceptor.listen();
  }

  asio::awaitable<void> accept_loop() {
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
      error_code ec;
      tcp::socket socket(acceptor.get_executor());
      co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        // On errors such as a lack of file descriptors, wait instead of spinning.
        asio::steady_timer pause(acceptor.get_executor(), base::milliseconds(100));
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        continue;
      }
      if (open_connections < settings.connections) {
        asio::co_spawn(acceptor.get_executor(), serve(std::move(socket)), asio::detached);
      }
    }
  }

  asio::awaitable<void> serve(tcp::socket socket) {
    const auto self = shared_from_this();
    ++open_connections;
    stream connection(std::move(socket));
    beast::flat_buffer buf(read_buffer_bytes);
    while (acceptor.is_open() && co_await serve_one(connection, buf)) {
    }
    error_code ec;
    connection.socket().shutdown(tcp::socket::shutdown_both, ec);
    --open_connections;
  }

  // Memory of the body until the end of the next read. The first read of one with a length takes
  // all of it; one without may grow, to twice its capacity beside the former copy.
  static std::size_t memory_of(const http::request_parser<http::string_body>& parser) {
    const auto& body = parser.get().body();
    if (const auto length = parser.content_length()) {
      return std::max(body.capacity(), static_cast<std::size_t>(*length));
    }
    const bool may_grow = body.size() + read_buffer_bytes > body.capacity();
    return body.capacity() * (may_grow ? 3 : 1);
  }

  // Reads one request. `held` grows with its body. Fails with no_buffer_space when the bodies of
  // all requests together leave no memory for it.
  asio::awaitable<error_code> read(stream& connection, beast::flat_buffer& buf,
                                   http::request_parser<http::string_body>& parser,
                                   base::memory_budget::lease& held) {
    error_code ec;
    co_await http::async_read_header(connection, buf, parser,
                                     asio::redirect_error(asio::use_awaitable, ec));
    while (!ec && !parser.is_done()) {
      const auto size = memory_of(parser);
      if (size > small_body_bytes && !memory.extend(held, size)) {
        co_return asio::error::make_error_code(asio::error::no_buffer_space);
      }
      co_await http::async_read_some(connection, buf, parser,
                                     asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return ec;
  }

  // Closing a connection with unread bytes resets it, and the sender might lose the answer.
  static asio::awaitable<void> discard_rest(stream& connection) {
    error_code ec;
    connection.socket().shutdown(tcp::socket::shutdown_send, ec);
    std::array<char, 4096> bytes{};
    connection.expires_after(discard_timeout);
    for (std::size_t sum = 0; !ec && sum < max_discarded_bytes;) {
      const auto n = co_await connection.async_read_some(
          asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
      sum += n;
    }
  }

  static http_response response_of(error_code ec) {
    if (ec == asio::error::no_buffer_space) {
      return error_response(503, "too_many_bodies", "the bodies of other calls take all memory");
    }
    const bool too_large = ec == http::error::body_limit;
    return error_response(too_large ? 413 : 400, too_large ? "body_too_large" : "bad_request",
                          ec.message());
  }

  // Answers one request. Returns whether the connection can carry another.
  asio::awaitable<bool> serve_one(stream& connection, beast::flat_buffer& buf) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(settings.body_limit);
    parser.header_limit(header_limit_bytes);
    connection.expires_after(settings.timeout);
    base::memory_budget::lease held;
    auto ec = co_await read(connection, buf, parser, held);
    if (ec == http::error::end_of_stream || ec == beast::error::timeout) {
      co_return false;
    }
    http_response response;
    bool keep_alive = false;
    unsigned version = 11;
    const bool is_refused = ec.failed();
    if (is_refused) {
      response = response_of(ec);
      if (response.status == 503 && std::has_single_bit(++without_memory)) {
        observe::log_warning("calls_without_memory",
                             {{"count", without_memory}, {"held", memory.used()}});
      }
      std::string().swap(parser.get().body());
      held = {};
    } else {
      auto parsed = parser.release();
      keep_alive = parsed.keep_alive();
      version = parsed.version();
      http_request request;
      if (convert(parsed, connection, request)) {
        connection.expires_never();
        response = co_await run_handler(handler, std::move(request));
        connection.expires_after(settings.timeout);
      } else {
        response = error_response(400, "bad_target", "the request target can't be decoded");
      }
    }
    auto out = to_beast(std::move(response), version, keep_alive && acceptor.is_open());
    co_await http::async_write(connection, out, asio::redirect_error(asio::use_awaitable, ec));
    if (is_refused && !ec) {
      co_await discard_rest(connection);
    }
    co_return !ec && out.keep_alive();
  }

  http_server_settings settings;
  http_handler handler;
  tcp::acceptor acceptor;
  base::memory_budget memory;
  std::size_t open_connections = 0;
  std::uint64_t without_memory = 0; ///< calls that were refused; a few of them are logged
};

http_server::http_server(asio::io_context& io, http_server_settings settings, http_handler handler)
    : impl_(std::make_shared<impl>(io, std::move(settings), std::move(handler))) {
  asio::co_spawn(io, impl_->accept_loop(), asio::detached);
}

http_server::~http_server() {
  stop();
}

void http_server::stop() {
  error_code ec;
  impl_->acceptor.close(ec);
}

} // namespace kingcupshunt::control
