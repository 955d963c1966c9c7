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

  /// A connected one, as after an answer at `when`.
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

TEST_CASE("connections to one upstream are bounded, each upstream for itself") {
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
  // At the bound an idle connection makes room for one that must be new.
  CHECK(f.pool.take("a", connection_need::fresh, f.now) != nullptr);
  CHECK(!one->stream->is_open());
  CHECK(f.pool.open_count("a") == 3);
}

TEST_CASE("connections that the upstream closed or wrote to are not handed out") {
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

TEST_CASE("a connection is verified only for a while after a whole answer") {
  pool_fixture f;
  const auto c = f.connected();
  f.pool.put(c, f.now);
  const auto later = f.now + f.settings.verified_for + base::milliseconds(1);
  const auto fresh = f.pool.take("a", connection_need::verified, later);
  CHECK(!fresh->was_reused);
  CHECK(f.pool.take("a", connection_need::verified, f.now + base::milliseconds(1)) == c);
}

TEST_CASE("idle connections end by time, by renewal and by the upstream's end") {
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
