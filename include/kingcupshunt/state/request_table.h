#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "kingcupshunt/state/command.h"

namespace kingcupshunt::state {

/// First answers per request id. A resend gets the first answer; no answer is dropped before its
/// time, and a full table refuses new requests.
class request_table {
public:
  struct settings {
    std::uint64_t retention_ms = 24ULL * 3600 * 1000;
    std::size_t max_ids = 200000;
  };

  explicit request_table(settings s) : settings_(s) {}

  /// Answer kept for `id`; null when there is none. Sets `is_other` when the id was used for a
  /// request with another content hash.
  const command_result* find(const std::string& id, std::uint64_t content, bool& is_other) const;

  bool is_full() const noexcept { return answers_.size() >= settings_.max_ids; }
  void keep(const std::string& id, std::uint64_t content, command_result answer,
            std::uint64_t now_ms);
  void expire(std::uint64_t now_ms);
  std::size_t size() const noexcept { return answers_.size(); }

  struct record {
    std::string id;
    std::uint64_t content = 0;
    std::uint64_t time_ms = 0;
    command_result answer;
    MSGPACK_DEFINE_MAP(id, content, time_ms, answer)
  };
  /// All records in order of their time.
  std::vector<record> save() const;
  void load(std::vector<record> records);

private:
  settings settings_;
  std::unordered_map<std::string, record> answers_;
  std::deque<std::pair<std::uint64_t, std::string>> order_;
};

} // namespace kingcupshunt::state
