#include "body_reader.h"

#include <limits>

#include <boost/beast/http/error.hpp>

namespace kingcupshunt::proxy {

namespace http = boost::beast::http;

namespace {

/// Maximum size of a chunk header or of the trailers.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;

} // namespace

template <class Parser>
error_code parse_head(timed_socket& stream, Parser& parser, std::size_t head_size) {
  parser.header_limit(std::numeric_limits<std::uint32_t>::max()); // the caller has checked the size
  // The relay enforces the body limit. Beast 1.74 treats boost::none as a limit of zero.
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  error_code ec;
  const auto data = boost::asio::buffer(stream.buffer().data(), head_size);
  const auto n = parser.put(data, ec);
  stream.buffer().consume(n);
  if (!ec && (n != head_size || !parser.is_header_done())) {
    ec = http::error::bad_field;
  }
  return ec;
}

template <class Parser>
awaitable<body_piece> read_body(timed_socket& stream, Parser& parser, char* out,
                                std::size_t capacity) {
  auto& body = parser.get().body();
  body.data = out;
  body.size = capacity;
  body.more = true;
  for (;;) {
    bool must_read = stream.buffer().size() == 0;
    while (!parser.is_done() && !must_read && body.size > 0) {
      error_code ec;
      const auto n = parser.put(stream.buffer().data(), ec);
      stream.buffer().consume(n);
      must_read = ec == http::error::need_more || stream.buffer().size() == 0;
      if (ec && ec != http::error::need_more && ec != http::error::need_buffer) {
        co_return body_piece{capacity - body.size, body_state::malformed};
      }
      if (ec == http::error::need_buffer) {
        break;
      }
    }
    const auto size = capacity - body.size;
    if (parser.is_done()) {
      co_return body_piece{size, body_state::done};
    }
    if (size > 0) {
      co_return body_piece{size, body_state::more};
    }
    if (stream.buffer().size() > max_unparsed_bytes) {
      co_return body_piece{0, body_state::malformed};
    }
    const auto ec = co_await stream.read_some();
    if (ec == boost::asio::error::eof && parser.need_eof()) {
      error_code at_end;
      parser.put_eof(at_end);
      co_return body_piece{0, at_end ? body_state::malformed : body_state::done};
    }
    if (ec == boost::asio::error::no_buffer_space) {
      co_return body_piece{0, body_state::no_memory};
    }
    if (ec) {
      co_return body_piece{0, stream.is_timed_out() ? body_state::timed_out : body_state::closed};
    }
  }
}

template error_code parse_head(timed_socket&, request_parser&, std::size_t);
template error_code parse_head(timed_socket&, response_parser&, std::size_t);
template awaitable<body_piece> read_body(timed_socket&, request_parser&, char*, std::size_t);
template awaitable<body_piece> read_body(timed_socket&, response_parser&, char*, std::size_t);

} // namespace kingcupshunt::proxy
