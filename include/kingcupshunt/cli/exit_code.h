#pragma once

namespace kingcupshunt::cli {

/// Exit codes of the program.
enum exit_code : int {
  exit_ok = 0,
  exit_failed = 1,      ///< the command ran and its answer is no, or an instance ended on an error
  exit_usage = 2,       ///< wrong arguments
  exit_bad_input = 3,   ///< settings or configuration folder are invalid
  exit_unreachable = 4, ///< the instance asked did not answer
};

} // namespace kingcupshunt::cli
