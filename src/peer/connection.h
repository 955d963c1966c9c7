#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "kingcupshunt/base/memory_budget.h"
#include "kingcupshunt/peer/handshake.h"
#include "kingcupshunt/peer/transport.h"

namespace kingcupshunt::peer {

class connection;

/// What a connection tells its owner. The functions are called from the io_context only.
struct connection_events {
  /// The peer is authenticated.
  std::function<void(connection&)> on_ready;
  /// One authenticated message other than a heartbeat.
  std::function<void(connection&, frame)> on_frame;
  /// The connection ended; it is called once.
  std::function<void(connection&)> on_closed;
  /// Next message to write, or empty.
  std::function<std::optional<frame>(connection&)> next_frame;
};

/// One TCP connection with handshake, framing and heartbeat.
class connection : public std::enable_shared_from_this<connection> {
public:
  using socket = boost::asio::ip::tcp::socket;

  connection(socket s, handshake_role role, const transport_settings& settings,
             std::string expected_peer, base::memory_budget& frames, transport_counters& counters,
             connection_events events);

  /// Connects to `endpoint` and starts the handshake.
  void connect(const boost::asio::ip::tcp::endpoint& endpoint);

  /// Starts the handshake on an accepted socket.
  void accept();

  /// Writes what next_frame offers, unless a write is under way.
  void flush();

  /// Checks the time limits and sends a heartbeat when due.
  void tick(base::time_point now);

  void close();

  bool is_ready() const noexcept { return is_ready_; }
  bool is_closed() const noexcept { return is_closed_; }
  bool is_outgoing() const noexcept { return role_ == handshake_role::client; }

  /// Id of the authenticated peer, or of the expected one.
  const std::string& peer_id() const noexcept { return peer_id_; }
  base::time_point started_at() const noexcept { return started_at_; }

private:
  void read();
  void on_bytes(std::size_t n);
  bool has_memory();
  bool handle_packet(std::string_view content);
  bool handle_handshake(std::string_view content);
  bool handle_frame(std::string_view content);
  void become_ready();
  void write(std::string_view bytes);
  std::string seal(message_kind kind, std::string_view body);

  socket socket_;
  handshake_role role_;
  const transport_settings& settings_;
  base::memory_budget& frames_;
  transport_counters& counters_;
  connection_events events_;
  handshake handshake_;
  packet_reader reader_;
  base::memory_budget::lease frame_lease_; ///< of a large frame in reader_
  std::optional<frame_sealer> sealer_;
  std::optional<frame_opener> opener_;
  std::string peer_id_;

  std::array<char, 16384> read_buf_{};
  std::string write_buf_; ///< being written
  std::string waiting_;   ///< handshake packets and heartbeats to be written next
  bool is_writing_ = false;
  bool is_ready_ = false;
  bool is_closed_ = false;
  base::time_point started_at_;
  base::time_point heard_at_;
  base::time_point written_at_;
  base::time_point used_at_; ///< latest message other than a heartbeat
};

} // namespace kingcupshunt::peer
