#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace kingcupshunt::consensus {

/// What an entry of the replicated log holds.
enum class entry_kind : std::uint8_t {
  command, ///< given to the state machine
  no_op,   ///< first entry of a term
  voters,  ///< a packed voter_set, in force from the moment it is in the log
};

} // namespace kingcupshunt::consensus

MSGPACK_ADD_ENUM(kingcupshunt::consensus::entry_kind)

namespace kingcupshunt::consensus {

/// One entry of the replicated log.
struct entry {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  entry_kind kind = entry_kind::command;
  std::string payload;

  MSGPACK_DEFINE_MAP(index, term, kind, payload)
};

/// A voter is an instance together with one data folder. An instance that comes back with an empty
/// folder has forgotten its votes and entries and therefore is another voter.
struct voter {
  std::string id;
  std::string store; ///< id of the data folder; empty until the leader has seen it

  bool operator==(const voter&) const = default;
  MSGPACK_DEFINE_MAP(id, store)
};

/// Who votes. Changes by one voter at a time.
struct voter_set {
  std::vector<voter> voters;        ///< ordered by id
  std::vector<std::string> joining; ///< receive entries without a vote until they have caught up

  bool operator==(const voter_set&) const = default;
  const voter* find(std::string_view id) const noexcept;
  /// The smallest number of voters that is more than half.
  std::size_t majority() const noexcept { return voters.size() / 2 + 1; }

  MSGPACK_DEFINE_MAP(voters, joining)
};

/// Term and vote; durable before any answer that depends on them.
struct hard_state {
  std::uint64_t term = 0;
  std::string voted_for; ///< id and data folder; empty: no vote in this term

  bool operator==(const hard_state&) const = default;
  MSGPACK_DEFINE_MAP(term, voted_for)
};

/// State machine after all entries up to `index`.
struct snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  voter_set voters;
  std::shared_ptr<const std::string> data;
};

/// Position that replaces the whole log after a snapshot was taken over from the leader.
struct log_position {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
};

/// One durable write. Applied in the order of the members; reported with `sequence` once synced.
struct write_batch {
  std::uint64_t sequence = 0;
  std::optional<log_position> reset;          ///< drop all entries, the next one follows this
  std::optional<std::uint64_t> truncate_from; ///< drop entries from this index
  std::vector<entry> entries;
  std::optional<hard_state> state;
};

/// What was found on disk at the start.
struct recovered_state {
  hard_state state;
  snapshot base; ///< index 0: none
  std::vector<entry> entries;
};

} // namespace kingcupshunt::consensus
