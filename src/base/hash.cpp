#include "kingcupshunt/base/hash.h"

#include <algorithm>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace kingcupshunt::base {

namespace {

int hex_value(char c) noexcept {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return -1;
}

/// Fetched once: fetching it implicitly takes longer than hashing a key.
const EVP_MD* sha256_method() {
  static const EVP_MD* const out = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  return out;
}

} // namespace

std::uint64_t hash64(std::string_view data, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

sha256_digest sha256(std::string_view data) {
  sha256_digest out{};
  unsigned int n = 0;
  if (EVP_Digest(data.data(), data.size(), out.data(), &n, sha256_method(), nullptr) != 1) {
    throw std::runtime_error("SHA-256 failed");
  }
  return out;
}

sha256_digest hmac_sha256(std::string_view key, std::string_view data) {
  sha256_digest out{};
  unsigned int n = 0;
  const auto* bytes = reinterpret_cast<const unsigned char*>(data.data());
  if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, data.size(), out.data(),
           &n) == nullptr) {
    throw std::runtime_error("HMAC-SHA256 failed");
  }
  return out;
}

bool is_equal_constant_time(std::span<const std::uint8_t> a,
                            std::span<const std::uint8_t> b) noexcept {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string random_bytes(std::size_t n) {
  std::string out(n, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(n)) != 1) {
    throw std::runtime_error("the cryptographic random generator failed");
  }
  return out;
}

std::string to_hex(std::span<const std::uint8_t> bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (const auto byte : bytes) {
    out.push_back(digits[byte >> 4U]);
    out.push_back(digits[byte & 0xfU]);
  }
  return out;
}

std::string to_hex(std::string_view bytes) {
  return to_hex(std::span(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()));
}

bool parse_hex(std::string_view text, sha256_digest& out) noexcept {
  if (text.size() != out.size() * 2) {
    return false;
  }
  for (std::size_t i = 0; i < out.size(); ++i) {
    const int high = hex_value(text[2 * i]);
    const int low = hex_value(text[2 * i + 1]);
    if (high < 0 || low < 0) {
      return false;
    }
    out[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return true;
}

} // namespace kingcupshunt::base
