#include "prober.h"

#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "kingcupshunt/base/http_status.h"
#include "kingcupshunt/settings/process_settings.h"

namespace kingcupshunt::node {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr unsigned first_final_status = 200;
constexpr unsigned first_error_status = 400;
constexpr std::uint64_t answer_limit_bytes = std::uint64_t{64} * 1024;
// A server in the same region accepts within a few milliseconds.
constexpr base::milliseconds alive_connect_timeout{90};
// A terminating process closes all its connections and listeners within this time, also on a loaded
// machine.
constexpr base::milliseconds close_wait{25};
constexpr int max_alive_connections = 3;

// One probe; its callbacks own it.
class probe_call : public std::enable_shared_from_this<probe_call> {
public:
  probe_call(asio::io_context& io, std::function<void(health::probe_outcome)> done)
      : stream_(io), done_(std::move(done)) {}

  void start(const settings::endpoint& to, const std::string& path, base::milliseconds timeout) {
    request_.method(http::verb::get);
    request_.target(path);
    request_.version(11);
    request_.set(http::field::host, to.to_string());
    request_.set(http::field::user_agent, "kingcupshunt-probe");
    request_.keep_alive(false);
    stream_.expires_after(timeout);
    const asio::ip::tcp::endpoint at(asio::ip::make_address(to.address), to.port);
    stream_.async_connect(at, [self = shared_from_this()](error_code ec) {
      ec ? self->finish(health::probe_outcome::failed) : self->write();
    });
  }

private:
  void write() {
    http::async_write(stream_, request_, [self = shared_from_this()](error_code ec, std::size_t) {
      ec ? self->finish(health::probe_outcome::failed) : self->read();
    });
  }

  // Reads past interim answers; the probe's timeout bounds their number.
  void read() {
    parser_.emplace();
    parser_->body_limit(answer_limit_bytes);
    http::async_read(
        stream_, buf_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
          const auto status = ec ? 0 : self->parser_->get().result_int();
          if (!base::is_http_status(status)) {
            self->finish(health::probe_outcome::failed);
            return;
          }
          if (status < first_final_status) {
            self->read();
            return;
          }
          const bool is_ok = status < first_error_status;
          self->finish(is_ok ? health::probe_outcome::ok : health::probe_outcome::bad_status);
        });
  }

  void finish(health::probe_outcome outcome) { done_(outcome); }

  beast::tcp_stream stream_;
  std::function<void(health::probe_outcome)> done_;
  http::request<http::empty_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  beast::flat_buffer buf_;
};

// Distinguishes a serving process from a terminating one; its callbacks own it.
class alive_check : public std::enable_shared_from_this<alive_check> {
public:
  alive_check(asio::io_context& io, const settings::endpoint& to, std::function<void(bool)> done)
      : stream_(io), to_(asio::ip::make_address(to.address), to.port), done_(std::move(done)) {}

  void start() {
    ++connections_;
    stream_.expires_after(alive_connect_timeout);
    stream_.async_connect(to_, [self = shared_from_this()](error_code ec) {
      ec ? self->done_(false) : self->watch();
    });
  }

private:
  // The server sends nothing unprompted, so the read ends when the connection closes or times out.
  void watch() {
    stream_.expires_after(close_wait);
    stream_.async_read_some(asio::buffer(&byte_, 1),
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              if (!ec || ec == beast::error::timeout) {
                                self->done_(true);
                                return;
                              }
                              // A server at its connection limit closes new connections too, but
                              // continues to accept them.
                              if (self->connections_ == max_alive_connections) {
                                self->done_(true);
                                return;
                              }
                              self->stream_.close();
                              self->start();
                            });
  }

  beast::tcp_stream stream_;
  asio::ip::tcp::endpoint to_;
  std::function<void(bool)> done_;
  char byte_ = 0;
  int connections_ = 0;
};

} // namespace

void prober::probe(const std::string& upstream, const std::string& path, base::milliseconds timeout,
                   std::function<void(health::probe_outcome)> done) {
  settings::endpoint to;
  if (!settings::parse_endpoint(upstream, to)) {
    done(health::probe_outcome::failed);
    return;
  }
  std::make_shared<probe_call>(io_, std::move(done))->start(to, path, timeout);
}

void prober::check_alive(const std::string& upstream, std::function<void(bool)> done) {
  settings::endpoint to;
  if (!settings::parse_endpoint(upstream, to)) {
    done(false);
    return;
  }
  std::make_shared<alive_check>(io_, to, std::move(done))->start();
}

} // namespace kingcupshunt::node
