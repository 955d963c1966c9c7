// Latency, CPU and memory that the entry adds: the same load goes to a backend server directly and
// through an entry_server, in alternating slices of one run, all on 127.0.0.1.
#include <utility>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <future>
#include <malloc.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "kingcupshunt/proxy/entry_server.h"

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace kingcupshunt;
using base::clock;

constexpr std::size_t max_in_flight = 64;
constexpr int slices = 3; ///< of each kind
constexpr auto slice_time = std::chrono::milliseconds(1500);
constexpr std::size_t idle_connections = 1000;

/// An event loop on its own thread whose CPU time can be read.
class loop {
public:
  loop() : work_(asio::make_work_guard(io)), thread_([this] { io.run(); }) {}
  ~loop() {
    io.stop();
    thread_.join();
  }

  void call(std::function<void()> f) {
    std::promise<void> done;
    asio::post(io, [&] {
      f();
      done.set_value();
    });
    done.get_future().wait();
  }

  double cpu_seconds() {
    timespec t{};
    call([&] { clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t); });
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
  }

  asio::io_context io{1};

private:
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

/// Reads one head into `buffer`, which keeps what follows it. Returns its size, 0 at the end.
asio::awaitable<std::size_t> read_head(tcp::socket& s, std::string& buffer) {
  std::array<char, 4096> piece{};
  for (;;) {
    const auto end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      co_return end + 4;
    }
    error_code ec;
    const auto n = co_await s.async_read_some(asio::buffer(piece),
                                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return 0;
    }
    buffer.append(piece.data(), n);
  }
}

