#pragma once

#include <string_view>
#include <utility>

#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::peer {

/// Calls `f` with the message in `body`. False when it is none.
template <class T, class F>
bool handle(std::string_view body, F&& f) {
  const auto m = unpack<T>(body);
  if (m) {
    std::forward<F>(f)(*m);
  }
  return m.has_value();
}

} // namespace kingcupshunt::peer
