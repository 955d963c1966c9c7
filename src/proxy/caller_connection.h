#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "body_reader.h"
#include "event.h"

namespace kingcupshunt::proxy {

/// A caller's connection and its state while requests are served.
struct caller_connection {
  explicit caller_connection(tcp::socket socket, std::string addr)
      : stream(std::make_shared<timed_socket>(std::move(socket))), address(std::move(addr)),
        watch_ended(stream->socket().get_executor()) {}

  std::shared_ptr<timed_socket> stream;
  std::string address; ///< IP address of the caller
  std::optional<request_parser> parser;
  std::shared_ptr<event> wake;         ///< notified when the caller disconnects
  std::function<void()> on_disconnect; ///< called on disconnection, when set

  /// Marks the caller as disconnected and notifies `wake` and `on_disconnect`.
  void mark_disconnected();

  std::uint64_t requests = 0;   ///< heads that were read
  bool is_disconnected = false; ///< closed by the caller, or aborted
  bool is_aborted = false;      ///< closed by a stop; its requests are cancelled
  bool is_closing = false;      ///< no further request is read
  bool has_leftover = false;    ///< bytes arrived before the answer; they are discarded

  event watch_ended;
  bool is_watching = false;
  bool must_stop_watching = false;
};

/// Starts watching for the end of the caller's connection while nothing is read from it. A caller
/// that closes only its sending side also counts as disconnected.
void start_watch(const std::shared_ptr<caller_connection>& caller);

/// Ends the watch. Required before the connection is read again.
awaitable<void> stop_watch(caller_connection& caller);

/// Discards what the caller still sends, up to `max_bytes` and `max_time`, and closes the
/// connection. Closing it while the caller is still sending its body could cause a reset that
/// destroys the answer before the caller reads it.
awaitable<void> drain_and_close(caller_connection& caller, std::size_t max_bytes,
                                base::duration max_time);

} // namespace kingcupshunt::proxy
