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

struct crash_mark_settings {
  std::size_t servers = 3; ///< ended connections that make a suspect
  /// The same for a request that was answered lately. Many callers send the same lookup, and some
  /// run of it is at most servers that end for other reasons.
  std::size_t servers_after_answer = 8;
  base::duration answer_memory = base::seconds(30); ///< at least so long an answer is remembered
  base::duration memory = base::seconds(60);        ///< of one ended connection
  base::duration hold = base::seconds(120);         ///< for which a suspect is refused
  std::size_t max_requests = 4096;                  ///< remembered; the oldest go first
};

/// Finds requests that crash the servers that run them, by their fingerprint: several servers in a
/// row ended the connection while they ran it, and none has answered it since.
class crash_marks {
public:
  explicit crash_marks(crash_mark_settings settings = {}) : settings_(settings) {}

  void note_ended(std::uint64_t fingerprint, std::string_view server, base::time_point now);
  void note_answered(std::uint64_t fingerprint, base::time_point now);
  /// True when the request is to be refused.
  bool is_suspect(std::uint64_t fingerprint, base::time_point now) const;
  void forget(base::time_point now);
  std::size_t size() const noexcept { return marks_.size(); }

private:
  struct mark {
    std::set<std::string, std::less<>> servers;
    base::time_point at{};
  };
  bool is_due(const mark& m, base::time_point now) const;
  std::size_t limit_of(std::uint64_t fingerprint) const;

  crash_mark_settings settings_;
  std::unordered_map<std::uint64_t, mark> marks_;
  /// Fingerprints answered in this and in the last period of answer_memory.
  std::unordered_set<std::uint64_t> answered_;
  std::unordered_set<std::uint64_t> answered_before_;
  base::time_point period_end_{};
};

} // namespace kingcupshunt::admission
