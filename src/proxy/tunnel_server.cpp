#include <utility>

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/observe/event_log.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/proxy/tunnel_server.h"
#include "listener.h"
#include "tunnel.h"

namespace kingcupshunt::proxy {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds accept_retry_delay{100};
constexpr base::milliseconds stop_poll_interval{20};
/// A tunnel whose last bytes came from the server this long ago waits for a request.
constexpr base::milliseconds quiet_after_answer{100};

/// Part of the tunnels that is closed at once when there is room for no other.
constexpr std::size_t closed_divisor = 64;

/// Greatest read of each direction: with it, the buffers of all tunnels together stay in bounds.
constexpr std::size_t max_tunnel_read_bytes = std::size_t{16} * 1024;

/// One tunnel: the connection of the other instance and the one to the backend server.
struct tunnel {
  tunnel(tcp::socket accepted, const asio::any_io_executor& ex, int receive_bytes)
      : peer(std::make_shared<timed_socket>(std::move(accepted))),
        server(std::make_shared<timed_socket>(tcp::socket(ex))) {
    peer->limit_reads(max_tunnel_read_bytes);
    server->limit_reads(max_tunnel_read_bytes);
    server->set_receive_bytes(receive_bytes);
  }

  void close() {
    peer->close();
    server->close();
  }
  /// Ends the other instance's connection with a reset, so that an answer without a length does not
  /// look complete.
  void reset() {
    error_code ignored;
    peer->socket().set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  std::shared_ptr<timed_socket> peer;
  std::shared_ptr<timed_socket> server;
  base::time_point accepted_at = base::clock::now();
  bool is_authenticated = false;
  bool is_open = false;       ///< connected to the server
  bool is_answer_last = true; ///< the last bytes came from the server
  base::time_point used_at{};
};

} // namespace

struct tunnel_server::impl : std::enable_shared_from_this<impl> {
  impl(asio::io_context& io, tunnel_server_settings s,
       std::function<std::string(const std::string&)> resolve_server, observe::metrics& m)
      : executor(io.get_executor()), settings(std::move(s)), resolve(std::move(resolve_server)),
        metrics(m), acceptor(io), timer(io) {}

  awaitable<void> accept_loop();
  void close_unopened();
  awaitable<void> serve(std::shared_ptr<tunnel> t);
  awaitable<bool> open(tunnel& t);
  awaitable<bool> connect(tunnel& t, const std::string& server);
  awaitable<void> pump(std::shared_ptr<tunnel> t, bool is_answer);
  awaitable<void> finish_stop(base::time_point deadline, std::function<void()> done);

