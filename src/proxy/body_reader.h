#pragma once

#include <cstddef>
#include <cstdint>

#include "timed_socket.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace kingcupshunt::proxy {

using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

enum class body_state : std::uint8_t {
  more,      ///< bytes were read, more follow
  done,      ///< the body is complete, `size` may be above 0
  closed,    ///< the connection ended before the end of the body
  timed_out, ///< the expiry of the socket passed
  no_memory, ///< the read buffer may not grow
  malformed  ///< not a valid body
};

constexpr bool is_failure(body_state state) noexcept {
  return state != body_state::more && state != body_state::done;
}

struct body_piece {
  std::size_t size = 0;
  body_state state = body_state::more;
};

/// Parses and consumes a complete head of `head_size` bytes at the start of the socket's buffer.
template <class Parser>
error_code parse_head(timed_socket& stream, Parser& parser, std::size_t head_size);

/// Reads up to `capacity` bytes of a body into `out`, at least one unless the body ends or fails.
/// Returns after the first read that yields body bytes, so that a slow body is forwarded as it
/// arrives.
template <class Parser>
awaitable<body_piece> read_body(timed_socket& stream, Parser& parser, char* out,
                                std::size_t capacity);

} // namespace kingcupshunt::proxy
