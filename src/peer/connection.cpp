#include <utility>

#include "connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace kingcupshunt::peer {

namespace {

// Before authentication only the hello and proof messages are read.
constexpr std::size_t max_handshake_bytes = 2048;

// Frames up to this size need no share of the memory for frames.
constexpr std::size_t small_frame_bytes = 64U << 10U;

// Frames are joined up to this size into one write.
constexpr std::size_t write_batch_bytes = 64U << 10U;

} // namespace

connection::connection(socket s, handshake_role role, const transport_settings& settings,
                       std::string expected_peer, base::memory_budget& frames,
                       transport_counters& counters, connection_events events)
    : socket_(std::move(s)), role_(role), settings_(settings), frames_(frames), counters_(counters),
      events_(std::move(events)), handshake_(role,
                                             {settings.self_id, settings.fleet, settings.secret,
                                              settings.versions, expected_peer},
                                             base::random_bytes(challenge_bytes)),
      reader_(max_handshake_bytes), peer_id_(std::move(expected_peer)),
      started_at_(base::clock::now()), heard_at_(started_at_), written_at_(started_at_),
      used_at_(started_at_) {}

void connection::connect(const boost::asio::ip::tcp::endpoint& endpoint) {
  socket_.async_connect(endpoint, [self = shared_from_this()](boost::system::error_code ec) {
    if (self->is_closed_) {
      return;
    }
    if (ec) {
      self->close();
      return;
    }
    self->accept();
  });
}

void connection::accept() {
  boost::system::error_code ec;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  heard_at_ = base::clock::now();
  const auto hello = handshake_.start();
  if (!hello.empty()) {
    write(make_packet(hello));
  }
  read();
}

void connection::read() {
  socket_.async_read_some(boost::asio::buffer(read_buf_),
                          [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
                            if (self->is_closed_) {
                              return;
                            }
                            if (ec) {
                              if (!self->reader_.finish()) {
                                ++self->counters_.frame_errors;
                              }
                              self->close();
                              return;
                            }
                            self->on_bytes(n);
                          });
}

void connection::on_bytes(std::size_t n) {
  heard_at_ = base::clock::now();
  counters_.received_bytes += n;
  reader_.feed({read_buf_.data(), n});
  while (!is_closed_) {
    const auto packet = reader_.next();
    if (!packet) {
      ++counters_.frame_errors;
      close();
      return;
    }
    if (!packet.value()) {
      has_memory() ? read() : close();
      return;
    }
    if (!handle_packet(*packet.value())) {
      close();
      return;
    }
  }
}

// Leases what an incomplete frame takes. Each is bounded, but an instance has thousands of
// connections.
bool connection::has_memory() {
  const auto n = reader_.memory_bytes();
  if (n <= small_frame_bytes) {
    frame_lease_ = {};
    return true;
  }
  const bool out = frames_.extend(frame_lease_, n);
  counters_.closed_for_memory += out ? 0 : 1;
  return out;
}

bool connection::handle_packet(std::string_view content) {
  return is_ready_ ? handle_frame(content) : handle_handshake(content);
}

bool connection::handle_handshake(std::string_view content) {
  const auto answer = handshake_.receive(content);
  if (!answer) {
    ++counters_.handshake_errors;
    return false;
  }
  if (!answer.value().empty()) {
    write(make_packet(answer.value()));
  }
  if (handshake_.is_done()) {
    become_ready();
  }
  return true;
}

void connection::become_ready() {
  const auto& session = handshake_.result();
  peer_id_ = session.peer_id;
  sealer_.emplace(session.send_key);
  opener_.emplace(session.receive_key);
  reader_.set_limit(max_packet_bytes);
  is_ready_ = true;
  used_at_ = base::clock::now();
  events_.on_ready(*this);
  flush();
}

bool connection::handle_frame(std::string_view content) {
  const auto opened = opener_->open(content);
  if (!opened) {
    ++counters_.frame_errors;
    return false;
  }
  const auto version = handshake_.result().version;
  auto decoded = decode_frame(opened.value(), {version, version});
  if (!decoded) {
    ++counters_.frame_errors;
    return false;
  }
  if (decoded.value().kind != message_kind::transport_heartbeat) {
    used_at_ = heard_at_;
    events_.on_frame(*this, std::move(decoded).value());
  }
  return true;
}

std::string connection::seal(message_kind kind, std::string_view body) {
  return sealer_->seal(encode_frame(handshake_.result().version, kind, body));
}

void connection::write(std::string_view bytes) {
  waiting_ += bytes;
  flush();
}

void connection::flush() {
  if (is_writing_ || is_closed_) {
    return;
  }
  write_buf_ = std::exchange(waiting_, {});
  while (is_ready_ && write_buf_.size() < write_batch_bytes) {
    const auto next = events_.next_frame(*this);
    if (!next) {
      break;
    }
    used_at_ = base::clock::now();
    write_buf_ += seal(next->kind, next->body);
  }
  if (write_buf_.empty()) {
    return;
  }
  is_writing_ = true;
  written_at_ = base::clock::now();
  boost::asio::async_write(
      socket_, boost::asio::buffer(write_buf_),
      [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        self->is_writing_ = false;
        if (self->is_closed_) {
          return;
        }
        self->counters_.sent_bytes += n;
        if (ec) {
          self->close();
          return;
        }
        self->flush();
      });
}

void connection::tick(base::time_point now) {
  const auto& limits = settings_.limits;
  if (!is_ready_) {
    if (now - started_at_ > limits.connect_timeout) {
      close();
    }
    return;
  }
  if (now - heard_at_ > limits.silence) {
    ++counters_.silent_connections;
    close();
    return;
  }
  if (now - used_at_ > limits.idle_close) {
    close();
    return;
  }
  if (!is_writing_ && now - written_at_ >= limits.heartbeat) {
    write(seal(message_kind::transport_heartbeat, {}));
  }
}

void connection::close() {
  if (std::exchange(is_closed_, true)) {
    return;
  }
  boost::system::error_code ec;
  socket_.close(ec);
  events_.on_closed(*this);
}

} // namespace kingcupshunt::peer
