#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "body_reader.h"
#include "caller_memory.h"
#include "event.h"

namespace kingcupshunt::proxy {

/// One request on a caller's connection, from the end of its head to the end of its answer.
struct caller_request {
  explicit caller_request(const boost::asio::any_io_executor& executor)
      : wake(std::make_shared<event>(executor)) {}

  request_parser parser;
  std::uint64_t serial = 0; ///< 1: the first request of its connection
  base::time_point arrival_time;
  /// Notified when the caller disconnects, at the beginning of a stop, and when the request becomes
  /// the first without an answer.
  std::shared_ptr<event> wake;
  std::function<void()> on_disconnect; ///< called on disconnection, when set
  /// The next request may be served before this one is answered.
  bool may_be_followed = false;
  caller_memory::lease memory; ///< of the head, its copies and what serving the request needs
};

/// A caller's connection and the requests on it that are not answered yet.
struct caller_connection {
  caller_connection(tcp::socket socket, std::string addr, std::size_t read_ahead)
      : stream(std::make_shared<timed_socket>(std::move(socket))), address(std::move(addr)),
        max_read_ahead(read_ahead), changed(stream->socket().get_executor()),
        watch_ended(stream->socket().get_executor()) {}

  std::shared_ptr<timed_socket> stream;
  std::string address;                                   ///< IP address of the caller
  std::size_t max_read_ahead;                            ///< bytes
  std::vector<std::shared_ptr<caller_request>> requests; ///< in the order of their arrival

  bool is_first(const caller_request& r) const { return requests.front().get() == &r; }
  bool is_last(const caller_request& r) const { return requests.back().get() == &r; }

  /// Removes an answered request and wakes the one behind it.
  void finish(const caller_request& r);

  /// Marks the caller as disconnected and notifies all requests.
  void mark_disconnected();

  std::uint64_t request_count = 0; ///< heads that were read
  bool is_disconnected = false;    ///< closed by the caller, or aborted
  bool is_aborted = false;         ///< closed by a stop; its requests are cancelled
  bool is_cut = false;             ///< closed within an answer that was cut
  bool is_closing = false;         ///< no further request is read

  caller_memory::lease memory;        ///< of the connection
  caller_memory::lease buffer_memory; ///< of its read buffer
  /// On whose behalf the connection holds memory, with the workspace and route of a body.
  caller_memory::holders holders;

  /// Begins to observe the rate of a head or body; `stop_reading` ends it.
  void start_reading(base::time_point now);
  void stop_reading() noexcept;
  /// Updates `is_stalled` when the last call is at least `interval` ago.
  void sample_rate(base::time_point now, base::duration interval, double least_bytes_per_second);
  bool is_reading = false;
  bool is_dropped = false; ///< its head or body was stalled while memory was short
  bool is_stalled = false; ///< the head or body arrives more slowly than the least rate
  std::uint64_t sampled_bytes = 0;
  base::time_point sampled_at;
  std::size_t body_bytes = 0; ///< memory of the body that is being read

  event changed; ///< notified when bytes have arrived and when the requests above change
  event watch_ended;
  bool is_watching = false;
  bool must_stop_watching = false;
};

/// Starts reading ahead while no request's body is read from the connection, unless it is being
/// watched already: sees the end of the connection and buffers what follows, up to max_read_ahead.
/// A caller that closes only its sending side also counts as disconnected.
void start_watch(const std::shared_ptr<caller_connection>& caller);

/// Ends the watch. Required before the connection is read in another way.
awaitable<void> stop_watch(caller_connection& caller);

/// Discards what the caller still sends, up to `max_bytes` and `max_time`, and closes the
/// connection. Closing it while the caller is still sending its body could cause a reset that
/// destroys the answer before the caller reads it.
awaitable<void> drain_and_close(caller_connection& caller, std::size_t max_bytes,
                                base::duration max_time);

} // namespace kingcupshunt::proxy
