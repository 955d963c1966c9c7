#include "kingcupshunt/peer/handshake.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace kingcupshunt::peer {

namespace {

// A hello is read before a version is agreed on; its frame may carry any version.
constexpr version_range any_version = {0, 255};

constexpr std::size_t max_id_bytes = 255;

std::string with_length(std::string_view text) {
  return make_packet(text);
}

template <class T>
std::optional<T> parse(std::string_view content, message_kind kind) {
  const auto decoded = decode_frame(content, any_version);
  if (!decoded || decoded.value().kind != kind) {
    return std::nullopt;
  }
  return unpack<T>(decoded.value().body);
}

const char* proof_label(handshake_role role) noexcept {
  return role == handshake_role::client ? "kingcupshunt proof of client"
                                        : "kingcupshunt proof of server";
}

const char* key_label(handshake_role role) noexcept {
  return role == handshake_role::client ? "kingcupshunt key of client"
                                        : "kingcupshunt key of server";
}

handshake_role other(handshake_role role) noexcept {
  return role == handshake_role::client ? handshake_role::server : handshake_role::client;
}

} // namespace

const char* message_of(handshake_error error) noexcept {
  switch (error) {
  case handshake_error::malformed:
    return "unexpected handshake message";
  case handshake_error::wrong_fleet:
    return "peer belongs to another fleet";
  case handshake_error::unexpected_peer:
    return "another instance answers at this address";
  case handshake_error::no_version:
    return "no frame version in common";
  case handshake_error::bad_proof:
    return "peer does not know the fleet secret";
  }
  return "unknown handshake error";
}

handshake::handshake(handshake_role role, handshake_settings settings, std::string challenge)
    : role_(role), settings_(std::move(settings)), challenge_(std::move(challenge)) {
  own_hello_ = make_hello();
}

std::string handshake::make_hello() const {
  const hello_message hello{settings_.self_id, settings_.fleet, challenge_,
                            settings_.versions.least, settings_.versions.greatest};
  return encode_frame(settings_.versions.greatest, message_kind::transport_hello, pack(hello));
}

std::string handshake::start() {
  return role_ == handshake_role::client ? own_hello_ : "";
}

handshake_result<std::string> handshake::receive(std::string_view content) {
  const auto expected = std::exchange(state_, state::failed);
  if (expected == state::expect_hello) {
    return receive_hello(content);
  }
  if (expected == state::expect_proof) {
    return receive_proof(content);
  }
  return handshake_error::malformed;
}

handshake_result<std::string> handshake::receive_hello(std::string_view content) {
  const auto hello = parse<hello_message>(content, message_kind::transport_hello);
  if (!hello || hello->challenge.size() != challenge_bytes || hello->id.empty() ||
      hello->id.size() > max_id_bytes) {
    return handshake_error::malformed;
  }
  if (hello->fleet != settings_.fleet) {
    return handshake_error::wrong_fleet;
  }
  if (hello->id == settings_.self_id ||
      (!settings_.expected_peer.empty() && hello->id != settings_.expected_peer)) {
    return handshake_error::unexpected_peer;
  }
  const auto greatest = std::min(hello->greatest_version, settings_.versions.greatest);
  if (greatest < std::max(hello->least_version, settings_.versions.least)) {
    return handshake_error::no_version;
  }
  session_.peer_id = hello->id;
  session_.version = greatest;
  const bool is_client = role_ == handshake_role::client;
  transcript_ = with_length(is_client ? std::string_view(own_hello_) : content);
  transcript_ += with_length(is_client ? content : std::string_view(own_hello_));
  state_ = state::expect_proof;
  return is_client ? make_proof(role_) : own_hello_;
}

handshake_result<std::string> handshake::receive_proof(std::string_view content) {
  const auto proof = parse<proof_message>(content, message_kind::transport_proof);
  if (!proof) {
    return handshake_error::malformed;
  }
  const auto expected = derive(proof_label(other(role_)));
  const auto* received = reinterpret_cast<const std::uint8_t*>(proof->mac.data());
  if (!base::is_equal_constant_time(expected, {received, proof->mac.size()})) {
    return handshake_error::bad_proof;
  }
  session_.send_key = derive(key_label(role_));
  session_.receive_key = derive(key_label(other(role_)));
  state_ = state::done;
  // The server proves itself last, so that it answers nobody without the secret.
  return role_ == handshake_role::server ? make_proof(role_) : std::string();
}

base::sha256_digest handshake::derive(std::string_view label) const {
  return base::hmac_sha256(settings_.secret, with_length(label) + transcript_);
}

std::string handshake::make_proof(handshake_role role) const {
  const auto mac = derive(proof_label(role));
  return encode_frame(session_.version, message_kind::transport_proof,
                      pack(proof_message{{mac.begin(), mac.end()}}));
}

} // namespace kingcupshunt::peer
