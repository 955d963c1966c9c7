#include <utility>

#include <doctest/doctest.h>

#include <array>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "kingcupshunt/peer/transport.h"

using namespace kingcupshunt;
using namespace kingcupshunt::peer;
using boost::asio::ip::tcp;

namespace {

struct received {
  std::string from;
  message_kind kind;
  std::string body;
};

/// One instance with its own io_context on an address of its own.
struct node {
  explicit node(int number, version_range versions = {1, 1}, std::string secret = "secret")
      : id("n" + std::to_string(number)), ip("127.0.0." + std::to_string(number)) {
    transport_settings settings;
    settings.self_id = id;
    settings.fleet = "fleet";
    settings.secret = std::move(secret);
    settings.listen_address = ip + ":0";
    settings.versions = versions;
    settings.limits.heartbeat = base::milliseconds(20);
    settings.limits.silence = base::milliseconds(150);
    settings.limits.greatest_backoff = base::milliseconds(100);
    settings.limits.max_queued_messages = 8;
    link.emplace(context, settings);
    REQUIRE(link->start());
    link->on_message([this](std::string_view from, message_kind kind, std::string body) {
      inbox.push_back({std::string(from), kind, std::move(body)});
    });
  }

  peer_address address() const { return {id, ip + ":" + std::to_string(link->listen_port())}; }

  std::string id;
  std::string ip;
  boost::asio::io_context context;
  std::optional<transport> link;
  std::vector<received> inbox;
};

/// Runs the contexts until `is_done`. The bound only ends a failing test.
template <class Done>
bool run_until(std::initializer_list<node*> nodes, Done is_done) {
  const auto deadline = base::clock::now() + base::seconds(20);
  while (!is_done()) {
    if (base::clock::now() > deadline) {
      return false;
    }
    for (auto* n : nodes) {
      n->context.run_one_for(base::milliseconds(1));
      n->context.poll();
    }
  }
  return true;
}

void introduce(std::initializer_list<node*> nodes) {
  std::vector<peer_address> all;
  for (auto* n : nodes) {
    all.push_back(n->address());
  }
  for (auto* n : nodes) {
    n->link->set_peers(all);
  }
}

} // namespace

// Guards against lost, changed or misattributed messages, and against lost replies.
TEST_CASE("messages travel in both directions and in order") {
  node a(1);
  node b(2);
  introduce({&a, &b});
  const std::string large(max_body_bytes, 'x');
  CHECK(a.link->send("n2", message_kind::rate_ask, "1"));
  CHECK(a.link->send("n2", message_kind::rate_grant, large));
  CHECK(b.link->send("n1", message_kind::rate_ask, "reply"));
  REQUIRE(run_until({&a, &b}, [&] { return b.inbox.size() == 2 && a.inbox.size() == 1; }));
  CHECK(b.inbox[0].from == "n1");
  CHECK(b.inbox[0].body == "1");
  CHECK(b.inbox[1].kind == message_kind::rate_grant);
  CHECK(b.inbox[1].body == large);
  CHECK(a.inbox[0].body == "reply");
  CHECK_FALSE(a.link->send("n2", message_kind::rate_ask, large + "x"));
  CHECK_FALSE(a.link->send("nobody", message_kind::rate_ask, ""));
  CHECK(a.link->counters().dropped_too_large == 1);
  CHECK(a.link->counters().dropped_unknown == 1);
}

// Guards against messages that vanish without a trace, so that nobody finds out why their content
// is in force nowhere (review/6).
TEST_CASE("each message that is dropped is reported with kind, size, receiver and reason") {
  node a(1);
  node b(2);
  introduce({&a, &b});
  struct report {
    std::string to;
    message_kind kind;
    std::size_t bytes;
    drop_reason reason;
  };
  std::vector<report> reports;
  a.link->on_drop([&](const dropped_message& m) {
    reports.push_back({std::string(m.to), m.kind, m.bytes, m.reason});
  });
  a.link->send("n2", message_kind::document_content, std::string(max_body_bytes + 1, 'x'));
  a.link->send("nobody", message_kind::entry_ask, "12345");
  REQUIRE(reports.size() == 2);
  CHECK(reports[0].to == "n2");
  CHECK(reports[0].kind == message_kind::document_content);
  CHECK(reports[0].bytes == max_body_bytes + 1);
  CHECK(reports[0].reason == drop_reason::too_large);
  CHECK(reports[1].to == "nobody");
  CHECK(reports[1].kind == message_kind::entry_ask);
  CHECK(reports[1].bytes == 5);
  CHECK(reports[1].reason == drop_reason::unknown);
}

// Guards against instances of another fleet or without the secret.
TEST_CASE("a peer without the secret delivers nothing") {
  node a(1);
  node b(2, {1, 1}, "wrong");
  introduce({&a, &b});
  b.link->send("n1", message_kind::rate_ask, "forged");
  REQUIRE(run_until({&a, &b}, [&] { return a.link->counters().handshake_errors > 0; }));
  CHECK(a.inbox.empty());
  CHECK_FALSE(a.link->is_connected("n2"));
}

