#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "kingcupshunt/observe/event_log.h"
#include "kingcupshunt/proxy/entry_server.h"
#include "kingcupshunt/proxy/header_rewrite.h"
#include "listener.h"
#include "session.h"

namespace kingcupshunt::proxy {

namespace asio = boost::asio;

namespace {

constexpr auto sweep_interval = base::seconds(1);
/// Delay after accept failed for lack of descriptors; an immediate retry would fail as well.
constexpr auto accept_retry_delay = base::milliseconds(100);
/// How often a stopping server checks whether all connections have ended.
constexpr auto stop_poll_interval = base::milliseconds(20);
/// Idle connections closed for lack of memory in one pass over all, so that a pass is seldom
/// needed.
constexpr std::size_t idle_batch_bytes = 16 * connection_bytes;
/// Time until the next search for connections to close, after one that found none.
constexpr auto reclaim_pause = base::milliseconds(100);
constexpr auto shortage_log_interval = base::seconds(10);

} // namespace

struct entry_server::impl : std::enable_shared_from_this<impl> {
  impl(asio::io_context& io, entry_settings settings, hooks decisions, observe::metrics& metrics)
      : context(std::make_shared<entry_context>(io.get_executor(), std::move(settings),
                                                std::move(decisions), metrics)),
        acceptor(io), sweep_timer(io), stop_timer(io), holds_timer(io) {}

  awaitable<void> accept_loop();
  void accepted(tcp::socket socket);
  std::optional<caller_memory::lease> take_connection_memory(const std::string& address);
  bool reclaim(std::size_t bytes, const caller_memory::counter& lack);
  bool is_full() const {
    return sessions.size() - closing.size() >= context->settings.max_connections;
  }
  void log_shortage(std::size_t idle, std::size_t stalled, base::time_point now);
  void observe_memory(base::time_point now);
  awaitable<void> serve(std::shared_ptr<session> s, std::string address);
  awaitable<void> sweep_loop();
  void schedule_holds();
  awaitable<void> finish_stop(base::time_point deadline, std::function<void(std::size_t)> done);
  void refuse_connection(tcp::socket& socket, const char* reason);
  void close();

