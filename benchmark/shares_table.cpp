// Compares the shares of rates without their owner with those before, in simulated time with fixed
// seeds: most requests within 5 s beside what the rule lets through, and wrongful refusals, those
// beyond what one central bucket would refuse.
#include <cstdio>

#include "support/shares_fleet.h"

using namespace kingcupshunt;
using support::owner_trouble;
using support::shares_fleet;

namespace {

constexpr double window_s = 5;
constexpr double run_s = 20;

struct row {
  std::size_t entries = 17;
  rates::limit limit;
  owner_trouble trouble = owner_trouble::none;
  int time_ms = 0;
};

struct outcome {
  std::size_t most = 0;
  double wrongful = 0; ///< relative to all requests
};

outcome play(const row& r, double load, bool has_former_shares) {
  support::shares_options options;
  options.entries = r.entries;
  options.limit = r.limit;
  options.has_former_shares = has_former_shares;
  shares_fleet f(options);
  support::disturb(f, r.entries, load * r.limit.rate, r.trouble, base::milliseconds(r.time_ms));
  const auto admitted = static_cast<double>(f.admitted.size());
  const auto all = admitted + static_cast<double>(f.refused);
  const double due = std::min(all, r.limit.burst + r.limit.rate * run_s);
  return {support::most_within(f.admitted, window_s), std::max(0.0, due - admitted) / all};
}

void print(const row& r) {
  const double allowed = (r.limit.rate * window_s + r.limit.burst) * 1.1 + 20;
  const auto calm = play(r, 0.5, false);
  const auto calm_before = play(r, 0.5, true);
  const auto surge = play(r, 7.5, false);
  const auto surge_before = play(r, 7.5, true);
  std::printf(
      "| %zu | %g, %g | %s, %d ms | %.1f | %zu | %zu | %.1f %% | %.1f %% | %.1f %% | %.1f %% |\n",
      r.entries, r.limit.rate, r.limit.burst, to_string(r.trouble), r.time_ms, allowed,
      surge_before.most, surge.most, 100 * calm_before.wrongful, 100 * calm.wrongful,
      100 * surge_before.wrongful, 100 * surge.wrongful);
}

} // namespace

int main() {
  std::puts("| Entries | Rate, burst | Owner | Allowed in 5 s | Before | Now | Wrongful refusals, "
            "calm, before | now | Surge, before | now |");
  std::puts("|---|---|---|---|---|---|---|---|---|---|");
  for (const std::size_t entries : {17, 24, 126, 189}) {
    for (const auto& l : {rates::limit{1, 1}, {4, 4}, {20, 20}, {100, 200}}) {
      print({entries, l, owner_trouble::none, 0});
      print({entries, l, owner_trouble::killed, 800});
      print({entries, l, owner_trouble::killed_twice, 800});
      print({entries, l, owner_trouble::frozen, 2200});
      print({entries, l, owner_trouble::cut, 3000});
      print({entries, l, owner_trouble::cut_from_half, 9000});
    }
  }
}
