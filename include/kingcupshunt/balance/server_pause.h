#pragma once

#include <cstddef>
#include <string_view>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::balance {

/// A server asked this instance for a pause or extended it.
struct pause_change {
  std::string_view server;
  base::duration pause{};
  std::size_t in_flight = 0; ///< requests of this instance there
};

/// Pause that a server asked this instance for. The first request after it goes alone until it is
/// answered. The pause is timed by the steady clock: a suspension of the machine only extends it.
class server_pause {
public:
  /// Extends the pause to `until`. An earlier end changes nothing, since the server's former answer
  /// still holds. Returns whether the end has changed.
  bool extend(base::time_point until) noexcept {
    if (until <= until_) {
      return false;
    }
    until_ = until;
    is_resuming_ = true;
    return true;
  }

  base::time_point until() const noexcept { return until_; }
  bool holds(base::time_point now) const noexcept { return now < until_; }
  /// True until a request sent after the pause has been answered.
  bool is_resuming() const noexcept { return is_resuming_; }
  bool is_after(base::time_point sent) const noexcept { return sent >= until_; }
  void note_answer(base::time_point sent) noexcept {
    is_resuming_ = is_resuming_ && !is_after(sent);
  }

private:
  base::time_point until_{};
  bool is_resuming_ = false;
};

} // namespace kingcupshunt::balance
