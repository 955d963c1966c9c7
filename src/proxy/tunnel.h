#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "kingcupshunt/peer/handshake.h"
#include "timed_socket.h"

namespace kingcupshunt::proxy {

/// Request to connect to a backend server, sent with the client's proof.
struct tunnel_request {
  std::string server; ///< id
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", server))
};

/// Answer to a tunnel_request, sent after the server's proof. All later bytes are those of the
/// connection to the backend server.
struct tunnel_answer {
  bool is_connected = false;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("c", is_connected))
};

/// Packets of the handshake and of the two messages above, on one connection.
class tunnel_channel {
public:
  explicit tunnel_channel(timed_socket& stream);

  /// Reads the next packet. Empty when the connection failed or sent something else.
  awaitable<std::optional<std::string>> read();
  awaitable<bool> write(std::string_view content);
  /// Whether no byte after the last packet has arrived.
  bool is_drained() const;

private:
  timed_socket& stream_;
  peer::packet_reader reader_;
};

/// Parses "ip:port"; empty on any other text.
std::optional<tcp::endpoint> endpoint_of(const std::string& address);

/// Connects `stream` to the instance at `via` and asks it to connect to a backend server. Returns
/// whether the stream now leads to the server. The stream's expiry bounds the time. The arguments
/// must outlive the call.
awaitable<bool> open_tunnel(timed_socket& stream, const peer::handshake_settings& settings,
                            const std::string& via, const std::string& server);

} // namespace kingcupshunt::proxy
