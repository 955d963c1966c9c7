#include "kingcupshunt/proxy/path_probe.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "tunnel.h"

namespace kingcupshunt::proxy {

namespace {

awaitable<bool> connect(timed_socket& stream, const path_probe& probe) {
  if (!probe.tunnel.empty()) {
    const bool is_open = co_await open_tunnel(stream, probe.handshake, probe.tunnel, probe.server);
    co_return is_open;
  }
  const auto endpoint = endpoint_of(probe.address);
  if (!endpoint) {
    co_return false;
  }
  const auto ec = co_await stream.connect(*endpoint);
  co_return !ec;
}

awaitable<void> run(boost::asio::any_io_executor executor, path_probe probe,
                    std::function<void(bool)> done) {
  const auto stream = std::make_shared<timed_socket>(tcp::socket(executor));
  stream->expires_at(base::clock::now() + probe.timeout);
  const bool is_connected = co_await connect(*stream, probe);
  stream->close();
  done(is_connected);
}

} // namespace

void probe_path(const boost::asio::any_io_executor& executor, path_probe probe,
                std::function<void(bool is_connected)> done) {
  boost::asio::co_spawn(executor, run(executor, std::move(probe), std::move(done)),
                        boost::asio::detached);
}

} // namespace kingcupshunt::proxy
