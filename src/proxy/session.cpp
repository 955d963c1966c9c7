#include "session.h"

#include "kingcupshunt/proxy/head_checks.h"
#include "kingcupshunt/proxy/header_rewrite.h"
#include "request_run.h"

namespace kingcupshunt::proxy {

session::session(std::shared_ptr<entry_context> context, tcp::socket socket, std::string address)
    : context_(std::move(context)),
      caller_(std::make_shared<caller_side>(std::move(socket), std::move(address))) {}

awaitable<void> session::run() {
  const auto& settings = context_->settings;
  while (!caller_->is_closing && !caller_->is_gone) {
    bool has_head = co_await wait_for_request();
    if (has_head) {
      has_head = co_await read_head();
    }
    if (!has_head) {
      break;
    }
    context_->metrics.count("requests_total");
    auto serving = std::make_shared<request_run>(*context_, caller_);
    co_await serving->serve();
    caller_->stream->release_buffer();
  }
  if (caller_->is_gone) {
    caller_->stream->close();
  } else {
    co_await drain_and_close(*caller_, settings.max_drain_bytes, settings.drain_timeout);
  }
}

void session::cut() {
  caller_->is_cut = true;
  caller_->is_gone = true;
  caller_->is_closing = true;
  caller_->stream->close();
  if (caller_->wake) {
    caller_->wake->notify();
  }
}

/// Waits for the first byte of a request. False when the connection is to be closed.
awaitable<bool> session::wait_for_request() {
  caller_->stream->expires_at(base::clock::now() + context_->settings.idle_timeout);
  is_idle_ = true;
  bool is_ok = !context_->is_stopping;
  if (is_ok) {
    const auto ec = co_await caller_->stream->read_some();
    is_ok = !ec;
  }
  is_idle_ = false;
  caller_->is_gone = caller_->is_gone || !is_ok;
  co_return is_ok;
}

/// Reads, checks and parses a head. False after a refusal or when the connection ended.
awaitable<bool> session::read_head() {
  auto& stream = *caller_->stream;
  const auto& settings = context_->settings;
  stream.expires_at(base::clock::now() + settings.head_timeout);
  std::size_t searched = 0;
  std::size_t size = 0;
  while ((size = find_head_end(stream.buffered(), searched)) == std::string_view::npos) {
    searched = stream.buffered().size();
    if (searched > settings.max_head_bytes) {
      break;
    }
    const auto ec = co_await stream.read_some();
    if (ec) {
      if (stream.is_timed_out()) {
        co_await refuse({408, "head_timeout", "the request's head did not arrive in time",
                         ran_state::no, std::nullopt});
      }
      caller_->is_gone = !stream.is_open() || !caller_->is_closing;
      co_return false;
    }
  }
  if (size == std::string_view::npos || size > settings.max_head_bytes) {
    co_await refuse({431, "head_too_large", "the request's head is larger than allowed",
                     ran_state::no, std::nullopt});
    co_return false;
  }
  if (const char* problem =
          check_raw_head(stream.buffered().substr(0, size), settings.max_header_fields)) {
    const bool is_count = std::string_view(problem) == "too many header fields";
    co_await refuse(is_count
                        ? refusal{431, "too_many_headers", problem, ran_state::no, std::nullopt}
                        : bad_request("bad_head", problem));
    co_return false;
  }
  caller_->parser.emplace();
  if (const auto ec = parse_head(stream, *caller_->parser, size)) {
    co_await refuse(bad_request("bad_head", "the head is not valid HTTP: " + ec.message()));
    co_return false;
  }
  co_return true;
}

awaitable<void> session::refuse(const refusal& r) {
  context_->metrics.count_refusal(r.reason);
  caller_->is_closing = true;
  caller_->stream->expires_at(base::clock::now() + context_->settings.write_timeout);
  const auto text = refusal_answer(r, context_->next_request_id(), false, true);
  const auto ec = co_await caller_->stream->write(text);
  if (ec) {
    caller_->is_gone = true;
  }
  co_return;
}

} // namespace kingcupshunt::proxy
