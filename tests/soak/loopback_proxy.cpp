#include "loopback_proxy.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace kingcupshunt::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

loopback_proxy::loopback_proxy(asio::io_context& io, tcp::endpoint listen, tcp::endpoint target)
    : io_(io), acceptor_(io, listen), target_(std::move(target)) {}

void loopback_proxy::start() {
  asio::co_spawn(
      io_, [self = shared_from_this()] { return self->accept_loop(); }, asio::detached);
}

void loopback_proxy::stop() {
  error_code ignored;
  acceptor_.close(ignored);
  reset_all();
}

asio::awaitable<void> loopback_proxy::accept_loop() {
  while (acceptor_.is_open()) {
    auto p = std::make_shared<pipe>(io_);
    error_code ec;
    co_await acceptor_.async_accept(p->near, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      continue;
    }
    std::erase_if(pipes_, [](const auto& it) { return it.expired(); });
    pipes_.push_back(p);
    asio::co_spawn(
        io_, [self = shared_from_this(), p] { return self->serve(p); }, asio::detached);
  }
}

/// A cut link leaves new connections hanging as well.
asio::awaitable<void> loopback_proxy::serve(pipe_ptr p) {
  error_code ec;
  co_await p->far.async_connect(target_, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    reset(*p);
    co_return;
  }
  p->near.set_option(tcp::no_delay(true), ec);
  p->far.set_option(tcp::no_delay(true), ec);
  asio::co_spawn(
      io_, [self = shared_from_this(), p] { return self->pump(p, false); }, asio::detached);
  co_await pump(p, true);
}

asio::awaitable<void> loopback_proxy::pump(pipe_ptr p, bool is_forward) {
  auto& from = is_forward ? p->near : p->far;
  auto& to = is_forward ? p->far : p->near;
  std::array<char, 16384> bytes{};
  error_code ec;
  asio::steady_timer timer(io_);
  for (;;) {
    const auto n = co_await from.async_read_some(asio::buffer(bytes),
                                                 asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      break;
    }
    if (state_.delay.count() > 0) {
      timer.expires_after(state_.delay);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    p->is_silent = p->is_silent || (is_forward ? state_.is_cut_forward : state_.is_cut_backward);
    if (p->is_silent) {
      continue;
    }
    co_await asio::async_write(to, asio::buffer(bytes.data(), n),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      break;
    }
  }
  if (p->is_silent) {
    co_return; // the other end hears of nothing, not of the end either
  }
  if (ec == asio::error::eof) {
    to.shutdown(tcp::socket::shutdown_send, ec);
  } else {
    reset(*p);
  }
}

void loopback_proxy::reset(pipe& p) {
  error_code ignored;
  for (auto* socket : {&p.near, &p.far}) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

void loopback_proxy::reset_all() {
  for (const auto& it : pipes_) {
    if (const auto p = it.lock()) {
      reset(*p);
    }
  }
}

void loopback_proxy::silence_all() {
  for (const auto& it : pipes_) {
    if (const auto p = it.lock()) {
      p->is_silent = true;
    }
  }
}

} // namespace kingcupshunt::soak
