#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace kingcupshunt::membership {

/// Asks another instance for what it holds and what it heard.
struct freshness_query {
  std::uint32_t call_id = 0;
  std::uint64_t view_version = 0;
  std::uint64_t revision = 0; ///< applied by the requester; a hint only

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("c", call_id), MSGPACK_NVP("v", view_version),
                     MSGPACK_NVP("r", revision))
};

/// Samples of several members in parallel arrays. `lags` are subtracted from the answer's
/// `greatest`. Without `ids` the arrays follow the order of the view.
struct relayed_samples {
  std::vector<std::string> ids;
  std::vector<std::int64_t> ages; ///< in age units; negative: no sample
  std::vector<std::uint64_t> lags;
  std::vector<std::uint32_t> incarnations;

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", ids), MSGPACK_NVP("a", ages), MSGPACK_NVP("l", lags),
                     MSGPACK_NVP("n", incarnations))
};

/// Counts of one group. `count` members, each sampled at most `age` units ago, held at most
/// `greatest`. `floor_count` members, of which `floor_count_old` were in the former view, held at
/// least `floor` throughout the time from `floor_since` to `floor_until` units ago.
struct group_aggregate {
  std::uint32_t count = 0;
  std::uint64_t greatest = 0;
  std::int64_t age = -1; ///< negative: nothing counted
  std::uint32_t floor_count = 0;
  std::uint32_t floor_count_old = 0;
  std::uint64_t floor = 0;
  std::int64_t floor_since = -1; ///< rounded down
  std::int64_t floor_until = -1; ///< rounded up

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("c", count), MSGPACK_NVP("g", greatest), MSGPACK_NVP("a", age),
                     MSGPACK_NVP("f", floor_count), MSGPACK_NVP("o", floor_count_old),
                     MSGPACK_NVP("r", floor), MSGPACK_NVP("s", floor_since),
                     MSGPACK_NVP("u", floor_until))
};

/// Answers a query. The sample of the sender itself is `revision`, valid only when is_synced.
struct freshness_answer {
  std::uint32_t call_id = 0;
  std::uint64_t view_version = 0;
  std::uint64_t revision = 0;
  bool is_synced = false;
  std::uint32_t incarnation = 0;
  /// Age units since a majority of the view was known to hold at most `revision`; negative: never.
  std::int64_t majority_age = -1;
  std::uint64_t greatest = 0;
  std::uint64_t held = 0;                  ///< a revision that a majority was confirmed to hold
  std::vector<relayed_samples> samples;    ///< at most one
  std::vector<group_aggregate> aggregates; ///< at most one, of the sender's group

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("c", call_id), MSGPACK_NVP("v", view_version),
                     MSGPACK_NVP("r", revision), MSGPACK_NVP("s", is_synced),
                     MSGPACK_NVP("n", incarnation), MSGPACK_NVP("m", majority_age),
                     MSGPACK_NVP("g", greatest), MSGPACK_NVP("h", held), MSGPACK_NVP("x", samples),
                     MSGPACK_NVP("a", aggregates))
};

} // namespace kingcupshunt::membership
