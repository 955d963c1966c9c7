#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "kingcupshunt/consensus/types.h"

namespace kingcupshunt::consensus {

/// Entries after a compacted prefix, in memory.
class log {
public:
  log() = default;
  log(log_position base, std::vector<entry> entries);

  /// Index of the last entry that was compacted away.
  std::uint64_t base_index() const noexcept { return base_.index; }
  std::uint64_t last_index() const noexcept { return base_.index + entries_.size(); }
  std::uint64_t last_term() const noexcept;

  /// Term of the entry at `index`; empty outside [base_index, last_index].
  std::optional<std::uint64_t> term_at(std::uint64_t index) const noexcept;

  /// Entry at `index`, which must be after base_index and up to last_index.
  const entry& at(std::uint64_t index) const noexcept;

  /// Entries from `index` on, at least one, up to about `max_bytes` of payload.
  std::vector<entry> slice(std::uint64_t index, std::size_t max_bytes) const;

  void append(entry e);
  void truncate_from(std::uint64_t index);
  /// Drops the entries up to `index`.
  void compact_to(std::uint64_t index);
  void reset(log_position base);

  /// Payload bytes held.
  std::size_t bytes() const noexcept { return bytes_; }

private:
  log_position base_;
  std::deque<entry> entries_;
  std::size_t bytes_ = 0;
};

} // namespace kingcupshunt::consensus
