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
  more,      ///< bytes were read, others follow
  done,      ///< the body has ended, `size` may be above 0
  closed,    ///< the connection ended within the body
  timed_out, ///< the expiry of the socket passed
  malformed  ///< not a valid body
};

struct body_piece {
  std::size_t size = 0;
  body_state state = body_state::more;
};

/// Parses a head that stands whole at the front of the socket's buffer and consumes it.
template <class Parser>
error_code parse_head(timed_socket& stream, Parser& parser, std::size_t head_size);

/// Reads the next piece of a body, at least one byte unless it ends. Waits for one read at most,
/// so that a slow body is passed on as it arrives.
template <class Parser>
awaitable<body_piece> read_body(timed_socket& stream, Parser& parser, char* out,
                                std::size_t capacity);

} // namespace kingcupshunt::proxy
