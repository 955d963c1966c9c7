// How a try reaches its upstream: directly or through another instance.

#include "exchange.h"

#include <algorithm>

#include "tunnel.h"

namespace kingcupshunt::proxy {

namespace asio = boost::asio;
using health::attempt_end;

/// Establishes the connection as planned, and the other way when that fails. Both ways together
/// take at most twice the connect timeout.
awaitable<bool> exchange::connect() {
  if (was_reused_) {
    connection_->stream->expires_at(wait_limit());
    co_return true;
  }
  const auto& hook = context_.hook;
  const auto plan = hook.plan_connection ? hook.plan_connection(target_.id) : connection_plan{};
  const bool has_tunnel = !plan.tunnel.empty();
  connection_outcome outcome;
  outcome.upstream = target_.id;
  const auto now = base::clock::now();
  const base::duration usual_timeout = context_.settings.connect_timeout;
  const auto timeout = std::min(usual_timeout, plan.timeout.value_or(usual_timeout));
  bool may_use_tunnel = has_tunnel;
  if (plan.is_direct_first || !has_tunnel) {
    const auto head_start =
        has_tunnel ? std::min<base::duration>(context_.settings.direct_head_start, timeout)
                   : timeout;
    outcome.is_connected = co_await connect_directly(now + head_start);
    outcome.has_direct_failed = !outcome.is_connected;
    if (outcome.has_direct_failed && has_tunnel && !is_cancelled_ && hook.note_direct_failure) {
      may_use_tunnel = hook.note_direct_failure(target_.id);
    }
  }
  if (!outcome.is_connected && may_use_tunnel && !is_cancelled_) {
    outcome.is_connected = co_await connect_through(plan.tunnel, base::clock::now() + timeout);
    outcome.is_tunnelled = outcome.is_connected;
    outcome.failed_tunnel = outcome.is_connected ? std::string{} : plan.tunnel;
  }
  if (!outcome.is_connected && !outcome.has_direct_failed && !is_cancelled_) {
    outcome.is_connected =
        co_await connect_directly(base::clock::now() + context_.settings.direct_head_start);
    outcome.has_direct_failed = !outcome.is_connected;
  }
  if (is_cancelled_) {
    co_return false;
  }
  if (hook.note_connection) {
    hook.note_connection(outcome);
  }
  if (!outcome.is_connected) {
    end_ = attempt_end::connect_failed;
    co_return false;
  }
  connection_->is_tunnelled = outcome.is_tunnelled;
  connection_->stream->expires_at(wait_limit());
  co_return true;
}

std::shared_ptr<timed_socket> exchange::new_stream() {
  connection_->stream = std::make_shared<timed_socket>(tcp::socket(context_.executor));
  connection_->stream->set_receive_bytes(context_.settings.upstream_receive_bytes);
  return connection_->stream;
}

awaitable<bool> exchange::connect_directly(base::time_point until) {
  const auto stream = new_stream();
  stream->expires_at(std::min(request_->deadline, until));
  error_code ec;
  const auto address = asio::ip::make_address(target_.address, ec);
  if (!ec) {
    ec = co_await stream->connect(tcp::endpoint(address, target_.port));
  }
  if (ec) {
    stream->close();
  }
  co_return !ec;
}

awaitable<bool> exchange::connect_through(const std::string& tunnel, base::time_point until) {
  const auto stream = new_stream();
  stream->expires_at(std::min(request_->deadline, until));
  const bool is_open =
      co_await open_tunnel(*stream, context_.settings.tunnel_handshake, tunnel, target_.id);
  if (!is_open) {
    stream->close();
  }
  context_.metrics.count("tunnelled_connections_total", is_open ? "opened" : "failed");
  co_return is_open;
}

base::time_point exchange::wait_limit() const {
  return request_->deadline + context_.settings.answer_grace;
}

} // namespace kingcupshunt::proxy
