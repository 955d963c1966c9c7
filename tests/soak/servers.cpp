#include "servers.h"

#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "wire.h"

namespace kingcupshunt::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr base::milliseconds announce_interval{500};
constexpr base::milliseconds announce_timeout{1000};
constexpr base::milliseconds leave_retry{100};
/// A server serves for the drain time after the acknowledgement and a little longer.
constexpr base::milliseconds leave_time{2600};
constexpr std::uint32_t queued = 6; ///< requests beyond the slots

std::uint64_t unix_ms() {
  return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() /
                                    std::chrono::milliseconds(1));
}

} // namespace

backend_server::backend_server(asio::io_context& io, server_settings settings, ledger& facts,
                               std::uint64_t seed)
    : io_(io), settings_(std::move(settings)), facts_(facts), rng_(seed),
      proxy_(std::make_shared<loopback_proxy>(io, endpoint_of(settings_.announced),
                                              endpoint_of(settings_.listen))) {
  proxy_->start();
}

std::string backend_server::id() const {
  return settings_.service + "-" + settings_.announced + "-" + std::to_string(incarnation_);
}

void backend_server::start() {
  ++incarnation_;
  born_ms_ = unix_ms();
  sequence_ = 0;
  running_ = 0;
  is_running_ = true;
  is_leaving_ = false;
  faults_ = {};
  acceptor_ = std::make_unique<tcp::acceptor>(io_, endpoint_of(settings_.listen));
  const auto incarnation = incarnation_;
  asio::co_spawn(
      io_, [self = shared_from_this(), incarnation] { return self->accept_loop(incarnation); },
      asio::detached);
  asio::co_spawn(
      io_, [self = shared_from_this(), incarnation] { return self->announce_loop(incarnation); },
      asio::detached);
}

void backend_server::crash() {
  is_running_ = false;
  error_code ignored;
  if (acceptor_) {
    acceptor_->close(ignored);
  }
  for (const auto& it : connections_) {
    if (const auto c = it.lock()) {
      c->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
      c->stream.close();
    }
  }
  connections_.clear();
}

void backend_server::restart() {
  if (!is_running_) {
    start();
  }
}

void backend_server::leave() {
  if (is_running_ && !is_leaving_) {
    is_leaving_ = true;
    asio::co_spawn(
        io_, [self = shared_from_this(), n = incarnation_] { return self->leave_loop(n); },
        asio::detached);
  }
}

asio::awaitable<void> backend_server::accept_loop(std::uint64_t incarnation) {
  while (is_running_ && incarnation == incarnation_) {
    auto c = std::make_shared<http_connection>(io_);
    error_code ec;
    co_await acceptor_->async_accept(c->stream.socket(),
                                     asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    std::erase_if(connections_, [](const auto& it) { return it.expired(); });
    connections_.push_back(c);
    asio::co_spawn(
        io_, [self = shared_from_this(), c] { return self->serve(c); }, asio::detached);
  }
}

asio::awaitable<void> backend_server::serve(std::shared_ptr<http_connection> c) {
  bool is_kept = true;
  while (is_kept) {
    http_request request;
    error_code ec;
    co_await http::async_read(c->stream, c->buffer, request,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    is_kept = co_await answer(*c, request);
  }
}

/// Runs one request. False when the connection ends with it.
asio::awaitable<bool> backend_server::answer(http_connection& c, const http_request& request) {
  const auto incarnation = incarnation_;
  const auto request_id = std::string(request[wire::request_id]);
  http_response out(http::status::ok, 11);
  out.set(wire::request_id, request_id);
  const auto expected = request[wire::expected_instance];
  const bool is_other = !expected.empty() && expected != id();
  const bool is_full = running_ >= settings_.slots + queued;
  error_code ec;
  if (is_other || is_full) {
    out.result(is_other ? http::status::misdirected_request : http::status::service_unavailable);
    out.set(wire::not_run, "1");
    out.prepare_payload();
    co_await http::async_write(c.stream, out, asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
  }
  facts_.note_run(request_id, id(), settings_.service, std::string(request[wire::workspace]),
                  request.count(http::field::authorization) > 0, base::clock::now());
  ++running_;
  const double spread = 0.5 + rng_.unit();
  co_await sleep_for(
      base::from_seconds(base::to_seconds(settings_.work) * spread * faults_.slow_factor));
  running_ -= running_ > 0 ? 1 : 0;
  if (incarnation != incarnation_ || !is_running_) {
    co_return false;
  }
  if (rng_.unit() < faults_.reset_share) {
    c.stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
    c.stream.close();
    co_return false;
  }
  if (rng_.unit() < faults_.error_share) {
    out.result(http::status::internal_server_error);
  }
  out.set(wire::signature, "signed-" + request_id);
  out.body() = "answer to " + request_id + std::string(rng_.below(4000), '.') + "end";
  out.prepare_payload();
  co_await http::async_write(c.stream, out, asio::redirect_error(asio::use_awaitable, ec));
  if (!ec) {
    facts_.note_served(request_id);
  }
  if (!ec && rng_.unit() < faults_.extra_share) {
    co_await http::async_write(c.stream, out, asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return !ec;
}

asio::awaitable<bool> backend_server::announce(bool is_leaving, bool is_farewell) {
  wire::heartbeat h{settings_.announced, settings_.service, settings_.data_centre,
                    settings_.slots,     ++sequence_,       born_ms_,
                    is_leaving};
  const auto target = is_farewell ? wire::farewell_target(id()) : wire::heartbeat_target(id());
  const auto& control = settings_.controls[rng_.below(settings_.controls.size())];
  const auto answer =
      co_await call(io_, control, http::verb::post, target, wire::to_text(h), announce_timeout);
  co_return answer && answer->result() == http::status::ok;
}

asio::awaitable<void> backend_server::announce_loop(std::uint64_t incarnation) {
  while (is_running_ && incarnation == incarnation_ && !is_leaving_) {
    const bool is_heard = co_await announce(false, false);
    co_await sleep_for(is_heard ? announce_interval : leave_retry);
  }
}

asio::awaitable<void> backend_server::leave_loop(std::uint64_t incarnation) {
  bool is_heard = false;
  while (!is_heard && is_running_ && incarnation == incarnation_) {
    is_heard = co_await announce(true, false);
    if (!is_heard) {
      co_await sleep_for(leave_retry);
    }
  }
  if (!is_heard || incarnation != incarnation_) {
    co_return;
  }
  facts_.note_leaving(id(), base::clock::now());
  co_await sleep_for(leave_time);
  if (is_running_ && incarnation == incarnation_) {
    (void)co_await announce(true, true); // nobody waits for the acknowledgement of a farewell
    crash();
  }
}

} // namespace kingcupshunt::soak
