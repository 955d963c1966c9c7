#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "loopback_proxy.h"
#include "support/child_process.h"
#include "wire.h"

namespace kingcupshunt::soak {

struct deployment_settings {
  std::string program;
  std::filesystem::path folder; ///< of settings, logs and data
  std::uint32_t network = 1;    ///< second part of the loopback addresses, 1 to 254
  std::size_t controls = 3;
  std::size_t entries = 4;
};

/// One instance: its settings, its process while it runs, and the proxy before its peers.
struct instance {
  std::string name;
  bool is_control = false;
  wire::node_settings settings;
  std::filesystem::path file;
  std::optional<testing::child_process> process;
  std::shared_ptr<loopback_proxy> peer_link;
  std::shared_ptr<loopback_proxy> entry_link; ///< before callers; entries only
  bool is_paused = false;
  bool is_busy = false; ///< a fault is at work on it
};

/// The real programs as processes on loopback addresses, each behind proxies.
class deployment {
public:
  deployment(boost::asio::io_context& io, deployment_settings settings);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  void start_all();
  void start(instance& it);
  /// SIGKILL; returns when the process is gone.
  void kill(instance& it);
  void send(instance& it, int signal);
  /// True when the process has ended by itself; it is reaped then.
  bool has_ended(instance& it);
  /// Empties the data folder; the instance must not run.
  void wipe(const instance& it) const;
  /// Writes fail from now on, or work again.
  static void set_disk_refusing(const instance& it, bool is_refusing);

  std::vector<instance*> entries() { return instances_of(false); }
  std::vector<instance*> controls() { return instances_of(true); }
  std::vector<std::string> control_addresses() const;
  std::vector<std::string> directory_addresses() const;

private:
  std::string address(int net, std::size_t i) const;
  void add(std::size_t i, bool is_control);
  std::vector<instance*> instances_of(bool is_control);
  std::vector<std::string> addresses_of(std::string wire::node_settings::*service) const;

  boost::asio::io_context& io_;
  deployment_settings settings_;
  std::vector<std::unique_ptr<instance>> instances_;
};

} // namespace kingcupshunt::soak
