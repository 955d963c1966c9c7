#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::soak {

/// What can happen to an instance, a link, a server or the configuration.
enum class fault_kind : std::uint8_t {
  entry_kill,
  entry_stop,  ///< SIGTERM, the planned way
  entry_pause, ///< SIGSTOP, later SIGCONT
  control_kill,
  control_stop,
  control_pause,
  control_wipe, ///< killed, and started again with an empty data folder
  control_all,  ///< all control instances killed at once
  disk_refuses,
  link_delay, ///< of an instance
  link_reset,
  link_silence, ///< open connections go silent for good
  link_cut,     ///< both ways or one way
  server_crash,
  server_leave,
  server_gray, ///< resets, errors, slowness and answers given twice
  server_cut,
  settings_change, ///< SIGHUP
  count_
};

const char* to_string(fault_kind kind) noexcept;

struct fault {
  fault_kind kind = fault_kind::entry_kill;
  base::milliseconds at{0};    ///< from the start of the faults
  base::milliseconds lasts{0}; ///< until the instance is back or the link is healed
  std::uint32_t target = 0;    ///< taken modulo the number of possible targets
  std::uint32_t variant = 0;   ///< of the kind
};

struct fault_plan_settings {
  std::uint64_t seed = 1;
  base::milliseconds length{20000};
  base::milliseconds mean_gap{1200}; ///< between two faults
  double series_share = 0.3;         ///< faults that are followed by more of the same kind
};

/// Faults in the order of their times. The same settings give the same plan.
std::vector<fault> make_plan(const fault_plan_settings& settings);

/// True for faults after which a control instance needs time to catch up. Only one at a time is
/// allowed, as the deployment's fault tolerance says.
bool takes_control_away(fault_kind kind) noexcept;

} // namespace kingcupshunt::soak
