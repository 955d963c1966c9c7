#include <doctest/doctest.h>

#include "kingcupshunt/peer/handshake.h"

using namespace kingcupshunt::peer;

namespace {

handshake_settings settings_of(const std::string& id, version_range versions = {1, 1}) {
  return {id, "fleet-1", "secret-of-the-fleet", versions, ""};
}

handshake make(handshake_role role, handshake_settings settings, char fill = 'c') {
  return {role, std::move(settings), std::string(challenge_bytes, fill)};
}

/// Runs both sides until one fails or both are done. Returns the first error.
std::optional<handshake_error> run(handshake& client, handshake& server) {
  auto content = client.start();
  bool is_for_server = true;
  while (!content.empty()) {
    auto answer = (is_for_server ? server : client).receive(content);
    if (!answer) {
      return answer.error();
    }
    content = answer.value();
    is_for_server = !is_for_server;
  }
  return std::nullopt;
}

} // namespace

// Guards against sides that derive different keys or mistake each other's identity.
TEST_CASE("both sides agree on identity, version and keys") {
  auto client = make(handshake_role::client, settings_of("a", {1, 4}));
  auto server = make(handshake_role::server, settings_of("b", {2, 3}), 's');
  CHECK_FALSE(run(client, server).has_value());
  REQUIRE(client.is_done());
  REQUIRE(server.is_done());
  CHECK(client.result().peer_id == "b");
  CHECK(server.result().peer_id == "a");
  CHECK(client.result().version == 3);
  CHECK(server.result().version == 3);
  CHECK(client.result().send_key == server.result().receive_key);
  CHECK(client.result().receive_key == server.result().send_key);
  CHECK(client.result().send_key != client.result().receive_key);
}

// Guards against strangers, other fleets, incompatible versions and wrong addresses.
TEST_CASE("each mismatch has its own error") {
  const auto error_with = [](handshake_settings settings) {
    auto client = make(handshake_role::client, settings_of("a"));
    auto server = make(handshake_role::server, std::move(settings), 's');
    return run(client, server);
  };
  auto settings = settings_of("b");
  settings.secret = "another secret";
  CHECK(error_with(settings) == handshake_error::bad_proof);
  settings = settings_of("b");
  settings.fleet = "fleet-2";
  CHECK(error_with(settings) == handshake_error::wrong_fleet);
  CHECK(error_with(settings_of("b", {2, 5})) == handshake_error::no_version);
  CHECK(error_with(settings_of("a")) == handshake_error::unexpected_peer);
  settings = settings_of("b");
  settings.expected_peer = "c";
  CHECK(error_with(settings) == handshake_error::unexpected_peer);
}

// Guards against an attacker who returns the server's own messages to it.
TEST_CASE("a reflected or replayed proof is refused") {
  auto first = make(handshake_role::client, settings_of("a"));
  auto server = make(handshake_role::server, settings_of("b"), 's');
  const auto server_hello = server.receive(first.start()).value();
  const auto proof = first.receive(server_hello).value();

  // Recorded messages of the client against a server with a new challenge.
  auto later = make(handshake_role::server, settings_of("b"), 't');
  REQUIRE(later.receive(first.start()));
  CHECK(later.receive(proof).error() == handshake_error::bad_proof);

  // The server's own proof in place of the client's.
  auto again = make(handshake_role::server, settings_of("b"), 's');
  REQUIRE(again.receive(first.start()));
  const auto server_proof = server.receive(proof).value();
  CHECK(again.receive(server_proof).error() == handshake_error::bad_proof);
}

// Guards against messages out of turn.
TEST_CASE("malformed and unexpected messages end the handshake") {
  auto server = make(handshake_role::server, settings_of("b"));
  CHECK(server.receive("\x01").error() == handshake_error::malformed);
  auto client = make(handshake_role::client, settings_of("a"));
  CHECK(server.receive(client.start()).error() == handshake_error::malformed);
  CHECK_FALSE(server.is_done());
}
