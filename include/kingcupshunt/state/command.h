#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "kingcupshunt/membership/fleet_view.h"

namespace kingcupshunt::state {

/// Values are part of the log format and are never reused.
enum class command_kind : std::uint8_t {
  change_files = 1,
  set_view = 2,
  reserve = 3,
  complete = 4,
  release = 5,
};

enum class outcome : std::uint8_t;

} // namespace kingcupshunt::state

MSGPACK_ADD_ENUM(kingcupshunt::state::command_kind)
MSGPACK_ADD_ENUM(kingcupshunt::state::outcome)

namespace kingcupshunt::state {

/// Changes the configuration folder when no other change of it came after `base_revision`.
struct change_files {
  std::string request_id; ///< a resend carries the same id and gets the first answer
  std::uint64_t base_revision = 0;
  std::string author;
  std::map<std::string, std::string> changed; ///< file name to new content
  std::vector<std::string> removed;           ///< file names

  MSGPACK_DEFINE_MAP(request_id, base_revision, author, changed, removed)
};

/// Replaces the members of the fleet view.
struct set_view {
  std::string request_id;
  std::uint64_t base_version = 0; ///< version that the members were derived from
  /// Version that a majority of the present view and of the one before it hold, as the proposer
  /// has counted. Must equal base_version, so that a view settles before the next one.
  std::uint64_t held_version = 0;
  std::string author;
  std::vector<membership::fleet_member> members;

  MSGPACK_DEFINE_MAP(request_id, base_version, held_version, author, members)
};

/// Reserves an idempotency key of a workspace for one attempt.
struct reserve {
  std::string workspace;
  std::string key;
  std::uint64_t fingerprint = 0; ///< of the request; a key stands for one request
  std::uint64_t attempt = 0;     ///< random, unique over the fleet

  MSGPACK_DEFINE_MAP(workspace, key, fingerprint, attempt)
};

/// Answer of a request that ran, kept for resends.
struct kept_answer {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const kept_answer&) const = default;
  MSGPACK_DEFINE_MAP(status, content_type, body)
};

/// Records that the reserved request ran.
struct complete {
  std::string workspace;
  std::string key;
  std::uint64_t attempt = 0;
  bool has_answer = false;
  kept_answer answer;

  MSGPACK_DEFINE_MAP(workspace, key, attempt, has_answer, answer)
};

/// Gives a reservation back whose request certainly did not run. Also forbids a later `reserve` of
/// the same attempt.
struct release {
  std::string workspace;
  std::string key;
  std::uint64_t attempt = 0;

  MSGPACK_DEFINE_MAP(workspace, key, attempt)
};

enum class outcome : std::uint8_t {
  none = 0,
  malformed,         ///< the command could not be read
  accepted,          ///< files or view changed, or the change had no effect to make
  conflict,          ///< another change came first; author and revision are the winner's
  invalid,           ///< the folder would not be valid; detail says why
  removes_all,       ///< the change would remove all files
  too_large,         ///< the folder or the view would exceed its bound
  request_id_reused, ///< the id was used for another change
  full,              ///< the table is full; nothing was done
  view_not_settled,  ///< the former change of the view is not held by both majorities
  granted,           ///< this attempt may send the request, once
  may_have_run,      ///< another attempt holds the key; age_ms is its age
  done,              ///< the request ran; the answer is there unless it was too large
  differs,           ///< the key was used for another request
  released,          ///< the key is free; for a reserve: this attempt was given up before
  not_reserved,      ///< this attempt does not hold the key
};

/// Short fixed text for `o`.
const char* message_of(outcome o) noexcept;

/// Typed answer of the state machine to one command.
struct command_result {
  outcome code = outcome::none;
  std::uint64_t revision = 0; ///< of the change, or of the winner
  std::uint64_t version = 0;  ///< of the fleet view
  std::string author;         ///< conflict: who made the change that won
  std::string detail;
  std::uint64_t age_ms = 0; ///< may_have_run and done: log time since the reservation
  bool has_answer = false;
  kept_answer answer;

  bool operator==(const command_result&) const = default;
  MSGPACK_DEFINE_MAP(code, revision, version, author, detail, age_ms, has_answer, answer)
};

/// Payload of a log entry. The leader stamps its log time, which never runs backwards over a
/// change of the leader.
struct command {
  std::uint64_t time_ms = 0;
  command_kind kind = command_kind::change_files;
  std::string body; ///< packed command struct

  MSGPACK_DEFINE_MAP(time_ms, kind, body)
};

} // namespace kingcupshunt::state
