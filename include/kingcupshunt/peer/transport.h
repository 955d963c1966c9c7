#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/peer/frame.h"
#include "kingcupshunt/peer/message.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace kingcupshunt::peer {

enum class transport_error : std::uint8_t {
  bad_address,  ///< not "ip:port"
  cannot_listen ///< the address is in use or not of this machine
};

/// Short fixed text for `error`.
const char* message_of(transport_error error) noexcept;

struct transport_limits {
  std::size_t max_queued_messages = 1024;   ///< per peer; the oldest is dropped
  std::size_t max_queued_bytes = 4U << 20U; ///< per peer
  std::size_t max_incoming = 8192;          ///< accepted connections
  std::size_t max_unauthenticated = 1024;   ///< of these, before the handshake's end
  /// Incomplete frames of all connections together, beyond small ones. A connection whose frame
  /// finds no memory is closed.
  std::size_t frame_memory = 32U << 20U;
  base::duration max_queue_time = base::seconds(2);   ///< older messages are dropped unsent
  base::duration connect_timeout = base::seconds(2);  ///< including the handshake
  base::duration heartbeat = base::milliseconds(500); ///< greatest pause on a used connection
  base::duration silence = base::milliseconds(2000);  ///< without any byte: replaced
  base::duration idle_close = base::seconds(10);      ///< without messages in either direction
  base::duration least_backoff = base::milliseconds(50);
  base::duration greatest_backoff = base::seconds(2);
};

struct transport_settings {
  std::string self_id;
  std::string fleet;
  std::string secret;
  std::string listen_address; ///< "ip:port"; port 0 lets the system choose
  transport_limits limits;
  version_range versions;
  std::uint64_t seed = 1; ///< of the backoff's jitter
};

struct peer_address {
  std::string id;
  std::string address; ///< "ip:port"
};

/// Why a message was not sent.
enum class drop_reason : std::uint8_t {
  queue_full, ///< more is queued for the receiver than the limits allow
  late,       ///< waited longer than max_queue_time
  unknown,    ///< the receiver has no address and no connection
  too_large   ///< longer than a frame
};

/// Fixed text for logs and metrics.
const char* name_of(drop_reason reason) noexcept;

/// A message that was dropped unsent.
struct dropped_message {
  std::string_view to;
  message_kind kind{};
  std::size_t bytes = 0; ///< of the body
  drop_reason reason{};
};

struct transport_counters {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t sent_bytes = 0; ///< on the wire, with handshakes and heartbeats
  std::uint64_t received_bytes = 0;
  std::uint64_t dropped_full = 0;    ///< from full queues
  std::uint64_t dropped_late = 0;    ///< waited longer than max_queue_time
  std::uint64_t dropped_unknown = 0; ///< to peers without an address and connection
  std::uint64_t dropped_too_large = 0;
  std::uint64_t relayed = 0;         ///< forwarded for others
  std::uint64_t rejected_relays = 0; ///< forged, malformed or with an unknown receiver
  std::uint64_t connects = 0;
  std::uint64_t failed_connects = 0;
  std::uint64_t silent_connections = 0;
  std::uint64_t frame_errors = 0;
  std::uint64_t handshake_errors = 0;
  std::uint64_t refused_connections = 0;  ///< beyond max_incoming or max_unauthenticated
  std::uint64_t replaced_connections = 0; ///< closed for new ones before their authentication
  std::uint64_t closed_for_memory = 0;    ///< connections whose frame found no memory
};

/// Carries messages between instances over authenticated TCP connections. All calls and handlers
/// belong to the thread that runs the io_context. Delivery is not guaranteed.
class transport {
public:
  using message_function =
      std::function<void(std::string_view from, message_kind kind, std::string body)>;

  transport(boost::asio::io_context& context, transport_settings settings);
  ~transport();
  transport(const transport&) = delete;
  transport& operator=(const transport&) = delete;

  /// Listens and starts the timer.
  base::result<void, transport_error> start();

  /// Closes every connection. Handlers are not called afterwards.
  void stop();

  /// Port that start() listens on.
  std::uint16_t listen_port() const noexcept;

  /// Replaces the addresses of the other instances. Connections to removed ones are closed.
  void set_peers(std::span<const peer_address> peers);

  void on_message(message_function handler);

  /// Called for each message that is dropped.
  void on_drop(std::function<void(const dropped_message&)> handler);

  /// Called with the outcome of each try to reach a peer, for the self watch.
  void on_connect_result(std::function<void(std::string_view peer, bool is_connected)> handler);

  /// Queues one message. Connects when there is no connection. Returns false when it is dropped.
  bool send(std::string_view to, message_kind kind, std::string body);

  /// Sends messages for `to` through `via` until clear_relay. Probes of the failure detector stay
  /// on the direct path, since they test it.
  void set_relay(std::string_view to, std::string_view via);
  void clear_relay(std::string_view to);

  /// Whether an authenticated connection with this peer exists in either direction.
  bool is_connected(std::string_view peer) const;

  const transport_counters& counters() const noexcept;

private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

} // namespace kingcupshunt::peer
