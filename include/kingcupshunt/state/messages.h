#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "kingcupshunt/state/command.h"
#include "kingcupshunt/state/delta.h"

namespace kingcupshunt::state {

/// state_propose: a command for the log, or a read of the revision at a read index.
struct propose_message {
  std::uint64_t call_id = 0;
  bool is_read = false;
  command_kind kind = command_kind::change_files;
  std::string body;

  MSGPACK_DEFINE_MAP(call_id, is_read, kind, body)
};

enum class proposal_status : std::uint8_t {
  answered,   ///< result is the state machine's answer
  not_leader, ///< ask `leader`, or any voter when it is empty
  overloaded, ///< not proposed; ask again later
};

} // namespace kingcupshunt::state

MSGPACK_ADD_ENUM(kingcupshunt::state::proposal_status)

namespace kingcupshunt::state {

/// state_proposal_answer
struct proposal_answer {
  std::uint64_t call_id = 0;
  proposal_status status = proposal_status::not_leader;
  std::string leader;
  command_result result;

  MSGPACK_DEFINE_MAP(call_id, status, leader, result)
};

/// state_fetch_delta: asks for what follows `revision`. While an image is being transferred,
/// `image_revision` and `offset` name the next chunk.
struct fetch_message {
  std::uint64_t call_id = 0;
  std::uint64_t revision = 0;
  bool is_image = false; ///< deltas do not apply at the requester
  std::uint64_t image_revision = 0;
  std::uint64_t offset = 0; ///< bytes

  MSGPACK_DEFINE_MAP(call_id, revision, is_image, image_revision, offset)
};

/// state_delta: deltas in order, pushed along the tree or as the answer to a fetch; or a chunk of
/// the packed image when the sender no longer has the deltas.
struct delta_message {
  std::uint64_t call_id = 0; ///< of the fetch; 0: pushed
  std::string root;          ///< pushed: the instance where the tree starts
  std::vector<delta> deltas;
  std::uint64_t revision = 0; ///< that the sender has in force
  std::uint64_t image_revision = 0;
  std::uint64_t image_size = 0; ///< bytes
  std::uint64_t offset = 0;     ///< bytes
  std::string chunk;

  MSGPACK_DEFINE_MAP(call_id, root, deltas, revision, image_revision, image_size, offset, chunk)
};

} // namespace kingcupshunt::state
