#include "relay.h"

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/peer/frame.h"

namespace kingcupshunt::peer {

namespace {

base::sha256_digest mac_of(std::string_view secret, const relay_message& message) {
  std::string input = make_packet("kingcupshunt relay");
  input += make_packet(message.from);
  input += make_packet(message.to);
  input += make_packet(std::to_string(message.kind));
  input += make_packet(message.body);
  return base::hmac_sha256(secret, input);
}

} // namespace

relay_message wrap_relay(std::string_view secret, std::string_view from, std::string_view to,
                         message_kind kind, std::string_view body) {
  relay_message out{
      std::string(from), std::string(to), static_cast<std::uint16_t>(kind), std::string(body), {}};
  const auto mac = mac_of(secret, out);
  out.mac.assign(mac.begin(), mac.end());
  return out;
}

bool is_authentic(std::string_view secret, const relay_message& message) {
  const auto expected = mac_of(secret, message);
  const auto* received = reinterpret_cast<const std::uint8_t*>(message.mac.data());
  return base::is_equal_constant_time(expected, {received, message.mac.size()});
}

bool is_relayed_kind(message_kind kind) noexcept {
  switch (kind) {
  case message_kind::membership_probe:
  case message_kind::membership_probe_ack:
  case message_kind::membership_probe_request: // the detector takes its own detours
  case message_kind::transport_hello:
  case message_kind::transport_proof:
  case message_kind::transport_heartbeat:
  case message_kind::transport_relay:
    return false;
  default:
    return true;
  }
}

} // namespace kingcupshunt::peer
