#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::peer {

/// Space that the envelope adds to a body at most.
inline constexpr std::size_t relay_overhead_bytes = 1024;

/// A message that travels through another instance. The HMAC under the fleet secret covers every
/// other member, so the instance on the way cannot change it.
struct relay_message {
  std::string from;
  std::string to;
  std::uint16_t kind = 0;
  std::string body;
  std::string mac;

  MSGPACK_DEFINE_MAP(from, to, kind, body, mac)
};

/// Envelope for one message.
relay_message wrap_relay(std::string_view secret, std::string_view from, std::string_view to,
                         message_kind kind, std::string_view body);

/// Whether the envelope was made under this secret.
bool is_authentic(std::string_view secret, const relay_message& message);

/// Whether messages of this kind may take a detour.
bool is_relayed_kind(message_kind kind) noexcept;

} // namespace kingcupshunt::peer
