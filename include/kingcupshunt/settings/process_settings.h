#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/settings/error.h"

namespace kingcupshunt::settings {

/// IP address and TCP port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  std::string to_string() const;
};

/// Parses "ip:port" or "[ipv6]:port" with a port from 1 to 65535. False on any other text.
bool parse_endpoint(const std::string& text, endpoint& out);

/// An instance that keeps the replicated log.
struct voter {
  std::string id;
  endpoint peer;
};

struct connection_limits {
  std::uint32_t connections = 10'000;          ///< caller connections of this instance
  std::uint32_t connections_per_address = 512; ///< caller connections from one address
  std::uint32_t header_bytes = 16 * 1024;      ///< start line and headers of a request
  std::uint32_t header_count = 100;
  base::milliseconds idle{60'000};        ///< without a request on a caller connection
  base::milliseconds header_read{10'000}; ///< from a request's first byte to its last header
};

/// Settings of one process, from a JSON file with comments.
struct process_settings {
  std::string id;
  std::string fleet;
  std::string data_centre;
  std::string fleet_secret;            ///< content of the file that fleet_secret_file names
  std::string operator_secret;         ///< empty: operators' calls need none
  endpoint entry;                      ///< callers
  endpoint announce;                   ///< backend servers
  endpoint operators;                  ///< operators; other than loopback needs an operator secret
  endpoint peer;                       ///< other instances
  std::string data_folder;             ///< empty: this instance has no disk
  std::string config_folder;           ///< empty: this instance watches no folder
  std::vector<voter> voters;           ///< the same list on every instance
  base::milliseconds stop_lead{2'000}; ///< out of the address answers before closing anything
  base::milliseconds stop_grace{20'000}; ///< time for requests in flight at a graceful stop
  connection_limits limits;

  /// True when this instance keeps the replicated log.
  bool is_voter() const noexcept;
};

/// Parses settings text. `file` is used in errors and to resolve relative file names.
/// Reads the fleet secret's file, which must be readable by its owner only.
result<process_settings> parse(std::string_view text, const std::string& file);

/// Reads and parses a settings file.
result<process_settings> load(const std::string& file);

} // namespace kingcupshunt::settings
