#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/rates/cold_bound.h"

namespace kingcupshunt::settings {

/// "address:port" with the address to listen on; port 0: not used.
struct listen_address {
  std::string address;
  std::uint16_t port = 0;

  std::string to_string() const { return address + ":" + std::to_string(port); }
};

/// Bounds and shares that entry and control instances agree on.
struct role_bounds {
  base::duration lease = base::seconds(3);              ///< of an entry without a control majority
  base::duration apply_time = base::milliseconds(1600); ///< see fleet::entry_link::is_outdated
  base::duration beat_interval = base::milliseconds(1500); ///< of backend servers
  base::duration stop_grace = base::seconds(6);            ///< from the request to stop to a kill
  base::duration address_lifetime = base::milliseconds(1500); ///< of an answer to callers
  double retry_share = 0.2; ///< further tries for each request, of all entries in a window
  base::duration retry_window = base::seconds(10);
  double retry_slack = 0; ///< further tries beyond the share, of all entries in a window
  rates::cold_bound cold; ///< requests to a server that is cold, from all entries in a second
};

/// How an entry divides its memory among callers.
struct caller_memory_settings {
  double share = 0.25;           ///< of the process's memory, for what callers make it hold
  double single_share = 0.5;     ///< of that, for one address, workspace or route
  double least_body_rate = 4096; ///< bytes per second; slower ones are dropped first
};

/// Settings of one process that plays a single role: entry or control.
struct role_settings {
  std::string id; ///< IP address, by which the other instances reach it
  std::string data_centre;
  std::string fleet = "kingcupshunt";
  std::string fleet_secret;       ///< of the connections between instances
  listen_address peer;            ///< the port is the same on all instances
  std::vector<std::string> seeds; ///< ids of control instances to begin with
  bool is_first_start = false;    ///< control: the seeds found the replicated log
  std::string data_folder;        ///< control: of the replicated log
  listen_address entry;           ///< entry: callers
  listen_address readiness;       ///< entry: health checks of the deployment
  listen_address control;         ///< control: announcements and operators
  listen_address directory;       ///< control: callers that ask for entries
  listen_address tunnel;          ///< entry: other entries that cannot reach backend servers
  listen_address metrics;
  std::size_t memory_bytes = 0; ///< the process is killed beyond this; 0: not known
  std::size_t descriptors = 0;  ///< that the process may open; 0: not known
  caller_memory_settings caller_memory;
  bool has_fleet_admission = false; ///< entry: counts what waits at other entries
  bool has_expected_load = false;   ///< entry: chooses servers by the expected load
  role_bounds bounds;
};

} // namespace kingcupshunt::settings
