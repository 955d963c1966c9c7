#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::admission {

struct crash_history_settings {
  /// Number of distinct servers whose closed connections make a request a suspect.
  std::size_t min_servers = 3;
  /// The same for a request with a recent answer. A lookup that many callers send is in progress on
  /// most servers that stop for other reasons.
  std::size_t min_servers_after_answer = 8;
  base::duration answer_retention = base::seconds(30); ///< minimum time an answer is kept
  /// Of a request below `min_servers`, from its last closed connection.
  base::duration retention = base::seconds(60);
  /// Time for which a suspect is refused, from its last closed connection.
  base::duration refusal_time = base::seconds(120);
  std::size_t max_requests = 4096; ///< with a record; the oldest is evicted
};

/// Detects requests that crash the servers that run them, by fingerprint: several distinct servers
/// closed the connection while running the request, and no server has answered it since.
class crash_history {
public:
  explicit crash_history(crash_history_settings settings = {}) : settings_(settings) {}

  /// A server closed the connection while it ran the request. Fingerprint 0 is ignored.
  void record_closed(std::uint64_t fingerprint, std::string_view server, base::time_point now);
  void record_answered(std::uint64_t fingerprint, base::time_point now);
  /// True when the request must be refused.
  bool is_suspect(std::uint64_t fingerprint, base::time_point now) const;
  /// Drops expired records. Call periodically.
  void expire(base::time_point now);
  std::size_t size() const noexcept { return records_.size(); }

private:
  struct crash_record {
    std::set<std::string, std::less<>> servers;
    base::time_point at{};
  };
  bool is_expired(const crash_record& r, base::time_point now) const;
  std::size_t min_servers_of(std::uint64_t fingerprint) const;

  crash_history_settings settings_;
  std::unordered_map<std::uint64_t, crash_record> records_;
  /// Fingerprints answered in the current and in the previous period of `answer_retention`.
  std::unordered_set<std::uint64_t> answered_;
  std::unordered_set<std::uint64_t> answered_previously_;
  base::time_point period_end_{};
};

} // namespace kingcupshunt::admission
