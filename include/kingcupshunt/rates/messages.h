#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace kingcupshunt::rates {

/// State of one workspace at an instance, with a wish for tokens. Every item of a newer frame
/// replaces what older frames said, and abandons their unanswered wishes.
struct token_request_item {
  std::string workspace;
  std::uint32_t urgent = 0;           ///< requests that wait for a token now
  std::uint32_t wanted_tokens = 0;    ///< tokens wanted beyond the urgent ones
  std::uint32_t held = 0;             ///< unspent tokens of this owner
  std::uint64_t spent = 0;            ///< tokens of this owner spent since the entry was made
  std::vector<std::uint32_t> ages_us; ///< ages of the newest unreported spends, oldest first

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("w", workspace), MSGPACK_NVP("u", urgent),
                     MSGPACK_NVP("p", wanted_tokens), MSGPACK_NVP("h", held),
                     MSGPACK_NVP("s", spent), MSGPACK_NVP("a", ages_us))
};

/// State of a bucket that its owner gives up because of a view, for the next owner. The sender
/// grants nothing of it any more.
struct handover {
  std::string workspace;
  std::uint64_t version = 0; ///< of the view that moved the workspace
  double level = 0;
  std::uint32_t outstanding = 0; ///< tokens that instances may still spend

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("w", workspace), MSGPACK_NVP("v", version),
                     MSGPACK_NVP("l", level), MSGPACK_NVP("o", outstanding))
};

/// Frame from an instance to an owner (message_kind::rate_ask).
struct token_request {
  std::uint64_t incarnation = 0; ///< of the asking process
  std::uint64_t seq = 0;         ///< rises with every frame of this incarnation
  std::uint64_t term = 0;        ///< incarnation of the owner as last heard, 0 when not
  std::vector<token_request_item> items;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", incarnation), MSGPACK_NVP("q", seq), MSGPACK_NVP("t", term),
                     MSGPACK_NVP("x", items))
};

/// Frame from a former owner to the next one (message_kind::rate_ask without items).
struct handover_frame {
  std::vector<handover> handovers;
  /// Not 0: of the workspaces that the view `claim_version` moves away from the sender and that it
  /// has owned since the view `claim_since`, all with outstanding tokens are in `handovers`.
  std::uint64_t claim_since = 0;
  std::uint64_t claim_version = 0;

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("h", handovers), MSGPACK_NVP("cs", claim_since),
                     MSGPACK_NVP("cv", claim_version))
};

/// What a grant_item says; the values are part of the protocol.
enum class grant_status : std::uint8_t {
  granted = 0,  ///< final answer with `tokens`, possibly 0
  queued = 1,   ///< not final: no token is free now, the ask stays queued at the owner
  starting = 2, ///< final: the owner is new or not fresh and grants nothing yet
  unknown = 3,  ///< final: the owner's configuration has no such workspace
  recall = 4,   ///< no answer: report now and return what is not needed
  not_owner = 5 ///< final: the view of the receiver names another owner
};

/// Answer for one workspace.
struct grant_item {
  std::string workspace;
  std::uint64_t seq = 0; ///< frame that is answered
  std::uint32_t tokens = 0;
  std::uint8_t status = 0;    ///< a grant_status
  std::uint32_t retry_ms = 0; ///< expected time until the next free token
  bool is_scarce = false;     ///< few tokens are left: report each spend at once
  bool is_plentiful = false;  ///< many are left: a report of spends alone is not needed

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("w", workspace), MSGPACK_NVP("q", seq), MSGPACK_NVP("n", tokens),
                     MSGPACK_NVP("s", status), MSGPACK_NVP("r", retry_ms),
                     MSGPACK_NVP("t", is_scarce), MSGPACK_NVP("m", is_plentiful))
};

/// Frame from an owner to an instance (message_kind::rate_grant).
struct grant {
  std::uint64_t incarnation = 0; ///< of the process that asked
  std::uint64_t term = 0;        ///< incarnation of the owner
  std::vector<grant_item> items;

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", incarnation), MSGPACK_NVP("t", term), MSGPACK_NVP("x", items))
};

} // namespace kingcupshunt::rates
