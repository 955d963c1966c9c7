#include "deployment.h"

#include <cerrno>
#include <csignal>
#include <fstream>
#include <system_error>

#include <sys/resource.h>

#include "http.h"

namespace kingcupshunt::soak {

namespace {

constexpr const char* peer_port = ":7660";
constexpr const char* entry_port = ":8405";
constexpr const char* ready_port = ":8406";
constexpr const char* control_port = ":8407";
constexpr const char* directory_port = ":8408";
constexpr std::size_t seeds = 3;
constexpr std::size_t first_entry = 20; ///< last part of the address of the first entry

// Third part of the addresses: what others use, and what the processes listen on behind proxies.
constexpr int outer_net = 1;
constexpr int inner_net = 2;

} // namespace

deployment::deployment(boost::asio::io_context& io, deployment_settings settings)
    : io_(io), settings_(std::move(settings)) {
  // A process that inherits this gets an error for a write beyond the bound on files.
  std::signal(SIGXFSZ, SIG_IGN);
  std::filesystem::create_directories(settings_.folder);
  for (std::size_t i = 0; i < settings_.controls; ++i) {
    add(i, true);
  }
  for (std::size_t i = 0; i < settings_.entries; ++i) {
    add(i, false);
  }
}

deployment::~deployment() {
  for (auto& it : instances_) {
    if (it->process && it->is_paused) {
      it->process->send(SIGCONT);
    }
  }
}

std::string deployment::address(int net, std::size_t i) const {
  return "127." + std::to_string(settings_.network) + "." + std::to_string(net) + "." +
         std::to_string(i + 1);
}

void deployment::add(std::size_t i, bool is_control) {
  auto made = std::make_unique<instance>();
  made->name = (is_control ? "control-" : "entry-") + std::to_string(i + 1);
  made->is_control = is_control;
  const auto at = is_control ? i : first_entry + i;
  const auto outer = address(outer_net, at);
  const auto inner = address(inner_net, at);
  auto& s = made->settings;
  s.id = outer;
  s.internal = inner + peer_port;
  s.data_centre = std::string(1, static_cast<char>('a' + i % 3));
  for (std::size_t n = 0; n < seeds; ++n) {
    s.seeds.push_back(address(outer_net, n) + control_port);
  }
  s.is_first_start = true;
  if (is_control) {
    s.data_folder = (settings_.folder / ("data-" + made->name)).string();
    std::filesystem::create_directories(s.data_folder);
    s.control = outer + control_port;
    s.directory = outer + directory_port;
  } else {
    s.entry = inner + entry_port;
    s.readiness = inner + ready_port;
    made->entry_link = std::make_shared<loopback_proxy>(io_, endpoint_of(outer + entry_port),
                                                        endpoint_of(inner + entry_port));
    made->entry_link->start();
  }
  made->peer_link = std::make_shared<loopback_proxy>(io_, endpoint_of(outer + peer_port),
                                                     endpoint_of(inner + peer_port));
  made->peer_link->start();
  made->file = settings_.folder / (made->name + ".json");
  instances_.push_back(std::move(made));
}

void deployment::start_all() {
  for (auto& it : instances_) {
    start(*it);
  }
  for (auto& it : instances_) {
    it->settings.is_first_start = false; // later starts find the log or join it
  }
}

void deployment::start(instance& it) {
  std::ofstream(it.file) << wire::to_text(it.settings);
  const std::vector<std::string> environment = {std::string(wire::settings_variable) + "=" +
                                                it.file.string()};
  it.process.emplace(
      std::vector<std::string>{settings_.program, it.is_control ? "control" : "entry"},
      (settings_.folder / (it.name + ".log")).string(), environment);
  it.is_paused = false;
}

void deployment::kill(instance& it) {
  it.process.reset(); // ends the process and waits for it
}

void deployment::send(instance& it, int signal) {
  if (it.process && it.process->is_running()) {
    it.process->send(signal);
    it.is_paused = signal == SIGSTOP || (it.is_paused && signal != SIGCONT);
  }
}

bool deployment::has_ended(instance& it) {
  if (it.process && it.process->has_ended()) {
    it.process.reset();
  }
  return !it.process;
}

void deployment::wipe(const instance& it) const {
  std::filesystem::remove_all(it.settings.data_folder);
  std::filesystem::create_directories(it.settings.data_folder);
}

void deployment::set_disk_refusing(const instance& it, bool is_refusing) {
  if (!it.process) {
    return;
  }
  // A bound of zero bytes refuses every write to a file that is not empty.
  const rlim_t bound = is_refusing ? 0 : RLIM_INFINITY;
  const rlimit limit{bound, RLIM_INFINITY};
  if (::prlimit(it.process->id(), RLIMIT_FSIZE, &limit, nullptr) != 0) {
    throw std::system_error(errno, std::generic_category(), "bound on files of " + it.name);
  }
}

std::vector<instance*> deployment::instances_of(bool is_control) {
  std::vector<instance*> out;
  for (auto& it : instances_) {
    if (it->is_control == is_control) {
      out.push_back(it.get());
    }
  }
  return out;
}

std::vector<std::string> deployment::addresses_of(std::string wire::node_settings::*service) const {
  std::vector<std::string> out;
  for (const auto& it : instances_) {
    if (it->is_control) {
      out.push_back(it->settings.*service);
    }
  }
  return out;
}

std::vector<std::string> deployment::control_addresses() const {
  return addresses_of(&wire::node_settings::control);
}

std::vector<std::string> deployment::directory_addresses() const {
  return addresses_of(&wire::node_settings::directory);
}

} // namespace kingcupshunt::soak
