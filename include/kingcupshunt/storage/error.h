#pragma once

#include <cstdint>
#include <string>

#include "kingcupshunt/base/result.h"

namespace kingcupshunt::storage {

enum class error_code : std::uint8_t {
  io,            ///< an operation on a file failed; detail has the system's text
  no_space,      ///< the disk or quota is full
  corrupt,       ///< a record before the tail is damaged
  other_owner,   ///< the folder belongs to another instance or fleet
  newer_format,  ///< the folder was written by a newer version
  in_use,        ///< another process holds the folder
  failed_before, ///< an earlier write failed; the folder must be opened again
};

/// Short fixed text for `code`.
const char* message_of(error_code code) noexcept;

struct error {
  error_code code = error_code::io;
  std::string file;
  std::uint64_t offset = 0; ///< bytes; meaningful for corrupt
  std::string detail;
};

/// One line for operators.
std::string describe(const error& e);

template <class T>
using result = base::result<T, error>;

} // namespace kingcupshunt::storage
