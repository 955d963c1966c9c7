#pragma once

#include <cstdint>
#include <string>

namespace kingcupshunt::observe {

/// One decision of the system with the rule that made it and the evidence it rested on.
struct decision {
  std::string rule;         ///< name of the rule, for example "ejection.error_rate"
  std::string subject_kind; ///< upstream, workspace, request, instance, service, fingerprint
  std::string subject;      ///< id of the subject
  std::string outcome;      ///< what was decided, for example "ejected"
  std::string evidence;     ///< key=value pairs, single line
  std::int64_t unix_ms = 0; ///< wall-clock time in milliseconds, for people only
};

} // namespace kingcupshunt::observe
