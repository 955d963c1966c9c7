#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "kingcupshunt/consensus/types.h"

namespace kingcupshunt::storage {

/// Version of the files below. A newer one is refused.
inline constexpr std::uint32_t disk_format = 1;

struct disk_owner {
  std::uint32_t format = 0;
  std::string fleet;
  std::string instance;
  std::string store;

  MSGPACK_DEFINE_MAP(format, fleet, instance, store)
};

struct disk_batch {
  bool has_reset = false;
  std::uint64_t reset_index = 0;
  std::uint64_t reset_term = 0;
  std::uint64_t truncate_from = 0; ///< 0: nothing
  std::vector<consensus::entry> entries;
  bool has_state = false;
  consensus::hard_state state;

  MSGPACK_DEFINE_MAP(has_reset, reset_index, reset_term, truncate_from, entries, has_state, state)
};

struct disk_snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  consensus::voter_set voters;

  MSGPACK_DEFINE_MAP(index, term, voters)
};

} // namespace kingcupshunt::storage
