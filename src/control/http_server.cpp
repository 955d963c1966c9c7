#include "kingcupshunt/control/http_server.h"

#include <algorithm>
#include <array>
#include <bit>
#include <exception>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

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
#include "kingcupshunt/control/connection_choice.h"
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
constexpr std::size_t read_buffer_bytes = header_limit_bytes + 1024;
/// A body or answer of this size needs no share of the memory, so that announcements are always
/// received.
constexpr std::size_t small_bytes = std::size_t{4} * 1024;
/// Part of the connections that is closed at once when there is room for no other, so that the
/// search for them is seldom needed.
constexpr std::size_t closed_divisor = 64;
/// Of the connections, those that the system may hold before they are accepted.
constexpr std::size_t backlog_divisor = 4;
constexpr int least_backlog = 64;
/// When memory is short, a caller that has moved less than this for `stall_time` loses its
/// connection.
constexpr std::size_t least_progress_bytes = std::size_t{4} * 1024;
constexpr base::milliseconds stall_time{1000};
/// Time until the next search for stalled callers, after one that found none.
constexpr base::milliseconds reclaim_pause{100};
/// Of the rest of a refused request, which is read so that its sender gets the answer: many senders
/// read none before they have sent all.
constexpr std::size_t least_discarded_bytes = std::size_t{1} << 20U;
constexpr std::size_t discarded_bodies = 4; ///< in greatest bodies
constexpr base::milliseconds discard_timeout{1000};

std::string to_lower(std::string_view text) {
  std::string out(text);
  for (auto& c : out) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
  }
  return out;
}

/// An open connection. It waits for its caller except while the handler runs.
struct caller {
  explicit caller(tcp::socket accepted) : connection(std::move(accepted)) {
    error_code ec;
    address = connection.socket().remote_endpoint(ec).address().to_string();
  }

  void start_waiting() {
    is_waiting = true;
    since = base::clock::now();
    moved = 0;
  }
  void note_progress(std::size_t n) {
    moved += n;
    if (moved >= least_progress_bytes) {
      start_waiting();
    }
  }

  stream connection;
  std::string address;
  bool is_waiting = true;
  base::time_point since = base::clock::now(); ///< beginning of the wait, or the last progress
  std::size_t moved = 0;                       ///< bytes since then
  base::memory_budget::lease body;
  base::memory_budget::lease answer;
};

