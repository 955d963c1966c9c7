#include <ctime>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::base {

boot_clock::time_point boot_clock::now() noexcept {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return time_point(std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec));
}

} // namespace kingcupshunt::base
