#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "body_reader.h"
#include "event.h"

namespace kingcupshunt::proxy {

/// The caller's connection while one of its requests is served.
struct caller_connection {
  explicit caller_connection(tcp::socket socket, std::string addr)
      : stream(std::make_shared<timed_socket>(std::move(socket))), address(std::move(addr)),
        watch_ended(stream->socket().get_executor()) {}

  std::shared_ptr<timed_socket> stream;
  std::string address; ///< IP address of the caller
  std::optional<request_parser> parser;
  std::shared_ptr<event> wake;         ///< notified when the caller goes away
  std::function<void()> on_disconnect; ///< called as well, when set

  /// Notes that the caller is gone and tells those who wait.
  void mark_disconnected();

  bool is_disconnected = false; ///< closed by the caller, or cut
  bool is_aborted = false;      ///< closed by a stop; no work goes on for it
  bool is_closing = false;      ///< no further request is read
  bool has_leftover = false;    ///< bytes came before the answer; they are not served

  event watch_ended;
  bool is_watching = false;
  bool must_stop_watching = false;
};

/// Starts to look for the end of the caller's connection while nothing is read from it. A caller
/// that closes only its sending side counts as gone too.
void start_watch(const std::shared_ptr<caller_connection>& caller);

/// Ends the watch before the connection is read again.
awaitable<void> stop_watch(caller_connection& caller);

/// Reads and drops what the caller still sends, within bounds, and closes. A caller that is still
/// sending its body gets to read the answer this way; a close at once could reset it away.
awaitable<void> drain_and_close(caller_connection& caller, std::size_t max_bytes,
                                base::duration max_time);

} // namespace kingcupshunt::proxy
