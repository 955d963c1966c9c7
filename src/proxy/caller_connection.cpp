#include "caller_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace kingcupshunt::proxy {

namespace asio = boost::asio;

namespace {

awaitable<void> watch(std::shared_ptr<caller_connection> caller) {
  auto& stream = *caller->stream;
  while (!caller->must_stop_watching && stream.buffered().size() < caller->max_read_ahead) {
    auto ec = co_await stream.wait_readable();
    if (ec || caller->must_stop_watching) {
      break;
    }
    ec = stream.read_available();
    if (ec == asio::error::would_block) {
      continue;
    }
    if (ec == asio::error::no_buffer_space) {
      break; // as when the buffer is full
    }
    if (ec) {
      caller->mark_disconnected();
      break;
    }
    caller->changed.notify();
  }
  caller->is_watching = false;
  caller->watch_ended.notify();
}

} // namespace

void caller_connection::finish(const caller_request& r) {
  const bool was_first = is_first(r);
  std::erase_if(requests, [&](const auto& other) { return other.get() == &r; });
  if (was_first && !requests.empty()) {
    requests.front()->wake->notify();
  }
  changed.notify();
}

void caller_connection::mark_disconnected() {
  is_disconnected = true;
  is_closing = true;
  for (const auto& r : requests) {
    r->wake->notify();
    if (r->on_disconnect) {
      r->on_disconnect();
    }
  }
  changed.notify();
}

void caller_connection::start_reading(base::time_point now) {
  is_reading = true;
  is_stalled = false;
  sampled_bytes = stream->received();
  sampled_at = now;
}

void caller_connection::stop_reading() noexcept {
  is_reading = false;
  is_stalled = false;
  body_bytes = 0;
}

void caller_connection::sample_rate(base::time_point now, base::duration interval,
                                    double least_bytes_per_second) {
  if (!is_reading || now - sampled_at < interval) {
    return;
  }
  const auto bytes = static_cast<double>(stream->received() - sampled_bytes);
  is_stalled = bytes < least_bytes_per_second * base::to_seconds(now - sampled_at);
  sampled_bytes = stream->received();
  sampled_at = now;
}

void start_watch(const std::shared_ptr<caller_connection>& caller) {
  if (caller->is_watching || caller->is_disconnected) {
    return;
  }
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
  // Discards the notification of a watch that ended by itself, which would end the next wait early.
  caller.watch_ended.clear();
}

awaitable<void> drain_and_close(caller_connection& caller, std::size_t max_bytes,
                                base::duration max_time) {
  auto& stream = *caller.stream;
  error_code ec;
  stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  stream.buffer().clear();
  stream.release_buffer();
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
