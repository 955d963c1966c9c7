#include "timed_socket.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <sys/socket.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

namespace kingcupshunt::proxy {

namespace asio = boost::asio;

namespace {

/// Why a read that does not wait yielded nothing.
error_code error_of_empty_read(ssize_t got) {
  const bool is_empty = got < 0 && (errno == EAGAIN || errno == EINTR);
  return is_empty ? asio::error::make_error_code(asio::error::would_block)
                  : asio::error::make_error_code(asio::error::eof);
}

/// Arrivals of a buffer that are told apart; a sender of single bytes would otherwise make the list
/// larger than the buffer.
constexpr std::size_t max_arrivals = 32;

error_code timed_out_error() {
  return asio::error::make_error_code(asio::error::timed_out);
}

} // namespace

timed_socket::timed_socket(tcp::socket socket)
    : socket_(std::move(socket)), timer_(socket_.get_executor()) {}

std::string_view timed_socket::buffered() const noexcept {
  const auto data = buffer_.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

void timed_socket::expires_at(base::time_point t) {
  expiry_ = t;
  is_timed_out_ = false;
  if (t < armed_for_) {
    arm();
  }
}

void timed_socket::arm() {
  armed_for_ = expiry_;
  timer_.expires_at(expiry_);
  timer_.async_wait([weak = weak_from_this()](error_code ec) {
    const auto self = weak.lock();
    if (!self || ec == asio::error::operation_aborted) {
      return;
    }
    self->armed_for_ = base::time_point::max();
    if (base::clock::now() >= self->expiry_) {
      self->is_timed_out_ = true;
      self->socket_.cancel(ec);
    } else if (self->expiry_ != base::time_point::max()) {
      self->arm();
    }
  });
}

void timed_socket::close() {
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel(ignored);
}

awaitable<error_code> timed_socket::connect(tcp::endpoint to) {
  error_code ec;
  if (is_timed_out_) {
    co_return timed_out_error();
  }
  if (receive_bytes_ > 0 && !socket_.open(to.protocol(), ec)) {
    // Set before the connection exists, it bounds the window.
    socket_.set_option(asio::socket_base::receive_buffer_size(receive_bytes_), ec);
  }
  if (ec) {
    co_return ec;
  }
  co_await socket_.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
  if (!ec) {
    socket_.set_option(tcp::no_delay(true), ec);
  }
  co_return ec;
}

awaitable<error_code> timed_socket::read_some() {
  error_code ec;
  if (is_timed_out_) {
    co_return timed_out_error();
  }
  // The buffer is allocated after the wait, so that an idle connection needs no memory for it.
  if (buffer_.capacity() == 0) {
    ec = co_await wait_readable();
    if (ec) {
      co_return ec;
    }
  }
  const auto wanted = readable(next_read_);
  if (wanted == 0) {
    co_return asio::error::make_error_code(asio::error::no_buffer_space);
  }
  const auto space = buffer_.prepare(wanted);
  const auto n =
      co_await socket_.async_read_some(space, asio::redirect_error(asio::use_awaitable, ec));
  buffer_.commit(n);
  note_arrival(n);
  if (n == next_read_) {
    next_read_ = std::min(next_read_ * 2, read_limit_);
  }
  if (ec == asio::error::eof && is_reset_) {
    ec = asio::error::connection_reset;
  }
  co_return ec;
}

/// Returns how many of `wanted` bytes may be read into the buffer.
std::size_t timed_socket::readable(std::size_t wanted) {
  const auto size = buffer_.size();
  const auto room = buffer_.capacity() - size;
  if (!growth_check_ || wanted <= room) {
    return wanted;
  }
  // As flat_buffer grows.
  return growth_check_(std::max(2 * size, size + wanted)) ? wanted : room;
}

error_code timed_socket::read_available() {
  const auto wanted = readable(min_read_bytes);
  if (wanted == 0) {
    return asio::error::make_error_code(asio::error::no_buffer_space);
  }
  const auto space = buffer_.prepare(wanted);
  const auto got = ::recv(socket_.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
  if (got > 0) {
    buffer_.commit(static_cast<std::size_t>(got));
    note_arrival(static_cast<std::size_t>(got));
    return {};
  }
  return error_of_empty_read(got);
}

void timed_socket::note_arrival(std::size_t n) {
  if (n == 0) {
    return;
  }
  const auto consumed = received_ - (buffer_.size() - n);
  std::erase_if(arrivals_, [&](const arrival& a) { return a.end <= consumed; });
  received_ += n;
  if (arrivals_.size() == max_arrivals) {
    arrivals_.back() = {received_, base::clock::now()};
    return;
  }
  arrivals_.push_back({received_, base::clock::now()});
}

base::time_point timed_socket::arrival_of(std::size_t size) const {
  const auto end = received_ - buffer_.size() + size;
  const auto it = std::ranges::lower_bound(arrivals_, end, {}, &arrival::end);
  return it == arrivals_.end() ? base::clock::now() : it->time;
}

awaitable<error_code> timed_socket::write(std::string_view first, std::string_view second,
                                          std::string_view third) {
  error_code ec;
  if (is_timed_out_) {
    co_return timed_out_error();
  }
  const std::array<asio::const_buffer, 3> buffers = {asio::buffer(first), asio::buffer(second),
                                                     asio::buffer(third)};
  boost::beast::buffers_suffix rest(buffers);
  is_writing_ = true;
  while (!ec && boost::beast::buffer_bytes(rest) > 0) {
    const auto n =
        co_await socket_.async_write_some(rest, asio::redirect_error(asio::use_awaitable, ec));
    written_ += n;
    sent_ += n;
    rest.consume(n);
  }
  is_writing_ = false;
  // The system reports a reset to one operation only. When this is a write, reads after it would
  // see an orderly end.
  is_reset_ = is_reset_ || ec == asio::error::connection_reset;
  co_return ec;
}

void timed_socket::release_buffer() {
  if (buffer_.size() == 0) {
    buffer_ = boost::beast::flat_buffer();
    next_read_ = min_read_bytes;
    if (growth_check_) {
      growth_check_(0);
    }
  }
}

void timed_socket::limit_reads(std::size_t bytes) {
  read_limit_ = std::clamp(bytes, min_read_bytes, max_read_bytes);
  next_read_ = std::min(next_read_, read_limit_);
  if (buffer_.capacity() > read_limit_) {
    buffer_.shrink_to_fit();
  }
}

awaitable<error_code> timed_socket::wait_readable() {
  error_code ec;
  if (is_timed_out_) {
    co_return timed_out_error();
  }
  co_await socket_.async_wait(tcp::socket::wait_read,
                              asio::redirect_error(asio::use_awaitable, ec));
  co_return ec;
}

error_code timed_socket::discard_available(std::size_t& n) {
  std::array<char, 4096> bytes{};
  const auto got = ::recv(socket_.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  n = got > 0 ? static_cast<std::size_t>(got) : 0;
  if (got > 0) {
    return {};
  }
  return error_of_empty_read(got);
}

bool timed_socket::has_pending_input() {
  char byte = 0;
  const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || errno != EAGAIN;
}

} // namespace kingcupshunt::proxy
