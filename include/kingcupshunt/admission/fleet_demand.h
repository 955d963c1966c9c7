#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "kingcupshunt/admission/service_gate.h"
#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/base/time.h"

namespace kingcupshunt::admission {

/// Ranks above this one are counted as this one, which bounds the reports.
inline constexpr std::uint32_t max_demand_rank = 7;
using rank_counts = std::array<std::uint32_t, max_demand_rank + 1>; ///< waiting requests by rank

struct fleet_demand_settings {
  /// Knowledge of other entries expires after this. Three refreshes, so that two lost messages in a
  /// row don't end it.
  base::milliseconds lifetime{300};
  base::milliseconds refresh{100}; ///< interval at which unchanged values are reported again
  /// Until requests that other entries start show in the load totals: a report and a total, each
  /// sent every 50 ms, and the way of both.
  base::milliseconds settle{120};
  /// Requests in flight at all servers, relative to their slots, beyond which waiting requests
  /// don't start. In a burst of 1.7, 1.5 left a tenth of the slots free beside a queue for 320 ms
  /// and 2.0 for at most 230 ms; with 3.0 servers refused 1.7 times as many requests as with 2.0.
  double max_use = 2.0;
};

/// Waiting requests of one rank, as reported to the relay or summed by it.
struct rank_demand {
  std::uint32_t rank = 0;
  std::uint32_t waiting = 0;
};

/// What one entry knows of a service when it decides.
struct start_query {
  rank_counts waiting{};             ///< here
  std::uint32_t free_slots = 0;      ///< of all servers, as known here
  std::uint32_t slots = 0;           ///< of all servers, free or not
  std::uint32_t in_flight = 0;       ///< of this entry
  std::uint32_t other_in_flight = 0; ///< of the other entries, as last reported
  double mean_seconds = 0;           ///< of a request at a server, 0: not known
};

/// Decides how many waiting requests of one service this entry starts, given what waits at all
/// entries: higher ranks first, equal ranks in proportion. While nothing is known to wait
/// elsewhere, the entry uses all free slots.
class fleet_demand {
public:
  explicit fleet_demand(std::uint64_t seed, fleet_demand_settings settings = {});

  /// Values for the relay: changed ones, and those above 0 again at each refresh.
  std::vector<rank_demand> take_report(const rank_counts& waiting, base::time_point now);

  /// The relay's sum over all entries that report to it, this one included.
  void learn(const rank_demand& sum, base::time_point now);

  /// Another relay is used: nothing is known, and everything is reported anew.
  void change_relay();

  /// Whether a relay has returned sums recently.
  bool is_known(base::time_point now) const;
  rank_counts elsewhere(base::time_point now) const;
  /// Requests at other entries that go before or beside a request of `rank`.
  std::uint32_t elsewhere_up_to(std::uint32_t rank, base::time_point now) const;

  /// Changes `capacity` for a new request of `rank`: whether it may start before the free slots are
  /// divided, and what waits at other entries. Returns whether requests wait elsewhere; the new one
  /// then starts by `count_starts`.
  bool limit_entry(gate_capacity& capacity, std::uint32_t rank, std::size_t waiting_here,
                   base::time_point now) const;

  /// Number of waiting requests that may start now, from the highest rank on.
  std::uint32_t count_starts(const start_query& query, base::time_point now);
  /// Requests that `count_starts` has allowed have started and have taken their slots.
  void note_started(std::uint32_t n);
  /// A request of this entry has ended and its slot is free.
  void note_ended() { ++ended_; }

private:
  struct rank_state {
    std::uint32_t reported = 0;
    std::uint32_t elsewhere = 0;
    base::time_point learned_at{};
  };
  /// Free slots that this entry has divided, until starts at other entries show.
  struct offer {
    base::time_point at;
    double slots = 0;
  };

  void forget_offers(double available, base::time_point now);
  bool is_own_slot_kept(const start_query& query, const rank_counts& others) const;

  fleet_demand_settings settings_;
  std::array<rank_state, max_demand_rank + 1> ranks_;
  base::time_point learned_at_{};
  base::time_point refresh_at_{};
  std::deque<offer> offers_;
  double offered_ = 0; ///< sum of `offers_`
  double credit_ = 0;  ///< starts allowed and not used, with the fraction carried over
  std::uint32_t ended_ = 0;
};

/// Retry-After of a refusal because of the expected `wait`, spread at random so that refused
/// callers don't return at once: not below 100 ms, and below a third of the caller's remaining time
/// where that is possible, since callers ignore longer ones.
base::milliseconds spread_retry_after(base::duration wait, base::duration remaining,
                                      base::rng& rng);

} // namespace kingcupshunt::admission
