#include "backend_server.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

namespace standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr auto announce_interval = std::chrono::seconds(1);
constexpr auto announce_timeout = milliseconds(500);
constexpr auto stall_time = std::chrono::seconds(60);
constexpr auto drain_poll = milliseconds(20);
/// After the announcement that it leaves, before connections end.
constexpr auto drain_grace = milliseconds(2000);

asio::awaitable<void> sleep_for(std::chrono::steady_clock::duration d) {
  asio::steady_timer timer(co_await asio::this_coro::executor, d);
  error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

faults parse_faults(const json& j, const faults& old) {
  faults f = old;
  f.delay_ms = j.value("delay_ms", f.delay_ms);
  f.error_share = j.value("error_share", f.error_share);
  f.truncate_share = j.value("truncate_share", f.truncate_share);
  f.stall_share = j.value("stall_share", f.stall_share);
  f.is_refusing = j.value("is_refusing", f.is_refusing);
  f.is_shedding = j.value("is_shedding", f.is_shedding);
  f.is_lying = j.value("is_lying", f.is_lying);
  f.crash_marker = j.value("crash_marker", f.crash_marker);
  f.body_bytes = j.value("body_bytes", f.body_bytes);
  return f;
}

} // namespace

backend_server::backend_server(asio::io_context& io, backend_settings settings)
    : io_(io), settings_(std::move(settings)),
      acceptor_(io, {asio::ip::make_address(settings_.address), settings_.port}),
      incarnation_(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() /
                                              milliseconds(1))) {
  settings_.port = acceptor_.local_endpoint().port();
}

void backend_server::start() {
  std::cout << "listening " << settings_.address << ":" << settings_.port << std::endl;
  asio::co_spawn(io_, accept_loop(), asio::detached);
  asio::co_spawn(io_, announce_loop(), asio::detached);
}

void backend_server::drain() {
  if (!std::exchange(is_draining_, true)) {
    asio::co_spawn(io_, drain_loop(), asio::detached);
  }
}

asio::awaitable<void> backend_server::drain_loop() {
  co_await announce_once();
  co_await sleep_for(drain_grace);
  while (running_ > 0) {
    co_await sleep_for(drain_poll);
  }
  io_.stop();
}

asio::awaitable<void> backend_server::accept_loop() {
  for (;;) {
    error_code ec;
    auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (!ec && !faults_.is_refusing) {
      socket.set_option(tcp::no_delay(true), ec);
      asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
    }
  }
}

asio::awaitable<void> backend_server::serve(tcp::socket socket) {
  boost::beast::tcp_stream stream(std::move(socket));
  boost::beast::flat_buffer buffer;
  error_code ec;
  bool is_kept = true;
  while (is_kept) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(std::uint64_t{64} << 20U);
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      break;
    }
    const auto req = parser.release();
    is_kept = co_await answer(stream, req);
  }
  stream.socket().close(ec);
}

asio::awaitable<bool> backend_server::answer(boost::beast::tcp_stream& stream, const request& req) {
  if (req.target().starts_with("/_")) {
    auto res = control(req);
    co_await write(stream, res, false);
    co_return true;
  }
  if (req.target() == "/healthz") {
    const bool is_well = faults_.is_lying || (!is_draining_ && running_ < settings_.slots);
    response res(is_well ? http::status::ok : http::status::service_unavailable, 11);
    co_await write(stream, res, false);
    co_return true;
  }
  ++running_;
  bool is_kept = false;
  try {
    is_kept = co_await run(stream, req);
  } catch (const std::exception&) {
    is_kept = false;
  }
  --running_;
  co_return is_kept;
}

