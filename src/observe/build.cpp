#include "kingcupshunt/observe/build.h"

#include "revision.h"

namespace kingcupshunt::observe {

const build& this_build() noexcept {
  static constexpr build out{KINGCUPSHUNT_VERSION, KINGCUPSHUNT_COMMIT, KINGCUPSHUNT_SOURCES};
  return out;
}

std::string describe(const build& b) {
  std::string out = "kingcupshunt ";
  out.append(b.version).append(" (commit ").append(b.commit);
  out.append(", sources ").append(b.sources).append(")");
  return out;
}

} // namespace kingcupshunt::observe
