#include "harness.h"

#include <doctest/doctest.h>

#include "kingcupshunt/proxy/path_probe.h"
#include "kingcupshunt/proxy/tunnel_server.h"

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

constexpr const char* closed_port = "127.0.0.1:1";

peer::handshake_settings handshake_of(const std::string& id) {
  peer::handshake_settings out;
  out.self_id = id;
  out.fleet = "test";
  out.secret = "secret";
  return out;
}

bool probe(path_probe p) {
  boost::asio::io_context io;
  std::optional<bool> out;
  p.timeout = base::seconds(10);
  probe_path(io.get_executor(), std::move(p), [&](bool is_connected) { out = is_connected; });
  io.run();
  REQUIRE(out);
  return *out;
}

} // namespace

// Guards against a probe that a server counts as a request.
TEST_CASE("a probe connects directly or through another instance and sends no request") {
  std::atomic<int> closed{0};
  backend server([&](backend& b, test_connection& c, int) {
    if (!b.read_request(c)) {
      ++closed;
    }
  });
  boost::asio::io_context io;
  observe::metrics metrics;
  tunnel_server tunnels(
      io, {"127.0.0.1", 0, handshake_of("other")},
      [&](const std::string& id) { return id == "s1" ? server.id() : std::string(closed_port); },
      metrics);
  std::thread thread([&] { io.run(); });
  const auto via = "127.0.0.1:" + std::to_string(tunnels.port());
  CHECK(probe({"s1", server.id(), "", {}}));
  CHECK(!probe({"s1", closed_port, "", {}}));
  CHECK(!probe({"s1", "", "", {}}));
  CHECK(probe({"s1", closed_port, via, handshake_of("self")}));
  CHECK(!probe({"s2", server.id(), via, handshake_of("self")}));
  CHECK(!probe({"s1", server.id(), closed_port, handshake_of("self")}));
  CHECK(eventually([&] { return closed == 2; }));
  CHECK(server.requests() == 0);
  io.stop();
  thread.join();
}

// Guards against a request that goes on to try servers after its instance has lost its path.
TEST_CASE("when the path is lost during a request, it ends as not run after the current try") {
  fixture f({closed_port, "127.0.0.2:1", "127.0.0.3:1"});
  const auto pick = f.decisions.pick;
  std::atomic<int> tries{0};
  f.decisions.pick = [&](const auto& request, auto fingerprint,
                         const auto& tried) -> decided<upstream_target> {
    if (tries == 1) {
      refusal lost{503, "no_path", "lost", ran_state::no, base::milliseconds(700)};
      lost.is_general = true;
      return lost;
    }
    ++tries;
    return pick(request, fingerprint, tried);
  };
  f.start();
  const auto answer = f.get();
  CHECK(answer.status == 503);
  CHECK(answer.field("x-kingcupshunt-reason") == "no_path");
  CHECK(answer.field("x-kingcupshunt-ran") == "no");
  CHECK(!answer.field("retry-after").empty());
  CHECK(tries == 1);
}

// Guards against a false "not run".
TEST_CASE("a lost path does not hide that an earlier try may have run the request") {
  backend cuts([](backend& b, test_connection& c, int) { b.read_request(c); });
  fixture f({cuts.id()});
  const auto pick = f.decisions.pick;
  f.decisions.pick = [&](const auto& request, auto fingerprint,
                         const auto& tried) -> decided<upstream_target> {
    if (!tried.empty()) {
      refusal lost{503, "no_path", "lost", ran_state::no, base::milliseconds(700)};
      lost.is_general = true;
      return lost;
    }
    return pick(request, fingerprint, tried);
  };
  f.start();
  const auto answer = f.get();
  CHECK(answer.status == 502);
  CHECK(answer.field("x-kingcupshunt-ran") == "unknown");
}

TEST_CASE("a tunnel is not tried when the direct failure shows that the path is lost") {
  backend server(always(ok_answer()));
  fixture f({closed_port});
  std::atomic<int> noted{0};
  std::vector<connection_outcome> outcomes;
  f.decisions.plan_connection = [&](const std::string&) {
    return connection_plan{true, server.id(), std::nullopt};
  };
  f.decisions.note_direct_failure = [&](const std::string&) {
    ++noted;
    return false;
  };
  f.decisions.note_connection = [&](const connection_outcome& o) {
    const std::lock_guard lock(f.mutex);
    outcomes.push_back(o);
  };
  f.start();
  CHECK(f.get().status == 502);
  CHECK(noted == 1);
  CHECK(server.connections() == 0);
  const std::lock_guard lock(f.mutex);
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].has_direct_failed);
  CHECK(outcomes[0].failed_tunnel.empty());
}