  asio::any_io_executor executor;
  tunnel_server_settings settings;
  std::function<std::string(const std::string&)> resolve;
  observe::metrics& metrics;
  tcp::acceptor acceptor;
  asio::steady_timer timer;
  std::unordered_set<std::shared_ptr<tunnel>> tunnels;
};

awaitable<void> tunnel_server::impl::accept_loop() {
  const auto self = shared_from_this();
  while (acceptor.is_open()) {
    error_code ec;
    auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (!ec && tunnels.size() >= settings.max_tunnels) {
      close_unopened();
    }
    if (!ec && tunnels.size() < settings.max_tunnels) {
      socket.set_option(tcp::no_delay(true), ec);
      asio::co_spawn(
          executor,
          [self, t = std::make_shared<tunnel>(std::move(socket), executor,
                                              self->settings.receive_bytes)] {
            return self->serve(t);
          },
          asio::detached);
    } else if (!ec) {
      metrics.count("tunnels_total", "too_many");
    } else if (acceptor.is_open()) {
      metrics.count("accept_failures_total");
      timer.expires_after(accept_retry_delay);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
  }
}

/// Closes the tunnels that have waited the longest for the other instance's request, so that
/// clients that are not of the fleet can't take all.
void tunnel_server::impl::close_unopened() {
  std::vector<std::shared_ptr<tunnel>> waiting;
  std::ranges::copy_if(tunnels, std::back_inserter(waiting),
                       [](const auto& t) { return !t->is_authenticated; });
  std::ranges::sort(waiting, {}, &tunnel::accepted_at);
  waiting.resize(std::min(waiting.size(), settings.max_tunnels / closed_divisor + 1));
  for (const auto& t : waiting) {
    metrics.count("tunnels_total", "replaced");
    t->close();
    tunnels.erase(t);
  }
}

awaitable<void> tunnel_server::impl::serve(std::shared_ptr<tunnel> t) {
  tunnels.insert(t);
  t->peer->expires_at(base::clock::now() + settings.open_timeout);
  const bool is_opened = co_await open(*t);
  metrics.count("tunnels_total", is_opened ? "opened" : "refused");
  if (!is_opened) {
    t->close();
    tunnels.erase(t);
    co_return;
  }
  t->is_open = true;
  t->used_at = base::clock::now();
  asio::co_spawn(
      executor, [self = shared_from_this(), t] { return self->pump(t, true); }, asio::detached);
  co_await pump(t, false);
}

/// Authenticates the other instance and connects to the server that it names.
awaitable<bool> tunnel_server::impl::open(tunnel& t) {
  peer::handshake handshake(peer::handshake_role::server, settings.handshake,
                            base::random_bytes(peer::challenge_bytes));
  tunnel_channel channel(*t.peer);
  while (!handshake.is_done()) {
    const auto content = co_await channel.read();
    if (!content) {
      co_return false;
    }
    const auto answer = handshake.receive(*content);
    if (!answer) {
      co_return false;
    }
    const bool is_written = co_await channel.write(answer.value());
    if (!is_written) {
      co_return false;
    }
  }
  t.is_authenticated = true;
  const auto content = co_await channel.read();
  const auto request = content ? peer::unpack<tunnel_request>(*content) : std::nullopt;
  if (!request || !channel.is_drained()) {
    co_return false;
  }
  tunnel_answer answer;
  answer.is_connected = co_await connect(t, request->server);
  const auto packet = peer::pack(answer);
  const bool is_written = co_await channel.write(packet);
  co_return is_written&& answer.is_connected;
}

awaitable<bool> tunnel_server::impl::connect(tunnel& t, const std::string& server) {
  const auto endpoint = endpoint_of(resolve(server));
  if (!endpoint) {
    observe::log_warning("tunnel_refused", {{"server", server}});
    co_return false;
  }
  t.server->expires_at(base::clock::now() + settings.connect_timeout);
  const auto ec = co_await t.server->connect(*endpoint);
  co_return !ec;
}

/// Copies the bytes of one direction until it ends.
awaitable<void> tunnel_server::impl::pump(std::shared_ptr<tunnel> t, bool is_answer) {
  auto& from = is_answer ? *t->server : *t->peer;
  auto& to = is_answer ? *t->peer : *t->server;
  error_code ec;
  while (!ec) {
    from.expires_at(base::clock::now() + settings.idle_timeout);
    ec = co_await from.read_some();
    if (!ec) {
      t->is_answer_last = is_answer;
      t->used_at = base::clock::now();
      to.expires_at(base::clock::now() + settings.idle_timeout);
      ec = co_await to.write(from.buffered());
      from.buffer().consume(from.buffer().size());
    }
  }
  // The other direction may still be reading: closing both sockets ends it.
  if (is_answer && ec != asio::error::eof && t->peer->is_open()) {
    t->reset();
  } else {
    t->close();
  }
  tunnels.erase(t);
}

awaitable<void> tunnel_server::impl::finish_stop(base::time_point deadline,
                                                 std::function<void()> done) {
  const auto self = shared_from_this();
  error_code ec;
  while (!tunnels.empty() && base::clock::now() < deadline) {
    const auto now = base::clock::now();
    for (const auto& t : std::vector<std::shared_ptr<tunnel>>(tunnels.begin(), tunnels.end())) {
      const bool is_waiting =
          t->is_open && t->is_answer_last && now - t->used_at >= quiet_after_answer;
      if (is_waiting) {
        t->close();
      }
    }
    timer.expires_at(std::min(deadline, now + stop_poll_interval));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  for (const auto& t : std::vector<std::shared_ptr<tunnel>>(tunnels.begin(), tunnels.end())) {
    t->reset();
  }
  done();
}

tunnel_server::tunnel_server(asio::io_context& io, tunnel_server_settings settings,
                             std::function<std::string(const std::string& server)> resolve,
                             observe::metrics& metrics)
    : impl_(std::make_shared<impl>(io, std::move(settings), std::move(resolve), metrics)) {
  listen_on(impl_->acceptor, impl_->settings.address, impl_->settings.port,
            impl_->settings.receive_bytes, impl_->settings.max_tunnels);
  asio::co_spawn(
      io, [self = impl_] { return self->accept_loop(); }, asio::detached);
}

tunnel_server::~tunnel_server() {
  error_code ignored;
  impl_->acceptor.close(ignored);
  impl_->timer.cancel(ignored);
  for (const auto& t :
       std::vector<std::shared_ptr<tunnel>>(impl_->tunnels.begin(), impl_->tunnels.end())) {
    t->close();
  }
}

std::uint16_t tunnel_server::port() const noexcept {
  error_code ignored;
  return impl_->acceptor.local_endpoint(ignored).port();
}

void tunnel_server::stop(base::time_point deadline, std::function<void()> done) {
  error_code ignored;
  impl_->acceptor.close(ignored);
  asio::co_spawn(
      impl_->executor,
      [self = impl_, deadline, done = std::move(done)] {
        return self->finish_stop(deadline, done);
      },
      asio::detached);
}

} // namespace kingcupshunt::proxy
