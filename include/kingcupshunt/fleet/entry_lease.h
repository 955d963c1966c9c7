#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::fleet {

/// Lease that limits how long an entry instance may act on the document it has applied.
///
/// A majority of the voters holds every acknowledged change. If a majority of voters reports no log
/// entry beyond the one applied here, nothing newer had been acknowledged when the queries were
/// sent, whichever voter leads. The lease starts when the queries are sent, on the clock of this
/// instance, which also runs while the machine is suspended.
class entry_lease {
public:
  using time_point = base::boot_clock::time_point;

  explicit entry_lease(base::duration length) : length_(length) {}

  /// Sets the voters. Sets older than the known one are ignored.
  void set_voters(std::span<const std::string> voters, std::uint64_t index);

  /// Records that `voter` answered a query sent at `sent` and holds the log up to `held`.
  void note_answer(std::string_view voter, time_point sent, std::uint64_t held);

  /// Records that the document after log index `applied` is in effect on this instance.
  void set_applied(std::uint64_t applied);

  std::uint64_t applied() const noexcept { return applied_; }
  const std::vector<std::string>& voters() const noexcept { return voters_; }
  std::uint64_t voters_index() const noexcept { return voters_index_; }

  /// End of the lease; the epoch when no majority has answered yet.
  time_point valid_until() const;
  bool is_valid(time_point now) const { return now < valid_until(); }

private:
  struct answer {
    time_point sent{};
    std::uint64_t held = 0;
  };

  base::duration length_;
  std::vector<std::string> voters_;
  std::uint64_t voters_index_ = 0;
  std::uint64_t applied_ = 0;
  std::map<std::string, std::vector<answer>, std::less<>> answers_; ///< newest last
};

} // namespace kingcupshunt::fleet
