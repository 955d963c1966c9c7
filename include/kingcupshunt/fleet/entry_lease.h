#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::fleet {

/// Until when an entry instance may act on the document it has applied.
///
/// An acknowledged change is held by a majority of the voters. So a majority of voters none of
/// which held more than what is applied here proves that nothing newer was acknowledged when the
/// question was sent, whoever leads. The lease counts from the sending of the questions on the
/// clock of this instance and includes suspensions.
class entry_lease {
public:
  using time_point = base::boot_clock::time_point;

  explicit entry_lease(base::duration length) : length_(length) {}

  /// Takes over who votes; older sets than the known one are ignored.
  void set_voters(std::span<const std::string> voters, std::uint64_t index);

  /// `voter` answered a question sent at `sent` and holds the log up to `held`.
  void note_answer(std::string_view voter, time_point sent, std::uint64_t held);

  /// The document after log index `applied` is in force here.
  void set_applied(std::uint64_t applied);

  std::uint64_t applied() const noexcept { return applied_; }
  const std::vector<std::string>& voters() const noexcept { return voters_; }
  std::uint64_t voters_index() const noexcept { return voters_index_; }

  /// End of the lease; the epoch when there never was one.
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
