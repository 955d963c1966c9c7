#include "kingcupshunt/auth/key.h"

#include <algorithm>

namespace kingcupshunt::auth {

namespace {

constexpr std::size_t key_bytes = 32;
constexpr std::string_view scheme = "bearer";

char to_lower(char c) noexcept {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

} // namespace

generated_key generate_key() {
  generated_key out;
  out.text = "kcs_" + base::to_hex(base::random_bytes(key_bytes));
  out.sha256 = base::sha256(out.text);
  return out;
}

std::string_view bearer_token(std::string_view authorization) noexcept {
  if (authorization.size() <= scheme.size() || authorization[scheme.size()] != ' ') {
    return {};
  }
  const auto given = authorization.substr(0, scheme.size());
  if (!std::ranges::equal(given, scheme, {}, to_lower)) {
    return {};
  }
  auto token = authorization.substr(scheme.size() + 1);
  while (!token.empty() && token.front() == ' ') {
    token.remove_prefix(1);
  }
  return token.find(' ') == std::string_view::npos ? token : std::string_view{};
}

} // namespace kingcupshunt::auth
