#include "../../src/proxy/upstream_pool.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;

namespace {

struct pool_fixture {
  pool_fixture()
      : acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        pool(io.get_executor(), settings, metrics) {
    settings.connections_per_upstream = 3;
  }

  /// Takes a connection from the pool and connects it.
  upstream_pool::connection_ptr connected() {
    auto c = pool.take("a", connection_need::fresh, now);
    c->stream->socket().connect(acceptor.local_endpoint());
    peers.push_back(acceptor.accept());
    return c;
  }

  boost::asio::io_context io;
  tcp::acceptor acceptor;
  entry_settings settings;
  observe::metrics metrics;
  upstream_pool pool;
  base::time_point now = base::clock::now();
  std::vector<tcp::socket> peers;
};

} // namespace

TEST_CASE("the newest idle connection is reused first") {
  pool_fixture f;
  const auto older = f.connected();
  const auto newer = f.connected();
  f.pool.put(older, f.now);
  f.pool.put(newer, f.now + base::seconds(1));
  CHECK(f.pool.take("a", connection_need::any, f.now) == newer);
  CHECK(newer->was_reused);
  CHECK(f.pool.take("a", connection_need::any, f.now) == older);
}

TEST_CASE("the number of connections is limited separately for each upstream") {
  pool_fixture f;
  const auto one = f.connected();
  const auto two = f.connected();
  const auto three = f.connected();
  CHECK(f.pool.take("a", connection_need::any, f.now) == nullptr);
  CHECK(f.pool.take("b", connection_need::any, f.now) != nullptr);
  f.pool.drop(two);
  CHECK(f.pool.open_count("a") == 2);
  f.pool.put(one, f.now);
  CHECK(f.connected() != nullptr);
  // At the limit an idle connection is closed when a new one is required.
  CHECK(f.pool.take("a", connection_need::fresh, f.now) != nullptr);
  CHECK(!one->stream->is_open());
  CHECK(f.pool.open_count("a") == 3);
}

TEST_CASE("idle connections that the upstream closed or wrote to are not reused") {
  pool_fixture f;
  const auto closed = f.connected();
  const auto written = f.connected();
  f.pool.put(closed, f.now);
  f.pool.put(written, f.now);
  f.peers[0].close();
  f.peers[1].send(boost::asio::buffer("x", 1));
  const auto fresh = f.pool.take("a", connection_need::any, f.now);
  CHECK(!fresh->was_reused);
  CHECK(f.pool.open_count("a") == 1);
}

TEST_CASE("a connection counts as verified only for a limited time after a whole answer") {
  pool_fixture f;
  const auto c = f.connected();
  f.pool.put(c, f.now);
  const auto later = f.now + f.settings.verified_for + base::milliseconds(1);
  const auto fresh = f.pool.take("a", connection_need::verified, later);
  CHECK(!fresh->was_reused);
  CHECK(f.pool.take("a", connection_need::verified, f.now + base::milliseconds(1)) == c);
}

TEST_CASE(
    "idle connections are closed by timeout, by discard_idle and when the upstream closes them") {
  pool_fixture f;
  f.pool.put(f.connected(), f.now);
  f.pool.sweep(f.now + f.settings.upstream_idle_timeout);
  CHECK(f.pool.idle_count("a") == 1);
  f.pool.sweep(f.now + f.settings.upstream_idle_timeout + base::milliseconds(1));
  CHECK(f.pool.open_count("a") == 0);
  f.pool.put(f.connected(), f.now);
  f.pool.discard_idle("a");
  CHECK(f.pool.open_count("a") == 0);
  f.pool.put(f.connected(), f.now);
  f.peers.back().close();
  f.pool.sweep(f.now);
  CHECK(f.pool.open_count("a") == 0);
}

// Guards against a process that runs out of descriptors by its connections to many upstreams.
TEST_CASE("the connections to all upstreams are limited, and the longest idle one gives way") {
  pool_fixture f;
  f.settings.max_upstream_connections = 2;
  const auto one = f.connected();
  const auto two = f.connected();
  CHECK(f.pool.take("b", connection_need::any, f.now) == nullptr);
  f.pool.put(two, f.now);
  f.pool.put(one, f.now + base::seconds(1));
  CHECK(f.pool.take("b", connection_need::any, f.now) != nullptr);
  CHECK(!two->stream->is_open());
  CHECK(one->stream->is_open());
  CHECK(f.pool.open_count("a") == 1);
}