/// Answers GET /N with N bytes.
asio::awaitable<void> serve(tcp::socket s) {
  std::string buffer;
  std::string body;
  for (;;) {
    const auto size = co_await read_head(s, buffer);
    if (size == 0) {
      co_return;
    }
    body.resize(std::stoul(buffer.substr(5)), 'x');
    buffer.erase(0, size);
    const auto head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\nContent-Type: text/plain\r\n\r\n";
    const std::array<asio::const_buffer, 2> all = {asio::buffer(head), asio::buffer(body)};
    error_code ec;
    co_await asio::async_write(s, all, asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<void> accept_all(tcp::acceptor& acceptor) {
  for (;;) {
    error_code ec;
    auto s = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    s.set_option(tcp::no_delay(true), ec);
    asio::co_spawn(acceptor.get_executor(), serve(std::move(s)), asio::detached);
  }
}

struct outcome {
  std::vector<double> micros;
  std::size_t not_sent = 0;
  std::size_t failed = 0;
  double cpu_seconds = 0; ///< of the entry's thread
};

/// Open-loop load of one kind; connections are kept between slices.
class load {
public:
  load(std::uint16_t port, std::size_t bytes)
      : port_(port), bytes_(bytes),
        request_("GET /" + std::to_string(bytes) +
                 " HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer kc_0123456789abcdef\r\n\r\n") {}

  void run(double rate, outcome& out) {
    out_ = &out;
    asio::co_spawn(io_, pace(rate), asio::detached);
    io_.restart();
    io_.run();
  }

private:
  asio::awaitable<void> pace(double rate) {
    const auto start = clock::now();
    const auto total = static_cast<std::size_t>(rate * base::to_seconds(slice_time));
    asio::steady_timer timer(io_);
    for (std::size_t i = 0; i < total; ++i) {
      error_code ec;
      timer.expires_at(start + base::from_seconds(static_cast<double>(i) / rate));
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      if (in_flight_ >= max_in_flight) {
        ++out_->not_sent;
      } else {
        asio::co_spawn(io_, one(), asio::detached);
      }
    }
  }

  asio::awaitable<void> one() {
    ++in_flight_;
    error_code ec;
    std::unique_ptr<tcp::socket> s;
    if (idle_.empty()) {
      s = std::make_unique<tcp::socket>(io_);
      const tcp::endpoint to(asio::ip::make_address("127.0.0.1"), port_);
      co_await s->async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
      s->set_option(tcp::no_delay(true), ec);
    } else {
      s = std::move(idle_.back());
      idle_.pop_back();
    }
    const auto start = clock::now();
    co_await asio::async_write(*s, asio::buffer(request_),
                               asio::redirect_error(asio::use_awaitable, ec));
    std::string buffer;
    const auto size = co_await read_head(*s, buffer);
    const auto have = buffer.size() - std::min(size, buffer.size());
    std::size_t left = bytes_ - std::min(bytes_, have);
    std::vector<char> piece(std::min<std::size_t>(left, 65536));
    while (left > 0 && !ec && size > 0) {
      left -= co_await s->async_read_some(asio::buffer(piece.data(), std::min(left, piece.size())),
                                          asio::redirect_error(asio::use_awaitable, ec));
    }
    const auto took = clock::now() - start;
    const bool is_ok = !ec && size > 0 && buffer.starts_with("HTTP/1.1 200");
    if (is_ok) {
      out_->micros.push_back(base::to_seconds(took) * 1e6);
      idle_.push_back(std::move(s));
    } else {
      ++out_->failed;
    }
    --in_flight_;
  }

  asio::io_context io_{1};
  std::uint16_t port_;
  std::size_t bytes_;
  std::string request_;
  outcome* out_ = nullptr;
  std::vector<std::unique_ptr<tcp::socket>> idle_;
  std::size_t in_flight_ = 0;
};

proxy::hooks allow_all(std::uint16_t backend_port) {
  proxy::hooks h;
  auto service = std::make_shared<config::service>();
  auto route = std::make_shared<config::route>();
  auto workspace = std::make_shared<config::workspace>();
  service->name = "bench";
  route->name = "bench";
  workspace->name = "bench";
  h.authorize = [=](const proxy::request_head&) -> proxy::decided<proxy::authorized_request> {
    return proxy::authorized_request{service, route, workspace, clock::now() + base::seconds(30)};
  };
  h.admit = [](const auto&, const auto&, const auto& done) { done(base::success()); };
  h.finish = [](const auto&) {};
  h.pick = [backend_port](const auto&, auto,
                          const auto&) -> proxy::decided<proxy::upstream_target> {
    return proxy::upstream_target{"127.0.0.1:" + std::to_string(backend_port), "", "127.0.0.1",
                                  backend_port};
  };
  h.report = [](const auto&, const auto&) {};
  h.may_retry = [](const auto&, const auto&) { return false; };
  return h;
}

double quantile(const std::vector<double>& sorted, double q) {
  return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(q * (sorted.size() - 1.0))];
}

void compare(std::uint16_t direct_port, std::uint16_t entry_port, loop& entry_loop, double rate,
             std::size_t bytes) {
  load direct(direct_port, bytes);
  load through(entry_port, bytes);
  outcome d;
  outcome t;
  outcome warm;
  direct.run(rate / 4, warm);
  through.run(rate / 4, warm);
  for (int i = 0; i < slices; ++i) {
    direct.run(rate, d);
    const auto before = entry_loop.cpu_seconds();
    through.run(rate, t);
    t.cpu_seconds += entry_loop.cpu_seconds() - before;
  }
  std::sort(d.micros.begin(), d.micros.end());
  std::sort(t.micros.begin(), t.micros.end());
  std::printf("rate=%.0f/s body=%zu B direct: n=%zu not_sent=%zu failed=%zu; through: n=%zu "
              "not_sent=%zu failed=%zu\n",
              rate, bytes, d.micros.size(), d.not_sent, d.failed, t.micros.size(), t.not_sent,
              t.failed);
  for (const auto& [name, q] : {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}) {
    const auto a = quantile(d.micros, q);
    const auto b = quantile(t.micros, q);
    std::printf("  %-6s direct %8.0f us  through %8.0f us  added %8.0f us  ratio %5.2f\n", name, a,
                b, b - a, a > 0 ? b / a : 0);
  }
  std::printf("  entry CPU per request %.1f us\n",
              t.micros.empty() ? 0 : t.cpu_seconds * 1e6 / static_cast<double>(t.micros.size()));
}

/// Heap of the process, in which the clients of this part are plain sockets without buffers.
std::size_t heap_bytes() {
  return mallinfo2().uordblks;
}

void measure_memory(std::uint16_t entry_port, loop& entry_loop, proxy::entry_server& server) {
  asio::io_context io;
  std::size_t empty = 0;
  entry_loop.call([&] { empty = heap_bytes(); });
  std::vector<tcp::socket> clients;
  clients.reserve(idle_connections);
  const auto reserved = idle_connections * sizeof(tcp::socket);
  for (std::size_t i = 0; i < idle_connections; ++i) {
    clients.emplace_back(io).connect({asio::ip::make_address("127.0.0.1"), entry_port});
  }
  std::size_t open = 0;
  std::size_t full = 0;
  for (int i = 0; i < 200 && open < idle_connections; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    entry_loop.call([&] {
      open = server.connection_count();
      full = heap_bytes();
    });
  }
  std::printf("idle connections: %zu open, heap %zu B before, %zu B with them, %.0f B each\n", open,
              empty, full,
              static_cast<double>(full - empty - reserved) / static_cast<double>(idle_connections));
}

} // namespace

int main() {
  loop backend_loop;
  loop entry_loop;
  tcp::acceptor acceptor(backend_loop.io, {asio::ip::make_address("127.0.0.1"), 0});
  asio::co_spawn(backend_loop.io, accept_all(acceptor), asio::detached);
  const auto backend_port = acceptor.local_endpoint().port();

  observe::metrics metrics;
  std::unique_ptr<proxy::entry_server> server;
  proxy::entry_settings settings;
  settings.max_connections_per_caller = 2 * idle_connections;
  settings.connections_per_upstream = 2 * max_in_flight;
  entry_loop.call([&] {
    server = std::make_unique<proxy::entry_server>(entry_loop.io, settings, allow_all(backend_port),
                                                   metrics);
  });
  const auto entry_port = server->port();
  measure_memory(entry_port, entry_loop, *server);
  for (const std::size_t bytes : {std::size_t{1024}, std::size_t{1024} * 1024}) {
    for (const double rate : {400.0, 4000.0}) {
      compare(backend_port, entry_port, entry_loop, rate, bytes);
    }
  }
  entry_loop.call([&] { server.reset(); });
  backend_loop.call([&] { acceptor.close(); });
  return 0;
}
