#include "tunnel.h"

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/settings/process_settings.h"

namespace kingcupshunt::proxy {

namespace {

constexpr std::size_t max_tunnel_packet_bytes = 2048;

/// Reads the other side's hello and sends the proof.
awaitable<bool> exchange_proof(tunnel_channel& channel, peer::handshake& handshake) {
  const auto hello = co_await channel.read();
  if (!hello) {
    co_return false;
  }
  const auto proof = handshake.receive(*hello);
  if (!proof) {
    co_return false;
  }
  const bool is_written = co_await channel.write(proof.value());
  co_return is_written;
}

} // namespace

tunnel_channel::tunnel_channel(timed_socket& stream)
    : stream_(stream), reader_(max_tunnel_packet_bytes) {}

awaitable<std::optional<std::string>> tunnel_channel::read() {
  for (;;) {
    const auto packet = reader_.next();
    if (!packet) {
      co_return std::nullopt;
    }
    if (packet.value()) {
      co_return std::string(*packet.value());
    }
    const auto ec = co_await stream_.read_some();
    if (ec) {
      co_return std::nullopt;
    }
    reader_.feed(stream_.buffered());
    stream_.buffer().consume(stream_.buffer().size());
  }
}

awaitable<bool> tunnel_channel::write(std::string_view content) {
  const auto packet = peer::make_packet(content);
  const auto ec = co_await stream_.write(packet);
  co_return !ec;
}

bool tunnel_channel::is_drained() const {
  return reader_.finish().has_value();
}

std::optional<tcp::endpoint> endpoint_of(const std::string& address) {
  settings::endpoint parsed;
  if (!settings::parse_endpoint(address, parsed)) {
    return std::nullopt;
  }
  return tcp::endpoint(boost::asio::ip::make_address(parsed.address), parsed.port);
}

awaitable<bool> open_tunnel(timed_socket& stream, const peer::handshake_settings& settings,
                            const std::string& via, const std::string& server) {
  const auto endpoint = endpoint_of(via);
  if (!endpoint) {
    co_return false;
  }
  const auto ec = co_await stream.connect(*endpoint);
  if (ec) {
    co_return false;
  }
  peer::handshake handshake(peer::handshake_role::client, settings,
                            base::random_bytes(peer::challenge_bytes));
  tunnel_channel channel(stream);
  const auto hello = handshake.start();
  bool is_written = co_await channel.write(hello);
  if (!is_written) {
    co_return false;
  }
  const bool is_hello_valid = co_await exchange_proof(channel, handshake);
  if (!is_hello_valid) {
    co_return false;
  }
  const auto request = peer::pack(tunnel_request{server});
  is_written = co_await channel.write(request);
  if (!is_written) {
    co_return false;
  }
  const auto proof = co_await channel.read();
  if (!proof || !handshake.receive(*proof) || !handshake.is_done()) {
    co_return false;
  }
  const auto content = co_await channel.read();
  const auto answer = content ? peer::unpack<tunnel_answer>(*content) : std::nullopt;
  co_return answer && answer->is_connected&& channel.is_drained();
}

} // namespace kingcupshunt::proxy
