#pragma once

#include <string>

#include "kingcupshunt/base/result.h"

namespace kingcupshunt::config {

enum class error_code {
  not_json,          ///< a file is not JSON with comments
  unknown_member,    ///< a member that no entity of this kind has
  wrong_type,        ///< a member of another JSON type than allowed
  out_of_range,      ///< a number or string outside its bounds
  missing_member,    ///< a required member is absent
  unknown_reference, ///< a name of a service or workspace that does not exist
  duplicate,         ///< two entities claim the same key hash or the same route
};

/// Short fixed text for `code`.
const char* message_of(error_code code) noexcept;

/// A problem in the configuration folder.
struct error {
  error_code code = error_code::not_json;
  std::string file;    ///< file that stated the value; empty when unknown
  std::string pointer; ///< JSON pointer to the value in the merged document
  std::string detail;  ///< what was found and what is allowed
};

/// One line for operators: file, pointer, message and detail.
std::string describe(const error& e);

template <class T>
using result = base::result<T, error>;

} // namespace kingcupshunt::config
