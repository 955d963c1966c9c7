#include "harness.h"

#include <doctest/doctest.h>

#include "../../src/proxy/caller_memory.h"

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

// Guards against callers that together make an entry hold more than its memory, and against one
// caller that takes the share of all others.

namespace {

constexpr std::size_t mib = std::size_t{1} << 20U;

const std::string signed_ok =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\nContent-Length: 2\r\n\r\nok";
const std::string not_run = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

struct upload_fixture : fixture {
  explicit upload_fixture(std::vector<std::string> ups, std::size_t memory)
      : fixture(std::move(ups), [memory](entry_settings& s) {
          s.max_caller_memory_bytes = memory;
          s.max_replay_bytes = mib;
          s.must_read_chunked_whole = true;
          s.names.request_id = "Request-Id";
          s.names.not_run = "Not-Executed";
          s.names.signature = "Upstream-Signature";
          s.names.is_request_id_echoed = true;
          s.names.has_not_run_statuses = true;
          s.names.is_shed_budgeted = true;
        }) {
    route.kind = config::request_kind::upload;
    decisions.reserve = nullptr;
    start();
  }
};

std::string upload(std::size_t length) {
  return "POST /a HTTP/1.1\r\nHost: shop\r\nRequest-Id: r1\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n" + std::string(length, 'b');
}

} // namespace

TEST_CASE("one address, workspace or route can't take the memory of the others") {
  caller_memory memory(1000, 0.5);
  const auto address = memory.counter_of('a', "10.0.0.1");
  caller_memory::lease first({address, memory.counter_of('w', "one")});
  CHECK(memory.extend(first, 400, caller_memory::use::body));
  caller_memory::counter lack;
  caller_memory::lease second({address, memory.counter_of('w', "two")});
  CHECK(!memory.extend(second, 200, caller_memory::use::body, &lack));
  CHECK(lack == address);
  caller_memory::lease other({memory.counter_of('a', "10.0.0.2"), memory.counter_of('w', "two")});
  CHECK(memory.extend(other, 350, caller_memory::use::body));
  CHECK(memory.used() == 750);
}

TEST_CASE("bodies leave room for connections with a first head, and connections for bodies") {
  caller_memory memory(1000, 1);
  caller_memory::lease connections;
  CHECK(!memory.extend(connections, 501, caller_memory::use::connection));
  CHECK(memory.extend(connections, 500, caller_memory::use::connection));
  caller_memory::lease bodies;
  CHECK(!memory.extend(bodies, 251, caller_memory::use::body));
  CHECK(memory.extend(bodies, 250, caller_memory::use::body));
  caller_memory::lease heads;
  CHECK(memory.extend(heads, 250, caller_memory::use::head));
  CHECK(!memory.extend(heads, 251, caller_memory::use::head));
}

// Guards against new callers that are refused, and idle ones closed, because others send bodies.
TEST_CASE("bodies up to their part leave room for new connections") {
  caller_memory memory(1000, 1);
  caller_memory::lease bodies;
  CHECK(memory.extend(bodies, 750, caller_memory::use::body));
  auto connection = memory.connection_lease("10.0.0.1");
  CHECK(memory.extend(connection, 250, caller_memory::use::connection));
  CHECK(!memory.extend(connection, 251, caller_memory::use::connection));
}

TEST_CASE("connections of many addresses hold half of the memory together") {
  caller_memory memory(1000, 0.3);
  auto first = memory.connection_lease("10.0.0.1");
  auto second = memory.connection_lease("10.0.0.2");
  CHECK(memory.extend(first, 300, caller_memory::use::connection));
  CHECK(!memory.extend(first, 301, caller_memory::use::connection)); // the share of one address
  CHECK(memory.extend(second, 200, caller_memory::use::connection));
  CHECK(!memory.extend(second, 201, caller_memory::use::connection));
  first = {};
  CHECK(memory.extend(second, 300, caller_memory::use::connection));
}

TEST_CASE("memory is given back to the budget and to each holder") {
  caller_memory memory(1000, 1);
  const auto address = memory.counter_of('a', "10.0.0.1");
  {
    caller_memory::lease lease({address});
    CHECK(memory.extend(lease, 600, caller_memory::use::body));
    memory.shrink(lease, 100);
    CHECK(*address == 100);
    memory.force(lease, 2000); // other memory is being given back
    CHECK(memory.used() == 2000);
    auto moved = std::move(lease);
    CHECK(*address == 2000);
  }
  CHECK(memory.used() == 0);
  CHECK(*address == 0);
}

TEST_CASE("an upload is held whole and sent to another server after a refusal") {
  backend full(always(not_run));
  backend good(always(signed_ok));
  upload_fixture f({full.id(), good.id()}, 64 * mib);
  test_connection c(f.port());
  c.send(upload(300'000));
  CHECK(c.read_answer().status == 200);
  CHECK(full.requests() == 1);
  CHECK(good.requests() == 1);
}

TEST_CASE("an upload that there is no memory to hold is streamed when its length is known") {
  backend good(always(signed_ok));
  upload_fixture f({good.id()}, mib / 4);
  test_connection c(f.port());
  c.send(upload(300'000));
  CHECK(c.read_answer().status == 200);
  CHECK(good.received().find(std::string(300'000, 'b')) != std::string::npos);
}

TEST_CASE("a body without a length that there is no memory for is refused as not run") {
  backend good(always(signed_ok));
  upload_fixture f({good.id()}, mib / 4);
  test_connection c(f.port());
  c.send("POST /a HTTP/1.1\r\nHost: shop\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n" +
         std::string("30000\r\n") + std::string(0x30000, 'b'));
  const auto a = c.read_answer();
  CHECK(a.status == 503);
  CHECK(a.field("x-kingcupshunt-reason") == "no_memory");
  CHECK(!a.field("retry-after").empty());
  CHECK(good.requests() == 0);
  CHECK(f.get("/a", "Request-Id: r1\r\n").status ==
        200); // one request within the limits is still served
}

TEST_CASE("idle connections are closed for a new one when memory is short") {
  backend good(always(ok_answer()));
  fixture f({good.id()}, [](entry_settings& s) {
    s.max_caller_memory_bytes = mib;
    s.single_caller_share = 1;
  });
  f.start();
  std::vector<std::unique_ptr<test_connection>> idle;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(std::make_unique<test_connection>(f.port()));
  }
  CHECK(f.get().status == 200);
  CHECK(idle.front()->is_closed_by_peer());
  CHECK(f.counter(R"(kingcupshunt_caller_connections_reclaimed_total{kind="idle"})") > 0);
}

TEST_CASE("a stalled body is dropped when another body needs its memory") {
  backend good(always(ok_answer()));
  fixture f({good.id()}, [](entry_settings& s) {
    s.max_caller_memory_bytes = mib;
    s.single_caller_share = 1;
    s.max_replay_bytes = mib;
    s.least_body_rate = 1e9;
  });
  f.route.kind = config::request_kind::once;
  f.decisions.reserve = nullptr;
  f.service.timeout = base::seconds(60);
  f.start();
  const auto post =
      "POST /a HTTP/1.1\r\nHost: shop\r\n" + authorization() + "Content-Length: 600000\r\n\r\n";
  test_connection stalled(f.port());
  stalled.send(post + "b");
  CHECK(eventually([&] {
    test_connection c(f.port());
    c.send(post + std::string(600'000, 'b'));
    return c.read_answer().status == 200;
  }));
  CHECK(stalled.read_answer().status == 408);
}
