#pragma once

namespace kingcupshunt::base {

/// Whether the number is a status code of HTTP (RFC 9110, section 15). Parsers accept any three
/// digits.
constexpr bool is_http_status(unsigned status) noexcept {
  return status >= 100 && status <= 599;
}

} // namespace kingcupshunt::base
