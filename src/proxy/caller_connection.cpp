#include "caller_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace kingcupshunt::proxy {

namespace asio = boost::asio;

namespace {

/// A caller that sends more than this before its answer is taken for gone.
constexpr std::size_t max_early_bytes = std::size_t{64} * 1024;

awaitable<void> watch(std::shared_ptr<caller_connection> caller) {
  std::size_t early = 0;
  while (!caller->must_stop_watching) {
    auto ec = co_await caller->stream->wait_readable();
    if (ec || caller->must_stop_watching) {
      break;
    }
    std::size_t n = 0;
    ec = caller->stream->discard_available(n);
    if (ec == asio::error::would_block) {
      continue;
    }
    early += n;
    caller->has_leftover = caller->has_leftover || n > 0;
    if (ec || early > max_early_bytes) {
      caller->mark_disconnected();
      break;
    }
  }
  caller->is_watching = false;
  caller->watch_ended.notify();
}

} // namespace

void caller_connection::mark_disconnected() {
  is_disconnected = true;
  is_closing = true;
  if (wake) {
    wake->notify();
  }
  if (on_disconnect) {
    on_disconnect();
  }
}

void start_watch(const std::shared_ptr<caller_connection>& caller) {
  caller->must_stop_watching = false;
  caller->is_watching = true;
  asio::co_spawn(
      caller->stream->socket().get_executor(), [caller] { return watch(caller); }, asio::detached);
}

awaitable<void> stop_watch(caller_connection& caller) {
  caller.must_stop_watching = true;
  while (caller.is_watching) {
    error_code ignored;
    caller.stream->socket().cancel(ignored);
    co_await caller.watch_ended.wait_until(base::time_point::max());
  }
  // A notification of a watch that ended by itself must not end the next wait.
  caller.watch_ended.clear();
}

awaitable<void> drain_and_close(caller_connection& caller, std::size_t max_bytes,
                                base::duration max_time) {
  auto& stream = *caller.stream;
  error_code ec;
  stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  stream.expires_at(base::clock::now() + max_time);
  std::size_t drained = 0;
  while (!ec && drained < max_bytes) {
    ec = co_await stream.wait_readable();
    std::size_t n = 0;
    if (!ec) {
      ec = stream.discard_available(n);
    }
    if (ec == asio::error::would_block) {
      ec = {};
    }
    drained += n;
  }
  stream.close();
}

} // namespace kingcupshunt::proxy
