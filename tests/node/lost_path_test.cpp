#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "../../src/node/entry_traffic.h"

using namespace kingcupshunt;
using boost::asio::ip::tcp;

// Servers at different loopback addresses that can be made unreachable: a connection to a listener
// with a full queue stays unanswered, as on a network that drops packets.

namespace {

struct server {
  explicit server(const std::string& ip) : acceptor(io) {
    const tcp::endpoint any(boost::asio::ip::make_address(ip), 0);
    acceptor.open(any.protocol());
    acceptor.bind(any);
    acceptor.listen(0);
  }

  void make_unreachable() {
    for (int i = 0; i < 3; ++i) { // the queue holds one connection
      fill.emplace_back(io).async_connect(acceptor.local_endpoint(),
                                          [](boost::system::error_code) {});
    }
    io.poll();
  }

  void make_reachable() {
    fill.clear();
    acceptor.non_blocking(true);
    boost::system::error_code ec;
    while (!ec) {
      tcp::socket taken(io);
      acceptor.accept(taken, ec);
    }
  }

  fleet::server_record record() const {
    fleet::server_record out;
    out.address = acceptor.local_endpoint().address().to_string() + ":" +
                  std::to_string(acceptor.local_endpoint().port());
    out.id = "s-" + out.address;
    out.service = "desk";
    out.slots = 2;
    out.state = fleet::server_state::ready;
    return out;
  }

  boost::asio::io_context io;
  tcp::acceptor acceptor;
  std::vector<tcp::socket> fill;
};

/// An entry's decisions without callers and without other instances.
struct entry {
  entry()
      : runtime({}, {}), link({}, link_hooks()), traffic(runtime, link, [this] { ++changes; }),
        hooks(traffic.make_hooks()) {
    config::service service;
    service.name = "desk";
    config::route route;
    route.name = "desk";
    route.is_open = true;
    request.service = std::make_shared<const config::service>(service);
    request.route = std::make_shared<const config::route>(route);
    request.deadline = base::clock::now() + base::seconds(60);
  }

  static fleet::entry_link_hooks link_hooks() {
    fleet::entry_link_hooks out;
    out.send = [](std::string_view, peer::message_kind, const std::string&) {};
    out.is_ready = [] { return true; };
    out.is_leaving = [] { return false; };
    out.on_server = [](const fleet::server_record&) {};
    out.on_document = [](const config::snapshot&) {};
    out.on_controls = [] {};
    return out;
  }

  /// A request's connection to the server fails.
  void fail(const fleet::server_record& record) {
    proxy::connection_outcome outcome;
    outcome.upstream = record.id;
    outcome.has_direct_failed = true;
    hooks.note_connection(outcome);
  }

  /// Runs probes until `condition` holds; false after 400 steps of the timer.
  bool run_until(const std::function<bool()>& condition) {
    for (int i = 0; i < 400 && !condition(); ++i) {
      traffic.tick(base::clock::now());
      std::this_thread::sleep_for(base::milliseconds(25));
      runtime.io.restart();
      runtime.io.poll();
    }
    return condition();
  }

  std::optional<proxy::refusal> admit() {
    const auto out = std::make_shared<std::optional<proxy::refusal>>(); // may be written later
    hooks.admit({}, request, [out](const proxy::decided<void>& result) {
      if (!result) {
        *out = result.error();
      }
    });
    return *out;
  }

  int changes = 0;
  node::role_runtime runtime;
  fleet::entry_link link;
  node::entry_traffic traffic;
  proxy::hooks hooks;
  proxy::authorized_request request;
};

} // namespace

// Guards against requests that are each held for seconds while no server can be reached, and
// against an entry that notices only with a caller's request that its path is back.
TEST_CASE("an entry whose connections fail refuses requests at once until a probe succeeds") {
  std::vector<std::unique_ptr<server>> servers;
  entry e;
  for (int i = 1; i <= 5; ++i) {
    servers.push_back(std::make_unique<server>("127.0.5." + std::to_string(i)));
    servers.back()->make_unreachable();
    e.traffic.on_server(servers.back()->record());
  }
  CHECK(!e.admit());
  e.fail(servers[0]->record());
  e.fail(servers[1]->record());
  CHECK(!e.traffic.has_no_path()); // not without a probe
  REQUIRE(e.run_until([&] { return e.traffic.has_no_path(); }));
  const auto refused = e.admit();
  REQUIRE(refused);
  CHECK(refused->status == 503);
  CHECK(refused->reason == "no_path");
  CHECK(refused->ran == proxy::ran_state::no);
  REQUIRE(refused->retry_after);
  CHECK(*refused->retry_after >= base::milliseconds(300));
  CHECK(*refused->retry_after < base::milliseconds(1300));
  CHECK(e.changes == 1);
  for (const auto& s : servers) {
    s->make_reachable();
  }
  REQUIRE(e.run_until([&] { return !e.traffic.has_no_path(); }));
  CHECK(!e.traffic.is_cut_off());
  CHECK(e.changes == 2);
}

// Guards against failures that other entries learn of servers which work.
TEST_CASE("requests that fail while the path is in doubt are not evidence against the servers") {
  std::vector<std::unique_ptr<server>> servers;
  entry e;
  for (int i = 1; i <= 3; ++i) {
    servers.push_back(std::make_unique<server>("127.0.5." + std::to_string(i)));
    e.traffic.on_server(servers.back()->record());
  }
  const auto failed = [&](std::size_t i) {
    health::attempt a;
    a.service = "desk";
    a.upstream = servers[i]->record().id;
    a.end = health::attempt_end::connect_failed;
    return a;
  };
  e.fail(servers[0]->record());
  e.fail(servers[1]->record());
  e.hooks.report(e.request, failed(1));
  CHECK(!e.traffic.board().has_news());
  health::attempt answered = failed(2);
  answered.end = health::attempt_end::ok;
  e.hooks.report(e.request, answered); // the path works
  e.fail(servers[0]->record());
  e.hooks.report(e.request, failed(0));
  CHECK(e.traffic.board().has_news());
}
