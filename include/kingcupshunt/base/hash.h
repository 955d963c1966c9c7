#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace kingcupshunt::base {

/// 64-bit non-cryptographic hash (XXH3).
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0) noexcept;

using sha256_digest = std::array<std::uint8_t, 32>;

/// The bytes of `digest`, valid as long as it.
inline std::string_view bytes_of(const sha256_digest& digest) noexcept {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

/// SHA-256 of `data`.
sha256_digest sha256(std::string_view data);

/// HMAC-SHA256 of `data` under `key`.
sha256_digest hmac_sha256(std::string_view key, std::string_view data);

/// Compares two byte ranges in time that depends only on their lengths.
bool is_equal_constant_time(std::span<const std::uint8_t> a,
                            std::span<const std::uint8_t> b) noexcept;

/// `n` bytes from the operating system's cryptographic generator.
/// Throws std::runtime_error when the generator fails.
std::string random_bytes(std::size_t n);

/// Lower-case hexadecimal form of `bytes`.
std::string to_hex(std::span<const std::uint8_t> bytes);
std::string to_hex(std::string_view bytes);

/// Parses exactly 64 hexadecimal digits. Returns false on any other input.
bool parse_hex(std::string_view text, sha256_digest& out) noexcept;

} // namespace kingcupshunt::base
