#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace kingcupshunt::admission {

/// Crashes that a fingerprint was in flight at. Incidents are named by the server and its
/// incarnation, so that reports of several instances about one crash count once.
struct suspect_record {
  std::uint64_t fingerprint = 0;
  std::vector<std::uint64_t> incidents;
  std::vector<std::uint64_t> cleared; ///< incidents that a later success has cleared

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("f", fingerprint), MSGPACK_NVP("i", incidents),
                     MSGPACK_NVP("c", cleared))
};

/// A server that carries a suspect, or carries it no more.
struct isolation_notice {
  std::uint64_t fingerprint = 0;
  std::string server;    ///< empty: none any more
  std::uint64_t seq = 0; ///< rises with each note of the sender

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("f", fingerprint), MSGPACK_NVP("s", server), MSGPACK_NVP("q", seq))
};

enum class permit_step : std::uint8_t { request = 0, grant = 1, release = 2 };

/// Exchange with the coordinator of a fingerprint, which lets one run at a time.
struct permit_message {
  std::uint64_t fingerprint = 0;
  std::uint64_t call = 0;
  std::uint8_t step = 0; ///< a permit_step

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("f", fingerprint), MSGPACK_NVP("k", call), MSGPACK_NVP("s", step))
};

/// Body of message_kind::crash_suspects.
struct suspects_message {
  std::vector<suspect_record> records;
  std::vector<isolation_notice> notices;
  std::vector<permit_message> permits;
  bool is_sync_request = false; ///< the sender has started and asks for every record

  MSGPACK_DEFINE_MAP(MSGPACK_NVP("r", records), MSGPACK_NVP("n", notices),
                     MSGPACK_NVP("p", permits), MSGPACK_NVP("a", is_sync_request))
};

} // namespace kingcupshunt::admission
