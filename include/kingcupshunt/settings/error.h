#pragma once

#include <string>

#include "kingcupshunt/base/result.h"

namespace kingcupshunt::settings {

enum class error_code {
  unreadable,    ///< the settings file or a file that it names can't be read
  invalid,       ///< a value is not allowed; the detail says what was found and what is allowed
  insecure_file, ///< a secret's file can be read by others than its owner
};

const char* message_of(error_code code) noexcept;

struct error {
  error_code code = error_code::invalid;
  std::string file;
  std::string detail; ///< JSON pointer, what was found and what is allowed
};

/// One line for operators.
std::string describe(const error& e);

template <class T>
using result = base::result<T, error>;

} // namespace kingcupshunt::settings
