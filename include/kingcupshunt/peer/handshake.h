#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/base/result.h"
#include "kingcupshunt/peer/frame.h"

namespace kingcupshunt::peer {

enum class handshake_error : std::uint8_t {
  malformed,       ///< not the message that the handshake expects next
  wrong_fleet,     ///< the peer belongs to another fleet
  unexpected_peer, ///< another instance answers at this address, or this instance itself
  no_version,      ///< the ranges of frame versions do not overlap
  bad_proof,       ///< the peer does not know the fleet secret
};

/// Short fixed text for `error`.
const char* message_of(handshake_error error) noexcept;

template <class T>
using handshake_result = base::result<T, handshake_error>;

inline constexpr std::size_t challenge_bytes = 32;

/// First message of each side. It is sent without HMAC and is covered by the proofs.
struct hello_message {
  std::string id;
  std::string fleet;
  std::string challenge;
  std::uint8_t least_version = 0;
  std::uint8_t greatest_version = 0;

  MSGPACK_DEFINE_MAP(id, fleet, challenge, least_version, greatest_version)
};

/// HMAC under the fleet secret over the direction and both hello messages.
struct proof_message {
  std::string mac;

  MSGPACK_DEFINE_MAP(mac)
};

struct handshake_settings {
  std::string self_id;
  std::string fleet;
  std::string secret;
  version_range versions;
  std::string expected_peer; ///< empty: any member of the fleet
};

enum class handshake_role : std::uint8_t { client, server };

/// What both sides agreed on.
struct session {
  std::string peer_id;
  std::uint8_t version = 0;
  base::sha256_digest send_key{};
  base::sha256_digest receive_key{};
};

/// Mutual authentication of one connection, without I/O. The client sends a hello; the server
/// answers with its own; the client proves that it knows the secret, then the server does.
class handshake {
public:
  /// `challenge` is challenge_bytes of fresh random bytes.
  handshake(handshake_role role, handshake_settings settings, std::string challenge);

  /// Frame content that this side sends unasked; empty for the server.
  std::string start();

  /// Takes the next frame content of the peer. Returns the content to send in answer, or empty.
  handshake_result<std::string> receive(std::string_view content);

  /// Whether the peer is authenticated and the session may be used.
  bool is_done() const noexcept { return state_ == state::done; }

  const session& result() const noexcept { return session_; }

private:
  enum class state : std::uint8_t { expect_hello, expect_proof, done, failed };

  handshake_result<std::string> receive_hello(std::string_view content);
  handshake_result<std::string> receive_proof(std::string_view content);
  std::string make_hello() const;
  std::string make_proof(handshake_role role) const;
  base::sha256_digest derive(std::string_view label) const;

  handshake_role role_;
  handshake_settings settings_;
  std::string challenge_;
  state state_ = state::expect_hello;
  std::string own_hello_;
  std::string transcript_;
  session session_;
};

} // namespace kingcupshunt::peer