  std::shared_ptr<entry_context> context;
  tcp::acceptor acceptor;
  asio::steady_timer sweep_timer;
  asio::steady_timer stop_timer;
  asio::steady_timer holds_timer;
  std::unordered_set<std::shared_ptr<session>> sessions;
  /// Of these, the ones closed for others, whose coroutines have yet to end.
  std::unordered_set<const session*> closing;
  std::unordered_map<std::string, std::size_t> per_caller;
  /// When memory is searched again for a counter for which none was found; null: the budget.
  std::unordered_map<const std::size_t*, base::time_point> next_reclaims;
  base::time_point next_shortage_log{};
  bool is_closed = false;
};

/// Memory for a connection, in place of idle ones when there is not enough. Empty: none is left.
std::optional<caller_memory::lease>
entry_server::impl::take_connection_memory(const std::string& address) {
  auto out = context->memory.connection_lease(address);
  bool is_freeing = false;
  if (!context->extend(out, connection_bytes, caller_memory::use::connection, &is_freeing)) {
    if (!is_freeing) {
      return std::nullopt;
    }
    context->memory.force(out, connection_bytes);
  }
  return out;
}

/// Closes the connections that have been idle the longest, then drops stalled heads and bodies,
/// until `bytes` will be given back. Their memory is free once their coroutines have ended.
bool entry_server::impl::reclaim(std::size_t bytes, const caller_memory::counter& lack) {
  const auto now = base::clock::now();
  // Without a pause for each counter, an address or route at its limit would keep others from
  // memory.
  std::erase_if(next_reclaims, [now](const auto& item) { return now >= item.second; });
  if (next_reclaims.contains(lack.get())) {
    return false;
  }
  std::vector<std::shared_ptr<session>> idle;
  std::vector<std::shared_ptr<session>> stalled;
  for (const auto& s : sessions) {
    if (!s->holds_for(lack)) {
      continue;
    }
    if (s->is_idle()) {
      if (!s->has_pending_input()) {
        idle.push_back(s);
      }
    } else if (s->is_stalled()) {
      stalled.push_back(s);
    }
  }
  std::ranges::sort(idle, {}, &session::idle_since);
  std::ranges::sort(stalled, std::greater{}, &session::held_bytes);
  std::size_t freed = 0;
  std::size_t closed = 0;
  for (const auto& s : idle) {
    if (freed >= std::max(bytes, idle_batch_bytes)) {
      break;
    }
    freed += s->held_bytes();
    ++closed;
    s->abort();
    closing.insert(s.get());
  }
  std::size_t dropped = 0;
  for (const auto& s : stalled) {
    if (freed >= bytes) {
      break;
    }
    freed += s->held_bytes();
    ++dropped;
    s->drop_stalled();
  }
  if (freed == 0) {
    next_reclaims[lack.get()] = now + reclaim_pause;
  }
  log_shortage(closed, dropped, now);
  return freed > 0;
}

void entry_server::impl::log_shortage(std::size_t idle, std::size_t stalled, base::time_point now) {
  context->metrics.count("caller_connections_reclaimed_total", "idle", static_cast<double>(idle));
  context->metrics.count("caller_connections_reclaimed_total", "stalled",
                         static_cast<double>(stalled));
  if (now >= next_shortage_log) {
    next_shortage_log = now + shortage_log_interval;
    observe::log_warning("caller_memory_short", {{"used", context->memory.used()},
                                                 {"limit", context->memory.limit()},
                                                 {"connections", sessions.size()},
                                                 {"idle_closed", idle},
                                                 {"stalled_dropped", stalled}});
  }
}

void entry_server::impl::observe_memory(base::time_point now) {
  for (const auto& s : sessions) {
    s->sample_rate(now);
  }
  context->memory.forget_unused();
  context->metrics.set("caller_memory_bytes", static_cast<double>(context->memory.used()));
}

awaitable<void> entry_server::impl::accept_loop() {
  const auto self = shared_from_this();
  while (acceptor.is_open()) {
    error_code ec;
    auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      accepted(std::move(socket));
    } else if (acceptor.is_open()) {
      context->metrics.count("accept_failures_total");
      stop_timer.expires_after(accept_retry_delay);
      co_await stop_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
  }
}

void entry_server::impl::accepted(tcp::socket socket) {
  error_code ec;
  const auto remote = socket.remote_endpoint(ec);
  if (ec) {
    return;
  }
  const auto& settings = context->settings;
  auto address = remote.address().to_string();
  auto& count = per_caller[address];
  const bool is_caller_full = count >= settings.max_connections_per_caller;
  // Idle connections give way to new ones.
  const bool has_room = !is_caller_full && (!is_full() || reclaim(connection_bytes, nullptr));
  auto memory = has_room ? take_connection_memory(address) : std::nullopt;
  if (!memory) {
    refuse_connection(socket,
                      is_caller_full ? "too_many_caller_connections" : "too_many_connections");
    if (count == 0) {
      per_caller.erase(address);
    }
    return;
  }
  ++count;
  socket.set_option(tcp::no_delay(true), ec);
  auto s = std::make_shared<session>(context, std::move(socket), address, std::move(*memory));
  sessions.insert(s);
  context->metrics.set("caller_connections", static_cast<double>(sessions.size()));
  asio::co_spawn(
      context->executor,
      [self = shared_from_this(), s, address] { return self->serve(s, address); }, asio::detached);
}

/// Writes without waiting: the empty send buffer of a new socket holds the short answer.
void entry_server::impl::refuse_connection(tcp::socket& socket, const char* reason) {
  context->metrics.count_refusal(reason);
  const refusal r{503, reason, "too many open connections", ran_state::no, std::nullopt};
  const auto text =
      refusal_answer(r, context->next_request_id(), false, true, context->settings.names);
  error_code ec;
  socket.non_blocking(true, ec);
  socket.write_some(asio::buffer(text), ec);
  socket.shutdown(tcp::socket::shutdown_send, ec);
}

awaitable<void> entry_server::impl::serve(std::shared_ptr<session> s, std::string address) {
  try {
    co_await s->run();
  } catch (const std::exception& e) {
    context->metrics.count("session_errors_total");
    observe::log_error("session_failed", {{"error", e.what()}});
    s->abort();
  }
  sessions.erase(s);
  closing.erase(s.get());
  const auto it = per_caller.find(address);
  if (it != per_caller.end() && --it->second == 0) {
    per_caller.erase(it);
  }
  context->metrics.set("caller_connections", static_cast<double>(sessions.size()));
}

awaitable<void> entry_server::impl::sweep_loop() {
  const auto self = shared_from_this();
  error_code ec;
  while (!is_closed) {
    sweep_timer.expires_after(sweep_interval);
    co_await sweep_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    const auto now = base::clock::now();
    context->pool.sweep(now);
    observe_memory(now);
  }
}

/// Observes requests that hold a server while they wait for their callers, as long as there are
/// any.
void entry_server::impl::schedule_holds() {
  holds_timer.expires_after(server_holds::tick_interval);
  holds_timer.async_wait([weak = weak_from_this()](error_code ec) {
    const auto self = weak.lock();
    if (!self || ec) {
      return;
    }
    auto& holds = self->context->holds;
    if (const auto n = holds.tick(base::clock::now()); n > 0) {
      self->context->metrics.count("stalled_callers_ended_total", {}, static_cast<double>(n));
    }
    if (!holds.is_empty()) {
      self->schedule_holds();
    }
  });
}

awaitable<void> entry_server::impl::finish_stop(base::time_point deadline,
                                                std::function<void(std::size_t)> done) {
  const auto self = shared_from_this();
  error_code ec;
  const auto wait = [&](base::time_point until) {
    stop_timer.expires_at(until);
    return stop_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  };
  while (!sessions.empty() && base::clock::now() < deadline) {
    co_await wait(std::min(deadline, base::clock::now() + stop_poll_interval));
  }
  const auto rest = std::vector<std::shared_ptr<session>>(sessions.begin(), sessions.end());
  const auto cut = static_cast<std::size_t>(
      std::ranges::count_if(rest, [](const auto& s) { return !s->is_draining(); }));
  for (const auto& s : rest) {
    s->abort();
  }
  while (!sessions.empty()) {
    co_await wait(base::clock::now() + stop_poll_interval);
  }
  close();
  observe::log_info("entry_stopped", {{"connections_cut", cut}});
  done(cut);
}

void entry_server::impl::close() {
  error_code ignored;
  is_closed = true;
  context->is_stopping = true;
  acceptor.close(ignored);
  sweep_timer.cancel(ignored);
  stop_timer.cancel(ignored);
  holds_timer.cancel(ignored);
  context->pool.close_idle();
}

entry_server::entry_server(asio::io_context& io, entry_settings settings, hooks decisions,
                           observe::metrics& metrics)
    : impl_(std::make_shared<impl>(io, std::move(settings), std::move(decisions), metrics)) {
  impl_->context->reclaim = [weak = std::weak_ptr(impl_)](std::size_t bytes,
                                                          const caller_memory::counter& lack) {
    const auto self = weak.lock();
    return self && self->reclaim(bytes, lack);
  };
  impl_->context->holds.on_first = [weak = std::weak_ptr(impl_)] {
    if (const auto self = weak.lock()) {
      self->schedule_holds();
    }
  };
  const auto& bound = impl_->context->settings;
  listen_on(impl_->acceptor, bound.address, bound.port, bound.caller_receive_bytes,
            std::min(bound.max_connections, most_connections_of(bound)));
  asio::co_spawn(
      io, [self = impl_] { return self->accept_loop(); }, asio::detached);
  asio::co_spawn(
      io, [self = impl_] { return self->sweep_loop(); }, asio::detached);
}

entry_server::~entry_server() {
  const auto open =
      std::vector<std::shared_ptr<session>>(impl_->sessions.begin(), impl_->sessions.end());
  for (const auto& s : open) {
    s->abort();
  }
  impl_->close();
}

std::uint16_t entry_server::port() const noexcept {
  error_code ignored;
  return impl_->acceptor.local_endpoint(ignored).port();
}

void entry_server::set_interceptor(interceptor answer) {
  impl_->context->intercept = std::move(answer);
}

void entry_server::begin_stop(const stop_window& window) {
  impl_->context->stop = window;
  for (const auto& s : impl_->sessions) {
    s->wake();
  }
}

void entry_server::discard_upstream_connections() {
  impl_->context->pool.close_idle();
}

void entry_server::set_caller_limits(std::size_t head_bytes, base::milliseconds head_timeout,
                                     base::milliseconds idle_timeout) {
  auto& settings = impl_->context->settings;
  settings.max_head_bytes = head_bytes;
  settings.head_timeout = head_timeout;
  settings.idle_timeout = idle_timeout;
}

void entry_server::stop(base::time_point deadline, std::function<void(std::size_t)> done) {
  error_code ignored;
  if (!impl_->context->stop) {
    begin_stop({base::clock::now(), deadline});
  }
  impl_->context->is_stopping = true;
  impl_->acceptor.close(ignored);
  for (const auto& s :
       std::vector<std::shared_ptr<session>>(impl_->sessions.begin(), impl_->sessions.end())) {
    if (s->is_idle()) {
      s->abort();
    }
  }
  asio::co_spawn(
      impl_->context->executor,
      [self = impl_, deadline, done = std::move(done)] {
        return self->finish_stop(deadline, done);
      },
      asio::detached);
}

std::size_t entry_server::connection_count() const noexcept {
  return impl_->sessions.size();
}

} // namespace kingcupshunt::proxy
