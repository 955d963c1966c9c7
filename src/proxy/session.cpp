#include "session.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kingcupshunt/proxy/head_checks.h"
#include "kingcupshunt/proxy/header_rewrite.h"
#include "request_handler.h"

namespace kingcupshunt::proxy {

namespace {

/// A read buffer of a caller grows to this much, so that many of them fit into the memory.
constexpr std::size_t max_caller_read_bytes = std::size_t{16} * 1024;
/// What serving one request needs besides its head: its handler, tries and coroutines.
constexpr std::size_t request_bytes = std::size_t{8} * 1024;
/// A head is held as received, as parsed fields and as the head for the server.
constexpr std::size_t head_copies = 3;
constexpr base::milliseconds rate_interval{1000};

refusal refused_head(unsigned status, const char* reason, const char* message) {
  return refusal{status, reason, message, ran_state::no, std::nullopt};
}

} // namespace

session::session(std::shared_ptr<entry_context> context, tcp::socket socket, std::string address,
                 caller_memory::lease memory)
    : context_(std::move(context)),
      caller_(std::make_shared<caller_connection>(std::move(socket), std::move(address),
                                                  context_->settings.max_read_ahead_bytes)) {
  caller_->holders = {context_->memory.counter_of('a', caller_->address)};
  caller_->memory = std::move(memory);
  caller_->buffer_memory = caller_memory::lease(caller_->holders);
  caller_->stream->limit_reads(max_caller_read_bytes);
  // The stream belongs to the connection and reads for it only.
  caller_->stream->set_growth_check([context = context_, caller = caller_.get()](std::size_t n) {
    if (n == 0) {
      context->memory.shrink(caller->buffer_memory, 0);
    }
    // The memory of the connection covers the smallest buffer.
    return n <= timed_socket::min_read_bytes ||
           context->extend(caller->buffer_memory, n - timed_socket::min_read_bytes,
                           caller_memory::use::head);
  });
}

awaitable<void> session::run() {
  const auto& settings = context_->settings;
  while (is_serving()) {
    const bool has_request = co_await next_request();
    if (!has_request) {
      break;
    }
    start_request();
  }
  co_await wait_until_answered();
  co_await stop_watch(*caller_);
  if (failure_) {
    std::rethrow_exception(failure_);
  }
  if (caller_->is_disconnected) {
    caller_->stream->close();
  } else {
    is_draining_ = true;
    co_await drain_and_close(*caller_, settings.max_drain_bytes, settings.drain_timeout);
  }
}

bool session::is_serving() const noexcept {
  return !caller_->is_closing && !caller_->is_disconnected;
}

/// True when the next request may be served beside those that are not answered yet. In a planned
/// stop the last one of these closes the connection, and what follows has not been read.
bool session::may_serve_next() const {
  return caller_->requests.size() < context_->settings.max_pipelined_requests &&
         caller_->requests.back()->may_be_followed && !context_->stop && !context_->is_stopping;
}

/// Waits until a request's head has arrived and it may be served, and parses it. Returns false when
/// no further request is served on the connection.
awaitable<bool> session::next_request() {
  while (is_serving() && !caller_->requests.empty()) {
    const auto size =
        may_serve_next() ? find_head_end(caller_->stream->buffered(), 0) : std::string_view::npos;
    if (size <= context_->settings.max_head_bytes &&
        take_head_memory(size, caller_memory::use::body)) {
      const auto refused = parse(size);
      start_watch(caller_); // it ends when the buffer is full
      if (!refused) {
        co_return true;
      }
      co_await wait_until_answered();
      if (is_serving()) {
        co_await refuse(*refused);
      }
      co_return false;
    }
    co_await caller_->changed.wait_until(base::time_point::max());
  }
  co_await stop_watch(*caller_);
  caller_->stream->release_buffer();
  bool has_head = is_serving();
  if (has_head) {
    has_head = co_await wait_for_request();
  }
  if (has_head) {
    has_head = co_await read_head();
  }
  co_return has_head;
}

void session::start_request() {
  context_->metrics.count("requests_total");
  auto request = std::exchange(next_, nullptr);
  request->serial = ++caller_->request_count;
  if (caller_->requests.empty()) {
    // The request has its own time limit. Later, only answers set an expiry.
    caller_->stream->expires_at(base::time_point::max());
  }
  caller_->requests.push_back(request);
  boost::asio::co_spawn(
      context_->executor, [self = shared_from_this(), request] { return self->serve(request); },
      boost::asio::detached);
}

awaitable<void> session::serve(std::shared_ptr<caller_request> request) {
  try {
    const auto handler = std::make_shared<request_handler>(*context_, caller_, request);
    co_await handler->serve();
  } catch (const std::exception&) {
    failure_ = std::current_exception();
    abort();
  }
  caller_->finish(*request);
}

awaitable<void> session::wait_until_answered() {
  while (!caller_->requests.empty()) {
    co_await caller_->changed.wait_until(base::time_point::max());
  }
}

bool session::holds_for(const caller_memory::counter& of) const {
  return !of || std::ranges::find(caller_->holders, of) != caller_->holders.end();
}

std::size_t session::held_bytes() const noexcept {
  return caller_->memory.size() + caller_->buffer_memory.size() + caller_->body_bytes;
}

void session::sample_rate(base::time_point now) {
  caller_->sample_rate(now, rate_interval, context_->settings.least_body_rate);
}

void session::drop_stalled() {
  caller_->stop_reading();
  caller_->is_dropped = true;
  caller_->stream->expires_at(base::clock::now());
}

void session::wake() {
  for (const auto& r : caller_->requests) {
    r->wake->notify();
  }
}

void session::abort() {
  caller_->is_aborted = true;
  caller_->stream->close();
  caller_->mark_disconnected();
}

/// Waits for the first byte of a request. Returns false when the connection is to be closed.
awaitable<bool> session::wait_for_request() {
  caller_->stream->expires_at(base::clock::now() + context_->settings.idle_timeout);
  if (context_->is_stopping) {
    caller_->is_closing = true;
    co_return false;
  }
  if (!caller_->stream->buffered().empty()) {
    co_return true;
  }
  is_idle_ = true;
  idle_since_ = base::clock::now();
  const auto ec = co_await caller_->stream->read_some();
  is_idle_ = false;
  caller_->is_disconnected = caller_->is_disconnected || ec.failed();
  co_return !ec;
}

/// Reads, checks and parses a head. Returns false after a refusal or when the connection ended.
awaitable<bool> session::read_head() {
  std::size_t size = 0;
  auto refused = co_await read_head_bytes(size);
  caller_->stop_reading();
  if (!refused && caller_->is_disconnected) {
    co_return false;
  }
  if (!refused) {
    refused = parse(size);
  }
  if (refused) {
    co_await refuse(*refused);
    co_return false;
  }
  co_return true;
}

/// Reads until a whole head is buffered and sets `size`, or marks the caller as disconnected.
/// Returns a refusal for a head that is too large or too slow.
awaitable<std::optional<refusal>> session::read_head_bytes(std::size_t& size) {
  auto& stream = *caller_->stream;
  const auto& settings = context_->settings;
  const auto began = base::clock::now();
  stream.expires_at(began + settings.head_timeout);
  caller_->start_reading(began);
  std::size_t searched = 0;
  for (;;) {
    size = find_head_end(stream.buffered(), searched);
    const bool has_end = size != std::string_view::npos;
    searched = stream.buffered().size();
    if ((has_end ? size : searched) > settings.max_head_bytes) {
      co_return refused_head(431, "head_too_large", "the request's head is larger than allowed");
    }
    if (has_end) {
      co_return std::nullopt;
    }
    const auto ec = co_await stream.read_some();
    if (ec && stream.is_timed_out()) {
      co_return refused_head(408, "head_timeout", "the request's head did not arrive in time");
    }
    if (ec == boost::asio::error::no_buffer_space) {
      co_return refused_for_memory();
    }
    if (ec) {
      caller_->is_disconnected = true;
      co_return std::nullopt;
    }
  }
}

/// Takes the memory of the next request, whose head has `size` bytes.
bool session::take_head_memory(std::size_t size, caller_memory::use purpose) {
  if (next_memory_.size() == 0) {
    next_memory_ = caller_memory::lease(caller_->holders);
  }
  return context_->extend(next_memory_, request_bytes + head_copies * size, purpose);
}

std::optional<refusal> session::parse(std::size_t size) {
  if (!take_head_memory(size, caller_memory::use::head)) {
    return refused_for_memory();
  }
  auto& stream = *caller_->stream;
  const auto head = stream.buffered().substr(0, size);
  if (const char* problem = check_raw_head(head, context_->settings.max_header_fields)) {
    const bool is_count = problem == std::string_view(too_many_fields);
    return is_count ? refused_head(431, "too_many_headers", problem)
                    : bad_request("bad_head", problem);
  }
  auto request = std::make_shared<caller_request>(context_->executor);
  request->arrival_time = stream.arrival_of(size);
  if (const auto ec = parse_head(stream, request->parser, size)) {
    return bad_request("bad_head", "the head is not valid HTTP: " + ec.message());
  }
  request->memory = std::exchange(next_memory_, {});
  next_ = std::move(request);
  return std::nullopt;
}

awaitable<void> session::refuse(const refusal& r) {
  context_->metrics.count_refusal(r.reason);
  caller_->is_closing = true;
  caller_->stream->expires_at(base::clock::now() + context_->settings.write_timeout);
  const auto text =
      refusal_answer(r, context_->next_request_id(), false, true, context_->settings.names);
  const auto ec = co_await caller_->stream->write(text);
  if (ec) {
    caller_->is_disconnected = true;
  }
  co_return;
}

} // namespace kingcupshunt::proxy
