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
  std::size_t min_servers = 3; ///< ended connections that make a suspect
  /// The same for a request that was answered lately. Many callers send the same lookup, and some
  /// run of it is at most servers that end for other reasons.
  std::size_t min_servers_after_answer = 8;
  base::duration answer_retention = base::seconds(30); ///< at least so long an answer is remembered
  base::duration retention = base::seconds(60);        ///< of one ended connection
  base::duration refusal_time = base::seconds(120);    ///< for which a suspect is refused
  std::size_t max_requests = 4096;                     ///< remembered; the oldest go first
};

/// Finds requests that crash the servers that run them, by their fingerprint: several servers in a
/// row ended the connection while they ran it, and none has answered it since.
class crash_history {
public:
  explicit crash_history(crash_history_settings settings = {}) : settings_(settings) {}

  void record_closed(std::uint64_t fingerprint, std::string_view server, base::time_point now);
  void record_answered(std::uint64_t fingerprint, base::time_point now);
  /// True when the request is to be refused.
  bool is_suspect(std::uint64_t fingerprint, base::time_point now) const;
  void expire(base::time_point now);
  std::size_t size() const noexcept { return records_.size(); }

private:
  struct crash_record {
    std::set<std::string, std::less<>> servers;
    base::time_point at{};
  };
  bool is_expired(const crash_record& m, base::time_point now) const;
  std::size_t min_servers_of(std::uint64_t fingerprint) const;

  crash_history_settings settings_;
  std::unordered_map<std::uint64_t, crash_record> records_;
  /// Fingerprints answered in this and in the last period of answer_retention.
  std::unordered_set<std::uint64_t> answered_;
  std::unordered_set<std::uint64_t> answered_previously_;
  base::time_point period_end_{};
};

} // namespace kingcupshunt::admission
