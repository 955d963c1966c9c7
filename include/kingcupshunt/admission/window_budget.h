#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/config/snapshot.h"

namespace kingcupshunt::admission {

struct window_budget_settings {
  double share = 0.2; ///< retries for each request, of all instances together
  base::duration window = base::seconds(10); ///< in which the share holds
  double slack = 0;                          ///< retries beyond the share in a window, of all
  /// Used part of the share. The rest covers windows in which the instances see other numbers of
  /// requests than the sum that counts.
  double used_share = 0.9;
  double used_slack = 0.5; ///< used part of the slack
};

/// Limits the retries (including hedges) of one instance for each service to a share of its own
/// requests in the last window, so that the sum over all instances keeps the share in every window.
/// A burst of failures may use the retries of a whole window at once.
class window_budget {
public:
  explicit window_budget(window_budget_settings settings) : settings_(settings) {}

  /// Records a request for `service`.
  void deposit(std::string_view service, base::time_point now);

  /// Takes one retry. False when none is left. `instances` share the slack.
  bool withdraw(std::string_view service, std::size_t instances, base::time_point now);

private:
  static constexpr std::size_t slots_per_window = 20;

  /// Counts of one window in slots, and of one older slot that the window has partly left.
  struct account {
    std::array<std::uint32_t, slots_per_window + 1> requests{};
    std::array<std::uint32_t, slots_per_window + 1> retries{};
    std::int64_t newest = 0; ///< number of the slot of the last call
  };

  account& account_at(std::string_view service, base::time_point now);

  window_budget_settings settings_;
  std::unordered_map<std::string, account, config::string_hash, std::equal_to<>> accounts_;
};

} // namespace kingcupshunt::admission