bool convert(parsed_request& in, const std::string& address, http_request& out) {
  out.method = std::string(in.method_string());
  for (const auto& field : in) {
    out.headers[to_lower(std::string(field.name_string()))] = std::string(field.value());
  }
  out.body = std::move(in.body());
  out.caller_address = address;
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
      : settings(std::move(s)), handler(std::move(h)), acceptor(io), bodies(settings.body_memory),
        answers(settings.answer_memory) {
    const tcp::endpoint at(asio::ip::make_address(settings.address), settings.port);
    acceptor.open(at.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    // Accepted connections inherit it. Set before they send, it bounds their window.
    acceptor.set_option(asio::socket_base::receive_buffer_size(settings.receive_bytes));
    acceptor.bind(at);
    acceptor.listen(
        std::max(least_backlog, static_cast<int>(settings.connections / backlog_divisor)));
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
      if (callers.size() >= settings.connections) {
        close_waiting();
      }
      if (callers.size() < settings.connections) {
        asio::co_spawn(acceptor.get_executor(), serve(std::make_shared<caller>(std::move(socket))),
                       asio::detached);
      }
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<caller> c) {
    const auto self = shared_from_this();
    callers.insert(c);
    beast::flat_buffer buf(read_buffer_bytes);
    while (acceptor.is_open() && co_await serve_one(*c, buf)) {
    }
    error_code ec;
    c->connection.socket().shutdown(tcp::socket::shutdown_both, ec);
    callers.erase(c);
  }

  /// Ends the coroutine that serves the connection; its memory is free after that.
  void close(const std::shared_ptr<caller>& c) {
    c->connection.close();
    callers.erase(c);
  }

  /// Makes room for new connections. What a handler is called for is not interrupted.
  void close_waiting() {
    std::vector<std::shared_ptr<caller>> found;
    std::vector<waiting_connection> waiting;
    for (const auto& c : callers) {
      if (c->is_waiting) {
        found.push_back(c);
        waiting.push_back({c->address, c->since});
      }
    }
    const auto n = std::max<std::size_t>(1, settings.connections / closed_divisor);
    for (const auto i : choose_connections_to_close(waiting, n)) {
      close(found[i]);
      ++replaced;
      if (std::has_single_bit(replaced)) {
        observe::log_warning("call_connections_replaced", {{"port", settings.port},
                                                           {"count", replaced},
                                                           {"address", found[i]->address},
                                                           {"limit", settings.connections}});
      }
    }
  }

  /// Raises a lease. When there is not enough memory, closes the connections of stalled callers
  /// that hold some of it, which is free a little later.
  bool extend(base::memory_budget& budget, base::memory_budget::lease caller::*lease, caller& of,
              std::size_t bytes) {
    if (bytes <= small_bytes || budget.extend(of.*lease, bytes)) {
      return true;
    }
    const auto now = base::clock::now();
    if (now < next_reclaim) {
      return false;
    }
    next_reclaim = now + reclaim_pause;
    std::vector<std::shared_ptr<caller>> stalled;
    for (const auto& c : callers) {
      if (c->is_waiting && ((*c).*lease).size() > 0 && now - c->since >= stall_time) {
        stalled.push_back(c);
      }
    }
    for (const auto& c : stalled) {
      close(c);
    }
    return false;
  }

  // Memory of the body until the end of the next read. The first read of one with a length takes
  // all of it; one without may grow, to twice its capacity beside the former copy.
  static std::size_t memory_of(const http::request_parser<http::string_body>& parser) {
    const auto& body = parser.get().body();
    if (const auto length = parser.content_length()) {
      return std::max(body.capacity(), static_cast<std::size_t>(*length));
    }
    const bool may_grow = body.size() + read_buffer_bytes > body.capacity();
    return std::max(body.capacity() * (may_grow ? 3 : 1), read_buffer_bytes);
  }

  // Reads one request. Fails with no_buffer_space when the bodies of all requests together leave no
  // memory for its body.
  asio::awaitable<error_code> read(caller& c, beast::flat_buffer& buf,
                                   http::request_parser<http::string_body>& parser) {
    error_code ec;
    co_await http::async_read_header(c.connection, buf, parser,
                                     asio::redirect_error(asio::use_awaitable, ec));
    c.start_waiting();
    while (!ec && !parser.is_done()) {
      if (!extend(bodies, &caller::body, c, memory_of(parser))) {
        co_return asio::error::make_error_code(asio::error::no_buffer_space);
      }
      const auto n = co_await http::async_read_some(c.connection, buf, parser,
                                                    asio::redirect_error(asio::use_awaitable, ec));
      c.note_progress(n);
    }
    co_return ec;
  }

  // Closing a connection with unread bytes resets it, and the sender might lose the answer.
  asio::awaitable<void> discard_rest(stream& connection) {
    error_code ec;
    connection.socket().shutdown(tcp::socket::shutdown_send, ec);
    std::array<char, std::size_t{16} * 1024> bytes{};
    const auto most = std::max(least_discarded_bytes, discarded_bodies * settings.body_limit);
    connection.expires_after(discard_timeout);
    for (std::size_t sum = 0; !ec && sum < most;) {
      const auto n = co_await connection.async_read_some(
          asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
      sum += n;
    }
  }

  http_response refused_for_memory(const char* code, const char* message) {
    if (std::has_single_bit(++without_memory)) {
      observe::log_warning("calls_without_memory", {{"port", settings.port},
                                                    {"count", without_memory},
                                                    {"bodies", bodies.used()},
                                                    {"answers", answers.used()}});
    }
    return error_response(503, code, message);
  }

  http_response response_of(error_code ec) {
    if (ec == asio::error::no_buffer_space) {
      return refused_for_memory("too_many_bodies", "the bodies of other calls take all memory");
    }
    if (ec == http::error::body_limit) {
      return error_response(413, "body_too_large",
                            "allowed are " + std::to_string(settings.body_limit) + " bytes");
    }
    return error_response(400, "bad_request", ec.message());
  }

  asio::awaitable<http_response> handle(caller& c, parsed_request& parsed) {
    http_request request;
    if (!convert(parsed, c.address, request)) {
      co_return error_response(400, "bad_target", "the request target can't be decoded");
    }
    c.connection.expires_never();
    c.is_waiting = false;
    auto out = co_await run_handler(handler, std::move(request));
    c.start_waiting();
    c.connection.expires_after(settings.timeout);
    c.body = {};
    if (!extend(answers, &caller::answer, c, out.body.size())) {
      out = refused_for_memory("too_many_answers", "answers that are not read take all memory");
    }
    co_return out;
  }

  // Answers one request. Returns whether the connection can carry another.
  asio::awaitable<bool> serve_one(caller& c, beast::flat_buffer& buf) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(settings.body_limit);
    parser.header_limit(header_limit_bytes);
    c.connection.expires_after(settings.timeout);
    c.start_waiting();
    auto ec = co_await read(c, buf, parser);
    if (ec == http::error::end_of_stream || ec == beast::error::timeout ||
        ec == asio::error::operation_aborted) {
      co_return false;
    }
    http_response response;
    bool keep_alive = false;
    unsigned version = 11;
    const bool is_refused = ec.failed();
    if (is_refused) {
      response = response_of(ec);
      std::string().swap(parser.get().body());
      c.body = {};
    } else {
      auto parsed = parser.release();
      keep_alive = parsed.keep_alive();
      version = parsed.version();
      response = co_await handle(c, parsed);
    }
    {
      auto out = to_beast(std::move(response), version, keep_alive && acceptor.is_open());
      co_await http::async_write(c.connection, out, asio::redirect_error(asio::use_awaitable, ec));
      keep_alive = out.keep_alive();
    }
    c.answer = {};
    if (is_refused && !ec) {
      co_await discard_rest(c.connection);
    }
    co_return !ec && keep_alive;
  }

  http_server_settings settings;
  http_handler handler;
  tcp::acceptor acceptor;
  base::memory_budget bodies;
  base::memory_budget answers;
  std::unordered_set<std::shared_ptr<caller>> callers;
  base::time_point next_reclaim{};
  std::uint64_t without_memory = 0; ///< calls that were refused; a few of them are logged
  std::uint64_t replaced = 0;       ///< connections that were closed for others; the same
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
