#include "session.h"

#include "kingcupshunt/proxy/head_checks.h"
#include "kingcupshunt/proxy/header_rewrite.h"
#include "request_handler.h"

namespace kingcupshunt::proxy {

namespace {

refusal refused_head(unsigned status, const char* reason, const char* message) {
  return refusal{status, reason, message, ran_state::no, std::nullopt};
}

} // namespace

session::session(std::shared_ptr<entry_context> context, tcp::socket socket, std::string address)
    : context_(std::move(context)),
      caller_(std::make_shared<caller_connection>(std::move(socket), std::move(address))) {}

awaitable<void> session::run() {
  const auto& settings = context_->settings;
  while (!caller_->is_closing && !caller_->is_disconnected) {
    bool has_head = co_await wait_for_request();
    if (has_head) {
      has_head = co_await read_head();
    }
    if (!has_head) {
      break;
    }
    context_->metrics.count("requests_total");
    ++caller_->requests;
    auto serving = std::make_shared<request_handler>(*context_, caller_);
    co_await serving->serve();
    caller_->stream->release_buffer();
  }
  if (caller_->is_disconnected) {
    caller_->stream->close();
  } else {
    is_draining_ = true;
    co_await drain_and_close(*caller_, settings.max_drain_bytes, settings.drain_timeout);
  }
}

void session::wake() {
  if (caller_->wake) {
    caller_->wake->notify();
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
  is_idle_ = true;
  bool is_ok = !context_->is_stopping;
  if (is_ok) {
    const auto ec = co_await caller_->stream->read_some();
    is_ok = !ec;
  }
  is_idle_ = false;
  caller_->is_disconnected = caller_->is_disconnected || !is_ok;
  co_return is_ok;
}

/// Reads, checks and parses a head. Returns false after a refusal or when the connection ended.
awaitable<bool> session::read_head() {
  std::size_t size = 0;
  auto refused = co_await read_head_bytes(size);
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
  stream.expires_at(base::clock::now() + settings.head_timeout);
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
    if (ec) {
      caller_->is_disconnected = true;
      co_return std::nullopt;
    }
  }
}

std::optional<refusal> session::parse(std::size_t size) {
  auto& stream = *caller_->stream;
  const auto head = stream.buffered().substr(0, size);
  if (const char* problem = check_raw_head(head, context_->settings.max_header_fields)) {
    const bool is_count = problem == std::string_view(too_many_fields);
    return is_count ? refused_head(431, "too_many_headers", problem)
                    : bad_request("bad_head", problem);
  }
  caller_->parser.emplace();
  if (const auto ec = parse_head(stream, *caller_->parser, size)) {
    return bad_request("bad_head", "the head is not valid HTTP: " + ec.message());
  }
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
