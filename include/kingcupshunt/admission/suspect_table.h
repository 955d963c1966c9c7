#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "kingcupshunt/admission/messages.h"
#include "kingcupshunt/base/time.h"

namespace kingcupshunt::admission {

struct suspect_limits {
  std::size_t max_suspects = 4096;   ///< the oldest with one crash is dropped beyond this
  std::size_t crashes_to_refuse = 2; ///< distinct crashes
  base::duration retention = base::seconds(600); ///< of a suspect and of a refusal
};

/// Suspects as this instance knows them. Merging records in any order and number gives the same
/// table on every instance.
class suspect_table {
public:
  explicit suspect_table(suspect_limits limits = {}) : limits_(limits) {}

  /// Merges a record. True when something in it was new.
  bool merge(const suspect_record& record, base::time_point now);

  /// Crashes of a fingerprint that nothing has cleared.
  std::size_t crashes(std::uint64_t fingerprint) const;
  bool is_refused(std::uint64_t fingerprint) const;

  /// End of the refusal of a fingerprint, empty when it is not refused.
  std::optional<base::time_point> refused_until(std::uint64_t fingerprint) const;

  /// Marks every crash known of a fingerprint as cleared and returns the record to spread.
  suspect_record clear(std::uint64_t fingerprint, base::time_point now);

  void expire(base::time_point now);
  std::vector<suspect_record> all() const;
  std::vector<std::uint64_t> active() const;
  std::size_t size() const noexcept { return entries_.size(); }

private:
  struct entry {
    std::set<std::uint64_t> incidents;
    std::set<std::uint64_t> cleared;
    base::time_point updated;
    std::size_t crashes() const;
  };

  void evict_oldest();

  suspect_limits limits_;
  std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace kingcupshunt::admission
