#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupshunt::storage {

/// A record in a file: 4 bytes magic, 4 bytes length and 8 bytes XXH3 of the payload seeded with
/// its length (all little-endian), then the payload.
inline constexpr std::size_t record_header_bytes = 16;

/// Appends a record with `payload` to `out`.
void append_record(std::string& out, std::string_view payload);

enum class record_state : std::uint8_t { whole, end, damaged };

struct record_view {
  record_state state = record_state::end;
  std::string_view payload;
  std::uint64_t next = 0; ///< offset after the record
};

/// Record at `offset` of `content`.
record_view read_record(std::string_view content, std::uint64_t offset) noexcept;

/// Whether a whole record starts anywhere after `offset`.
bool has_record_after(std::string_view content, std::uint64_t offset) noexcept;

} // namespace kingcupshunt::storage
