#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "kingcupshunt/peer/message_kind.h"

namespace kingcupshunt::peer {

/// Sends one message to the instance `to`. Delivery is not guaranteed, and order is kept only
/// within one connection. A core that needs an answer resends on its own timer.
using send_function = std::function<void(std::string_view to, message_kind kind, std::string body)>;

/// Greatest body of a message in bytes.
inline constexpr std::size_t max_body_bytes = 1U << 20U;

/// Greatest depth of nested arrays and maps in a message.
inline constexpr std::size_t max_message_depth = 16;

/// Bounds for parsing `size` bytes. Each element takes at least one byte, so a greater count is
/// false; without a bound the parser allocates memory for whatever count the input claims.
inline msgpack::unpack_limit parse_limits(std::size_t size) {
  return {size, size, size, size, size, max_message_depth};
}

/// msgpack form of a message struct that uses MSGPACK_DEFINE_MAP.
template <class T>
std::string pack(const T& message) {
  msgpack::sbuffer buf;
  msgpack::pack(buf, message);
  return {buf.data(), buf.size()};
}

/// Parses one message. Empty when `body` is not valid msgpack, has trailing bytes or a member of
/// another type. Unknown members are skipped; missing ones keep their default. A message whose
/// numbers have bounds states them in `apply_bounds()`, which is called on what was read.
template <class T>
std::optional<T> unpack(std::string_view body) {
  try {
    std::size_t offset = 0;
    const auto handle = msgpack::unpack(body.data(), body.size(), offset, nullptr, nullptr,
                                        parse_limits(body.size()));
    if (offset != body.size() || handle.get().type != msgpack::type::MAP) {
      return std::nullopt;
    }
    T out{};
    handle.get().convert(out);
    if constexpr (requires { out.apply_bounds(); }) {
      out.apply_bounds();
    }
    return out;
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

} // namespace kingcupshunt::peer
