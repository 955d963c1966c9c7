#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::membership {

/// Stands for an event that has not happened. Earlier than every real time.
inline constexpr base::time_point never = base::time_point::min();

/// What one member held at some moment between `taken_at` and `heard_at` on this instance's clock.
struct revision_sample {
  std::uint64_t revision = 0;
  std::uint32_t incarnation = 0; ///< changes whenever the member restarts
  base::time_point taken_at = never;
  base::time_point heard_at = never;
};

/// Newest moment at which a statement "at most revision r is held" was true for an r that this
/// instance has applied. Statements about later revisions wait until they are applied.
class applied_watermark {
public:
  /// Records that the statement with `revision` was true at `taken_at`.
  void add(std::uint64_t revision, base::time_point taken_at, std::uint64_t applied);

  /// Takes over the waiting statements that `applied` now covers.
  void set_applied(std::uint64_t applied);

  /// The newest covered moment, or `never`.
  base::time_point taken_at() const noexcept { return covered_; }

private:
  struct statement {
    std::uint64_t revision = 0;
    base::time_point taken_at = never;
  };

  base::time_point covered_ = never;
  // Two slots: `next_` is kept until it is applied, so that a steady stream of changes cannot
  // starve the watermark; `latest_` follows the newest statement.
  statement next_;
  statement latest_;
};

/// The newest sample of each member of a view, by index in the view.
class sample_table {
public:
  struct entry {
    revision_sample newest;
    applied_watermark watermark;
  };

  void resize(std::size_t n) { entries_.assign(n, {}); }
  std::size_t size() const noexcept { return entries_.size(); }
  entry& at(std::size_t index) { return entries_[index]; }
  const entry& at(std::size_t index) const { return entries_[index]; }

  /// Records a sample. One that is not newer than the known one changes nothing.
  void add(std::size_t index, const revision_sample& sample, std::uint64_t applied);

  void set_applied(std::uint64_t applied);

  /// Time at or after which `needed` members are known to have held nothing that is not applied
  /// here, or `never`. 0 needed gives time_point::max().
  base::time_point covered_by(std::size_t needed) const;

private:
  std::vector<entry> entries_;
};

} // namespace kingcupshunt::membership
