#pragma once

#include <string>
#include <string_view>

#include "kingcupshunt/base/hash.h"

namespace kingcupshunt::auth {

/// A new workspace key or service secret and the hash that goes into the configuration folder.
struct generated_key {
  std::string text;             ///< "kcs_" and 64 hexadecimal digits; shown once, stored nowhere
  base::sha256_digest sha256{}; ///< of the whole text
};

/// Makes a key from 32 random bytes of the operating system.
generated_key generate_key();

/// The token of an `Authorization: Bearer TOKEN` value; empty when it has another form.
std::string_view bearer_token(std::string_view authorization) noexcept;

} // namespace kingcupshunt::auth
