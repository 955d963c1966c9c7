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

/// What an owner knows of one instance that uses a workspace.
struct account {
  struct token_batch {
    base::time_point expires; ///< certainly expired at the holder from here on
    std::uint32_t tokens = 0;
  };
  struct queued_request {
    std::uint64_t seq = 0;
    std::uint32_t urgent = 0;
    std::uint32_t wanted_tokens = 0;
    base::time_point until;
    bool is_notified = false; ///< the instance knows that its ask is queued
  };

  std::uint64_t last_seq = 0;
  std::uint64_t spent = 0;
  std::uint32_t outstanding = 0;    ///< sum of lots
  std::vector<token_batch> batches; ///< by expiry
  std::optional<queued_request> queued;
  base::time_point last_seen{};
  base::time_point last_recall{};
};

/// Instance id and incarnation of its process.
using account_key = std::pair<std::string, std::uint64_t>;

/// Token bucket of one workspace with the tokens outstanding at each instance. The sum of level and
/// outstanding never exceeds the burst by accrual, so the tokens spent in any window are at most
/// that sum at its start plus what accrued within.
class bucket {
public:
  bucket(limit l, double level, base::time_point now);

  /// Bucket of a workspace that another owner has handed over at `now`.
  static bucket take_over(limit l, const handover& h, base::time_point now);

  /// Accrues up to `now` with the lesser of the old and the new rate, then takes `l` over.
  void set_limit(const limit& l, base::time_point now);
  void accrue(base::time_point now);

  /// Applies the state that a newer frame of an instance tells. False when the frame is not newer.
  bool apply(const account_key& key, std::uint64_t seq, bool is_same_term,
             const token_request_item& item, base::time_point now);

  /// Moves `tokens` from the level to the instance.
  void grant_to(account& a, std::uint32_t tokens, base::time_point now);

  /// Drops expired lots, queued asks and idle accounts.
  void expire(base::time_point now);

  /// True when a new bucket would be the same.
  bool is_idle() const noexcept;

  const limit& limits() const noexcept { return limit_; }
  double level() const noexcept { return level_; }
  std::uint64_t outstanding() const noexcept { return outstanding_; }
  base::time_point accrued_until() const noexcept { return last_; }
  std::map<account_key, account>& accounts() noexcept { return accounts_; }
  const std::map<account_key, account>& accounts() const noexcept { return accounts_; }
  std::size_t queued_count() const noexcept;

  account_key cursor;             ///< account served last, for round robin
  base::time_point last_served{}; ///< of queued asks
  base::time_point keep_until{};  ///< not dropped before, even when idle
  /// Since when the configuration lacks the workspace. The bucket stays for a while, so that adding
  /// the workspace again does not give it a second burst.
  std::optional<base::time_point> removed_at;

private:
  void settle_spent(std::uint32_t n, const std::vector<std::uint32_t>& ages_us,
                    base::time_point now);
  void settle_returned(std::uint32_t n);
  void remove_oldest(account& a, std::uint32_t n);
  void check_unblocked();
  double accrual(base::duration d) const noexcept;

  limit limit_;
  double level_;
  std::uint64_t outstanding_ = 0;
  base::time_point last_;
  /// Since when accrual has been stopped by the burst.
  std::optional<base::time_point> blocked_since_;
  std::map<account_key, account> accounts_;
};

} // namespace kingcupshunt::rates