// Guards against an upgrade that splits the fleet.
TEST_CASE("mixed frame versions use the greatest common one") {
  node a(1, {1, 2});
  node b(2, {2, 3});
  node c(3, {3, 3});
  introduce({&a, &b, &c});
  a.link->send("n2", message_kind::rate_ask, "x");
  a.link->send("n3", message_kind::rate_ask, "y");
  REQUIRE(run_until({&a, &b, &c},
                    [&] { return b.inbox.size() == 1 && a.link->counters().failed_connects > 0; }));
  CHECK(c.inbox.empty());
}

// Guards against unbounded memory for a peer that is away, and against delivery of the oldest.
TEST_CASE("a queue drops the oldest messages and delivers the rest after reconnecting") {
  node a(1);
  node b(2);
  const auto address = b.address();
  b.link.reset();
  b.context.poll();
  b.context.restart(); // it ran out of work
  a.link->set_peers(std::vector{address});
  for (int i = 0; i < 10; ++i) {
    a.link->send("n2", message_kind::rate_ask, std::to_string(i));
  }
  CHECK(a.link->counters().dropped_full == 2);
  REQUIRE(run_until({&a}, [&] { return a.link->counters().failed_connects > 1; }));

  transport_settings settings;
  settings.self_id = "n2";
  settings.fleet = "fleet";
  settings.secret = "secret";
  settings.listen_address = address.address;
  b.link.emplace(b.context, settings);
  REQUIRE(b.link->start());
  b.link->on_message([&](std::string_view from, message_kind kind, std::string body) {
    b.inbox.push_back({std::string(from), kind, std::move(body)});
  });
  REQUIRE(run_until({&a, &b}, [&] { return b.inbox.size() == 8; }));
  CHECK(b.inbox.front().body == "2");
}

// Guards against connections on which the network dropped all state.
TEST_CASE("a connection that went silent is noticed and replaced") {
  node a(1);
  node b(2);
  introduce({&a, &b});
  a.link->send("n2", message_kind::rate_ask, "1");
  REQUIRE(run_until({&a, &b}, [&] { return b.inbox.size() == 1; }));
  // b does not run: its kernel accepts bytes, but nothing answers.
  REQUIRE(run_until({&a}, [&] { return a.link->counters().silent_connections == 1; }));
  CHECK_FALSE(a.link->is_connected("n2"));
  a.link->send("n2", message_kind::rate_ask, "2");
  REQUIRE(run_until({&a, &b}, [&] { return b.inbox.size() == 2; }));
  CHECK(b.inbox[1].body == "2");
}

// Guards against losing an instance that is reachable only through others.
TEST_CASE("messages take a detour through another peer while the direct path is cut") {
  node a(1);
  node b(2);
  node c(3);
  introduce({&a, &b, &c});
  // a has no usable address of c.
  a.link->set_peers(std::vector<peer_address>{b.address(), {"n3", "127.0.0.9:1"}});
  a.link->set_relay("n3", "n2");
  CHECK(a.link->send("n3", message_kind::freshness_query, "detour"));
  REQUIRE(run_until({&a, &b, &c}, [&] { return c.inbox.size() == 1; }));
  CHECK(c.inbox[0].from == "n1");
  CHECK(c.inbox[0].kind == message_kind::freshness_query);
  CHECK(c.inbox[0].body == "detour");
  CHECK(b.link->counters().relayed == 1);
  CHECK(b.inbox.empty());
  // Probes test the direct path and must not hide that it is cut.
  a.link->send("n3", message_kind::membership_probe, "direct");
  REQUIRE(run_until({&a, &b, &c}, [&] { return a.link->counters().failed_connects > 0; }));
  CHECK(c.inbox.size() == 1);
}

// Guards against memory and time spent on strangers that send garbage or stall.
TEST_CASE("a stranger's oversized or meaningless bytes close its connection") {
  node a(1);
  const auto port = a.link->listen_port();
  boost::asio::io_context context;
  for (const std::string& bytes : {std::string("\xff\xff\xff\xff", 4), make_packet("garbage")}) {
    tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    boost::asio::write(socket, boost::asio::buffer(bytes));
    const auto errors = a.link->counters().frame_errors + a.link->counters().handshake_errors;
    REQUIRE(run_until({&a}, [&] {
      return a.link->counters().frame_errors + a.link->counters().handshake_errors > errors;
    }));
  }
  CHECK(a.inbox.empty());
}

TEST_CASE("an address in use is reported") {
  node a(1);
  transport_settings settings;
  settings.listen_address = a.address().address;
  transport second(a.context, settings);
  CHECK(second.start().error() == transport_error::cannot_listen);
  settings.listen_address = "nowhere";
  transport third(a.context, settings);
  CHECK(third.start().error() == transport_error::bad_address);
}