/// Runs one request of the service. False when the connection ends with it.
asio::awaitable<bool> backend_server::run(boost::beast::tcp_stream& stream, const request& req) {
  if (faults_.is_shedding && running_ > settings_.slots) {
    response busy(http::status::service_unavailable, 11);
    busy.set(http::field::retry_after, "1");
    co_await write(stream, busy, false);
    co_return true;
  }
  const auto& marker = faults_.crash_marker;
  const bool is_crash = !marker.empty() && (req.body().find(marker) != std::string::npos ||
                                            req.target().find(marker) != std::string::npos);
  if (is_crash) {
    std::_Exit(3);
  }
  ++total_runs_;
  if (const auto key = req["Idempotency-Key"]; !key.empty()) {
    ++runs_[std::string(key)];
  }
  if (is_drawn(faults_.stall_share)) {
    co_await sleep_for(stall_time);
    co_return false;
  }
  if (faults_.delay_ms > 0) {
    co_await sleep_for(milliseconds(faults_.delay_ms));
  }
  const bool is_error = is_drawn(faults_.error_share);
  response res(is_error ? http::status::internal_server_error : http::status::ok, 11);
  res.set(http::field::content_type, "text/plain");
  res.set("X-Nonce", req["X-Nonce"]);
  res.set("X-Backend", settings_.address + ":" + std::to_string(settings_.port));
  res.body() = "nonce=" + std::string(req["X-Nonce"]) + "\n";
  res.body().append(faults_.body_bytes, '.');
  const bool is_cut = is_drawn(faults_.truncate_share);
  co_await write(stream, res, is_cut);
  co_return !is_cut;
}

asio::awaitable<void> backend_server::write(boost::beast::tcp_stream& stream, response& res,
                                            bool is_cut) {
  error_code ec;
  if (is_cut) {
    res.content_length(res.body().size() + 100); // promises more than is sent
  } else {
    res.prepare_payload();
  }
  co_await http::async_write(stream, res, asio::redirect_error(asio::use_awaitable, ec));
}

backend_server::response backend_server::control(const request& req) {
  response res(http::status::ok, 11);
  res.set(http::field::content_type, "application/json");
  if (req.target() == "/_counts") {
    res.body() =
        json{{"runs", total_runs_}, {"running", running_}, {"by_idempotency_key", runs_}}.dump();
  } else if (req.target() == "/_faults" && req.method() == http::verb::post) {
    const auto j = json::parse(req.body(), nullptr, false);
    if (j.is_object()) {
      faults_ = parse_faults(j, faults_);
    } else {
      res.result(http::status::bad_request);
    }
  } else {
    res.result(http::status::not_found);
  }
  return res;
}

bool backend_server::is_drawn(double share) {
  return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

asio::awaitable<void> backend_server::announce_loop() {
  while (!is_draining_) {
    co_await announce_once();
    co_await sleep_for(announce_interval);
  }
}

asio::awaitable<void> backend_server::announce_once() {
  for (const auto& url : settings_.announce_urls) {
    asio::co_spawn(io_, announce_to(url), asio::detached);
  }
  co_return;
}

/// Sends one announcement to `http://ip:port/path`. A failure is tried again a second later.
asio::awaitable<void> backend_server::announce_to(std::string url) {
  const auto host_at = url.find("//") + 2;
  const auto path_at = std::min(url.find('/', host_at), url.size());
  const auto host = url.substr(host_at, path_at - host_at);
  const auto colon = host.rfind(':');
  error_code ec;
  const auto ip = asio::ip::make_address(host.substr(0, colon), ec);
  if (ec || colon == std::string::npos) {
    std::cerr << "bad announce URL " << url << std::endl;
    co_return;
  }
  const tcp::endpoint to(ip, static_cast<std::uint16_t>(std::stoi(host.substr(colon + 1))));
  http::request<http::string_body> req(
      http::verb::post, path_at < url.size() ? url.substr(path_at) : "/announce", 11);
  req.set(http::field::host, host);
  req.set(http::field::authorization, "Bearer " + settings_.secret);
  req.set(http::field::content_type, "application/json");
  req.body() = json{{"service", settings_.service},
                    {"address", settings_.address + ":" + std::to_string(settings_.port)},
                    {"data_centre", settings_.data_centre},
                    {"slots", settings_.slots},
                    {"is_draining", is_draining_},
                    {"incarnation", incarnation_}}
                   .dump();
  req.prepare_payload();
  boost::beast::tcp_stream stream(io_);
  stream.expires_after(announce_timeout);
  co_await stream.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
  if (!ec) {
    co_await http::async_write(stream, req, asio::redirect_error(asio::use_awaitable, ec));
  }
  if (!ec) {
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> res;
    co_await http::async_read(stream, buffer, res, asio::redirect_error(asio::use_awaitable, ec));
  }
}

} // namespace standin
