#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "kingcupshunt/state/command.h"

namespace kingcupshunt::state {

/// Idempotency keys of non-repeatable requests. Deterministic: time comes from the log.
class reservation_table {
public:
  struct settings {
    std::uint64_t retention_ms = 24ULL * 3600 * 1000;
    /// A released key stays this long, so that a delayed copy of its reserve finds it given up.
    std::uint64_t released_retention_ms = 10ULL * 60 * 1000;
    std::size_t max_records = 2000000;
    std::size_t max_body_bytes = 64U << 10U;
    std::size_t max_answer_bytes = 256U << 20U; ///< of all kept answers together
  };

  explicit reservation_table(settings s) : settings_(s) {}

  command_result apply(const reserve& c, std::uint64_t now_ms);
  command_result apply(const complete& c, std::uint64_t now_ms);
  command_result apply(const release& c, std::uint64_t now_ms);
  void expire(std::uint64_t now_ms);

  std::size_t size() const noexcept { return records_.size(); }
  std::size_t answer_bytes() const noexcept { return answer_bytes_; }

  enum class phase : std::uint8_t { reserved, done, released };
  struct saved_record {
    std::string key; ///< 16 bytes
    std::uint64_t fingerprint = 0;
    std::uint64_t attempt = 0;
    std::uint64_t time_ms = 0;
    std::uint64_t order = 0;
    std::uint8_t state = 0;
    bool has_answer = false;
    kept_answer answer;
    MSGPACK_DEFINE_MAP(key, fingerprint, attempt, time_ms, order, state, has_answer, answer)
  };
  /// All records in the order in which they were made.
  std::vector<saved_record> save() const;
  void load(std::vector<saved_record> records);

private:
  /// First 16 bytes of SHA-256 over workspace and key: fixed size, and no choice of keys by a
  /// caller makes two of them meet.
  using record_key = std::array<std::uint64_t, 2>;
  struct key_hash {
    std::size_t operator()(const record_key& k) const noexcept { return k[0]; }
  };
  struct record {
    std::uint64_t fingerprint = 0;
    std::uint64_t attempt = 0;
    std::uint64_t time_ms = 0;
    std::uint64_t order = 0;
    phase state = phase::reserved;
  };
  struct due {
    std::uint64_t time_ms = 0;
    std::uint64_t order = 0;
    record_key key{};
  };

  static record_key key_of(const std::string& workspace, const std::string& key);
  void put(const record_key& key, record r);
  void drop_due(std::deque<due>& queue, std::uint64_t now_ms, std::uint64_t retention_ms,
                bool is_released);

  settings settings_;
  std::unordered_map<record_key, record, key_hash> records_;
  std::unordered_map<record_key, kept_answer, key_hash> answers_;
  std::deque<due> live_;
  std::deque<due> released_;
  std::uint64_t next_order_ = 1;
  std::size_t answer_bytes_ = 0;
};

} // namespace kingcupshunt::state
