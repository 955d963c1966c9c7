#include "entry_context.h"

namespace kingcupshunt::proxy {

bool entry_context::extend(caller_memory::lease& of, std::size_t bytes, caller_memory::use purpose,
                           bool* is_freeing) {
  caller_memory::counter lack;
  if (memory.extend(of, bytes, purpose, &lack)) {
    return true;
  }
  const bool is_found = reclaim && reclaim(bytes - of.size(), lack);
  if (is_freeing != nullptr) {
    *is_freeing = is_found;
  }
  return false;
}

} // namespace kingcupshunt::proxy
