#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace kingcupshunt::rates {

/// Greatest number of tokens in a message: the greatest burst that a configuration may state.
inline constexpr std::uint32_t max_tokens = 10'000'000;
/// Greatest number of waiting requests of one workspace that an instance states.
inline constexpr std::uint32_t max_urgent = 1'000'000;
/// Greatest retry time in milliseconds.
inline constexpr std::uint32_t max_retry_ms = 3'600'000;

/// State of one workspace at an instance, with a request for tokens. Each item of a newer frame
/// replaces those of older frames and cancels their unanswered requests.
struct token_request_item {
  std::string workspace;
  std::uint32_t urgent = 0;           ///< requests that wait for a token now
  std::uint32_t wanted_tokens = 0;    ///< tokens wanted in addition to the urgent ones
  std::uint32_t held = 0;             ///< unspent tokens of this owner
  std::uint64_t spent = 0;            ///< tokens of this owner spent since the entry was made
  std::vector<std::uint32_t> ages_us; ///< ages of the newest unreported spends, oldest first

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("w", workspace), MSGPACK_NVP("u", urgent),
                     MSGPACK_NVP("p", wanted_tokens), MSGPACK_NVP("h", held),
                     MSGPACK_NVP("s", spent), MSGPACK_NVP("a", ages_us))
};

/// State of a bucket, sent by its owner to the next one when a view moves the workspace. The sender
/// grants no more of its tokens.
struct handover {
  std::string workspace;
  std::uint64_t version = 0; ///< version of the view that moved the workspace
  double level = 0;
  std::uint32_t outstanding = 0; ///< tokens that instances may still spend

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("w", workspace), MSGPACK_NVP("v", version),
                     MSGPACK_NVP("l", level), MSGPACK_NVP("o", outstanding))
};

/// Frame from an instance to an owner (message_kind::rate_ask).
struct token_request {
  std::uint64_t incarnation = 0; ///< of the sending process
  std::uint64_t seq = 0;         ///< increases with every frame of this incarnation
  std::uint64_t term = 0;        ///< last known incarnation of the owner, 0 when unknown
  std::vector<token_request_item> items;
  void apply_bounds();
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", incarnation), MSGPACK_NVP("q", seq), MSGPACK_NVP("t", term),
                     MSGPACK_NVP("x", items))
};

/// Frame from a former owner to the next one (message_kind::rate_ask without items).
struct handover_frame {
  std::vector<handover> handovers;
  /// If not 0: `handovers` contains every workspace with outstanding tokens among those that the
  /// view `claim_version` moves away from the sender and that the sender has owned since the view
  /// `claim_since`.
  std::uint64_t claim_since = 0;
  std::uint64_t claim_version = 0;

  void apply_bounds();
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("h", handovers), MSGPACK_NVP("cs", claim_since),
                     MSGPACK_NVP("cv", claim_version))
};

/// Status of a grant_item; the values are part of the protocol.
enum class grant_status : std::uint8_t {
  granted = 0,  ///< final answer with `tokens`, possibly 0
  queued = 1,   ///< not final: no token is free, the request stays queued at the owner
  starting = 2, ///< final: the owner is new or its view is not fresh, so it grants nothing yet
  unknown = 3,  ///< final: the owner's configuration has no such workspace
  recall = 4,   ///< not an answer: report now and return unneeded tokens
  not_owner = 5 ///< final: the view of the receiver names another owner
};

/// Answer for one workspace.
struct grant_item {
  std::string workspace;
  std::uint64_t seq = 0; ///< sequence number of the answered frame
  std::uint32_t tokens = 0;
  std::uint8_t status = 0;    ///< a grant_status
  std::uint32_t retry_ms = 0; ///< expected time until the next free token
  bool is_scarce = false;     ///< few tokens are left: report each spend immediately
  bool is_plentiful = false;  ///< many tokens are left: reports of spends alone are not needed

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("w", workspace), MSGPACK_NVP("q", seq), MSGPACK_NVP("n", tokens),
                     MSGPACK_NVP("s", status), MSGPACK_NVP("r", retry_ms),
                     MSGPACK_NVP("t", is_scarce), MSGPACK_NVP("m", is_plentiful))
};

/// Frame from an owner to an instance (message_kind::rate_grant).
struct grant {
  std::uint64_t incarnation = 0; ///< of the requesting process
  std::uint64_t term = 0;        ///< incarnation of the owner
  std::vector<grant_item> items;

  void apply_bounds();
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", incarnation), MSGPACK_NVP("t", term), MSGPACK_NVP("x", items))
};

} // namespace kingcupshunt::rates
