#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/rates/limit.h"
#include "kingcupshunt/rates/messages.h"

namespace kingcupshunt::rates {

/// Owner's record of one instance that uses a workspace.
struct account {
  struct token_batch {
    base::time_point expires; ///< time by which the tokens have certainly expired at the holder
    std::uint32_t tokens = 0;
  };
  struct queued_request {
    std::uint64_t seq = 0;
    std::uint32_t urgent = 0;
    std::uint32_t wanted_tokens = 0;
    base::time_point until;
    bool is_notified = false; ///< whether the instance has been notified that its request is queued
  };

  std::uint64_t last_seq = 0;
  std::uint64_t spent = 0;
  std::uint32_t outstanding = 0;    ///< sum of `batches`
  std::vector<token_batch> batches; ///< ordered by expiry
  std::optional<queued_request> queued;
  base::time_point last_seen{};
  base::time_point last_recall{};
};

/// Instance id and incarnation of its process.
using account_key = std::pair<std::string, std::uint64_t>;

/// Token bucket of one workspace, with the tokens outstanding at each instance. Accrual never
/// raises the sum of level and outstanding tokens above the burst, so the tokens spent in any
/// window are at most that sum at its start plus the accrual within the window.
class bucket {
public:
  bucket(limit l, double level, base::time_point now);

  /// Bucket from the state that the former owner of a workspace has handed over at `now`.
  static bucket take_over(limit l, const handover& h, base::time_point now);

  /// Accrues up to `now` with the lower of the old and the new rate, then sets the limit.
  void set_limit(const limit& l, base::time_point now);
  void accrue(base::time_point now);

  /// Applies the state in a frame from an instance. Returns false when the frame is not newer than
  /// the last one.
  bool apply(const account_key& key, std::uint64_t seq, bool is_same_term,
             const token_request_item& item, base::time_point now);

  /// Moves `tokens` from the level to the instance.
  void grant_to(account& a, std::uint32_t tokens, base::time_point now);

  /// Removes expired batches, queued requests and idle accounts.
  void expire(base::time_point now);

  /// Whether the bucket is equal to a new one.
  bool is_idle() const noexcept;

  const limit& limits() const noexcept { return limit_; }
  double level() const noexcept { return level_; }
  std::uint64_t outstanding() const noexcept { return outstanding_; }
  base::time_point accrued_until() const noexcept { return last_; }
  std::map<account_key, account>& accounts() noexcept { return accounts_; }
  const std::map<account_key, account>& accounts() const noexcept { return accounts_; }
  std::size_t queued_count() const noexcept;

  account_key cursor;             ///< account served last, for round robin
  base::time_point last_served{}; ///< of queued requests
  base::time_point keep_until{};  ///< not removed before this time, even when idle
  /// Time at which the workspace was removed from the configuration. The bucket is retained for a
  /// while, so that adding the workspace again does not give it a second burst.
  std::optional<base::time_point> removed_at;

private:
  void settle_spent(std::uint32_t n, const std::vector<std::uint32_t>& ages_us,
                    base::time_point now);
  void settle_spent_at(std::uint32_t n, base::time_point spent_at, base::time_point now);
  void settle_returned(std::uint32_t n);
  void remove_oldest(account& a, std::uint32_t n);
  void check_unblocked();
  double accrual(base::duration d) const noexcept;

  limit limit_;
  double level_;
  std::uint64_t outstanding_ = 0;
  base::time_point last_;
  /// Time from which the burst has stopped accrual.
  std::optional<base::time_point> blocked_since_;
  std::map<account_key, account> accounts_;
};

} // namespace kingcupshunt::rates
