#pragma once

#include <utility>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::proxy {

using tcp = boost::asio::ip::tcp;
using boost::system::error_code;
template <class T>
using awaitable = boost::asio::awaitable<T>;

/// A TCP socket with a read buffer and one expiry time for all pending operations. The timer is
/// armed lazily: moving the expiry to a later time needs no timer operation.
class timed_socket : public std::enable_shared_from_this<timed_socket> {
public:
  explicit timed_socket(tcp::socket socket);

  tcp::socket& socket() noexcept { return socket_; }
  boost::beast::flat_buffer& buffer() noexcept { return buffer_; }
  std::string_view buffered() const noexcept;

  /// At `t` cancels pending operations and fails further ones until a new expiry is set.
  void expires_at(base::time_point t);
  bool is_timed_out() const noexcept { return is_timed_out_; }
  bool is_open() const noexcept { return socket_.is_open(); }

  /// Closes the socket; pending operations end with operation_aborted.
  void close();

  /// Connects within the expiry.
  awaitable<error_code> connect(tcp::endpoint to);
  /// Size of the receive buffer of a connection that is yet to be made; 0: the system's.
  void set_receive_bytes(int n) noexcept { receive_bytes_ = n; }

  /// Appends at least one byte of received data to the buffer. Fails with eof only after an orderly
  /// end of the stream.
  awaitable<error_code> read_some();

  /// Writes all buffers and adds the bytes accepted by the operating system to written().
  awaitable<error_code> write(std::string_view first, std::string_view second = {},
                              std::string_view third = {});
  std::size_t written() const noexcept { return written_; }
  void reset_written() noexcept { written_ = 0; }

  /// Frees the read buffer when it is empty.
  void release_buffer();

  static constexpr std::size_t min_read_bytes = std::size_t{4} * 1024;
  static constexpr std::size_t max_read_bytes = std::size_t{64} * 1024;
  /// Sets the greatest number of bytes that one read asks for, at least min_read_bytes. With a
  /// reader that takes all of them before the next read, this bounds the buffer.
  void limit_reads(std::size_t bytes);

  /// Sets a function that is called before the read buffer grows to a number of bytes, and with 0
  /// when it is freed. While it returns false, reads take what fits into the buffer and fail with
  /// no_buffer_space when it is full.
  void set_growth_check(std::function<bool(std::size_t capacity)> check) {
    growth_check_ = std::move(check);
  }

  std::uint64_t received() const noexcept {
    return received_;
  } ///< bytes put into the buffer so far

  /// Bytes received and sent so far, also by a write that has not ended.
  std::uint64_t moved() const noexcept { return received_ + sent_; }
  /// True while a write waits for the peer to take more.
  bool is_writing() const noexcept { return is_writing_; }

  /// Waits until bytes or the end of the stream can be read.
  awaitable<error_code> wait_readable();

  /// Appends received data to the buffer without waiting. Returns would_block when none is
  /// available and eof when the connection has ended.
  error_code read_available();

  /// When the first `size` bytes of the buffer had arrived.
  base::time_point arrival_of(std::size_t size) const;

  /// Reads and discards up to 4 KiB without waiting and sets `n` to the number of bytes. Returns
  /// would_block when no data is available and eof when the connection has ended.
  error_code discard_available(std::size_t& n);

  /// True when the peer has closed the connection or sent data. Does not consume the data.
  bool has_pending_input();

private:
  /// Bytes of the stream that had arrived at a time.
  struct arrival {
    std::uint64_t end = 0;
    base::time_point time;
  };

  void arm();
  void note_arrival(std::size_t n);
  std::size_t readable(std::size_t wanted);

  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  boost::asio::steady_timer timer_;
  base::time_point expiry_ = base::time_point::max();
  base::time_point armed_for_ = base::time_point::max();
  std::uint64_t received_ = 0;    ///< bytes put into the buffer so far
  std::vector<arrival> arrivals_; ///< of the bytes in the buffer, oldest first
  std::size_t written_ = 0;
  std::uint64_t sent_ = 0;
  bool is_writing_ = false;
  std::function<bool(std::size_t)> growth_check_;
  std::size_t next_read_ = min_read_bytes;
  std::size_t read_limit_ = max_read_bytes;
  int receive_bytes_ = 0;
  bool is_timed_out_ = false;
  bool is_reset_ = false; ///< a write has failed because the peer reset the connection
};

} // namespace kingcupshunt::proxy
