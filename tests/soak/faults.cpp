#include "faults.h"

#include <algorithm>
#include <cmath>

#include "kingcupshunt/base/rng.h"

namespace kingcupshunt::soak {

namespace {

constexpr base::milliseconds least_time{200};
constexpr std::uint64_t time_spread_ms = 3000;
constexpr std::uint64_t most_in_series = 3;
constexpr std::uint64_t series_gap_ms = 700;

} // namespace

const char* to_string(fault_kind kind) noexcept {
  switch (kind) {
  case fault_kind::entry_kill:
    return "entry_kill";
  case fault_kind::entry_stop:
    return "entry_stop";
  case fault_kind::entry_pause:
    return "entry_pause";
  case fault_kind::control_kill:
    return "control_kill";
  case fault_kind::control_stop:
    return "control_stop";
  case fault_kind::control_pause:
    return "control_pause";
  case fault_kind::control_wipe:
    return "control_wipe";
  case fault_kind::control_all:
    return "control_all";
  case fault_kind::disk_refuses:
    return "disk_refuses";
  case fault_kind::link_delay:
    return "link_delay";
  case fault_kind::link_reset:
    return "link_reset";
  case fault_kind::link_silence:
    return "link_silence";
  case fault_kind::link_cut:
    return "link_cut";
  case fault_kind::server_crash:
    return "server_crash";
  case fault_kind::server_leave:
    return "server_leave";
  case fault_kind::server_gray:
    return "server_gray";
  case fault_kind::server_cut:
    return "server_cut";
  case fault_kind::settings_change:
    return "settings_change";
  case fault_kind::count_:
    break;
  }
  return "unknown";
}

std::vector<fault> make_plan(const fault_plan_settings& settings) {
  base::rng rng(settings.seed);
  std::vector<fault> out;
  double at = 0;
  const double gap = static_cast<double>(settings.mean_gap.count());
  const double end = static_cast<double>(settings.length.count());
  for (;;) {
    at -= gap * std::log(1 - rng.unit());
    if (at >= end) {
      break;
    }
    fault f;
    f.kind = static_cast<fault_kind>(rng.below(static_cast<std::uint64_t>(fault_kind::count_)));
    f.at = base::milliseconds(static_cast<std::int64_t>(at));
    f.lasts = least_time + base::milliseconds(rng.below(time_spread_ms));
    f.target = static_cast<std::uint32_t>(rng.below(1U << 20U));
    f.variant = static_cast<std::uint32_t>(rng.below(1U << 20U));
    out.push_back(f);
    if (rng.unit() < settings.series_share) {
      const auto more = 1 + rng.below(most_in_series);
      for (std::uint64_t i = 0; i < more; ++i) {
        f.at += base::milliseconds(rng.below(series_gap_ms));
        ++f.target;
        out.push_back(f);
      }
    }
  }
  std::ranges::stable_sort(out, {}, &fault::at);
  return out;
}

bool takes_control_away(fault_kind kind) noexcept {
  switch (kind) {
  case fault_kind::control_kill:
  case fault_kind::control_stop:
  case fault_kind::control_pause:
  case fault_kind::control_wipe:
  case fault_kind::control_all:
  case fault_kind::disk_refuses:
    return true;
  default:
    return false;
  }
}

} // namespace kingcupshunt::soak
