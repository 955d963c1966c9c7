#pragma once

#include <string>
#include <string_view>

namespace kingcupshunt::observe {

/// What this program was built from.
struct build {
  std::string_view version; ///< of the project
  std::string_view commit;  ///< "+changes" after it: with changes; "no-git": not known
  std::string_view sources; ///< hash of the source files
};

const build& this_build() noexcept;

/// One line, such as "kingcupshunt 0.1.0 (commit 0123456789ab, sources 0123456789ab)".
std::string describe(const build& b);

} // namespace kingcupshunt::observe
