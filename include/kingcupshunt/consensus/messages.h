#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "kingcupshunt/consensus/types.h"

namespace kingcupshunt::consensus {

/// Entries or a heartbeat from the leader.
struct append {
  std::uint64_t term = 0;
  std::uint64_t sequence = 0; ///< rises with each append that this leader sends
  std::uint64_t prev_index = 0;
  std::uint64_t prev_term = 0;
  std::uint64_t commit = 0;
  std::vector<entry> entries;

  MSGPACK_DEFINE_MAP(term, sequence, prev_index, prev_term, commit, entries)
};

struct append_answer {
  std::uint64_t term = 0;
  std::uint64_t sequence = 0; ///< of the last append that was read
  bool is_matching = false;   ///< false: the entry before the append differs or is absent
  std::uint64_t match = 0;    ///< matching: greatest index that equals the leader's and is durable
  std::uint64_t next = 0;     ///< not matching: index from which the leader should try
  std::uint64_t held = 0;     ///< greatest index that equals the leader's, durable or not
  std::string store;
  std::uint32_t format = 0; ///< see replica_settings

  MSGPACK_DEFINE_MAP(term, sequence, is_matching, match, next, held, store, format)
};

struct vote {
  std::uint64_t term = 0;
  bool is_pre_vote = false; ///< asks without raising the term
  bool is_transfer = false; ///< the former leader asked for this election
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  std::string store; ///< of the candidate

  MSGPACK_DEFINE_MAP(term, is_pre_vote, is_transfer, last_index, last_term, store)
};

struct vote_answer {
  std::uint64_t term = 0; ///< term of the request when granted, else the voter's term
  bool is_pre_vote = false;
  bool is_granted = false;
  std::string store;
  /// Data folder for which the vote was asked: a candidate that lost its disk since then must not
  /// count it.
  std::string candidate_store;

  MSGPACK_DEFINE_MAP(term, is_pre_vote, is_granted, store, candidate_store)
};

/// Part of a snapshot; the receiver answers each one.
struct snapshot_chunk {
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  std::uint64_t index = 0;
  std::uint64_t last_term = 0;
  voter_set voters;
  std::uint64_t offset = 0; ///< bytes
  std::uint64_t size = 0;   ///< bytes of the whole snapshot
  std::string data;

  MSGPACK_DEFINE_MAP(term, sequence, index, last_term, voters, offset, size, data)
};

struct snapshot_answer {
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  std::uint64_t index = 0;
  std::uint64_t offset = 0; ///< bytes held; the next chunk starts here
  bool is_installed = false;
  std::string store;

  MSGPACK_DEFINE_MAP(term, sequence, index, offset, is_installed, store)
};

/// Asks the receiver to start an election at once.
struct timeout_now {
  std::uint64_t term = 0;

  MSGPACK_DEFINE_MAP(term)
};

} // namespace kingcupshunt::consensus
