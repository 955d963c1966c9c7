#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <utility>

#include "support/child_process.h"
#include "support/fleet.h"

namespace kingcupshunt::testing {

/// A process that is measured from outside, by proc(5).
class watched_process {
public:
  /// `address` is the IP address of all its listeners, which no other process uses.
  watched_process(child_process process, std::string address)
      : process_(std::move(process)), address_(std::move(address)) {}

  bool is_alive() { return !process_.has_ended(); }
  void send(int signal) const { process_.send(signal); }
  const std::string& address() const noexcept { return address_; }

  /// Resident memory now and at its peak.
  std::size_t resident_kb() const { return status_field("VmRSS:"); }
  std::size_t peak_resident_kb() const { return status_field("VmHWM:"); }

  /// Leaves the process room for `kb` more, which it maps from now on.
  void limit_address_space(std::size_t kb) const {
    const auto most = (status_field("VmSize:") + kb) * 1024;
    const rlimit limit{most, most};
    REQUIRE(prlimit(process_.id(), RLIMIT_AS, &limit, nullptr) == 0);
  }

  std::size_t descriptors() const {
    std::error_code ec;
    std::size_t n = 0;
    for (std::filesystem::directory_iterator it(proc("fd"), ec), end; !ec && it != end;
         it.increment(ec)) {
      ++n;
    }
    return n;
  }

  /// Bytes that have arrived at its addresses and that it has not read, those of connections that
  /// it has not accepted included.
  std::size_t unread_kb() const {
    constexpr const char* listening = "0A";
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line); // names of the columns
    std::size_t sum = 0;
    while (std::getline(file, line)) {
      std::istringstream fields(line);
      std::string number;
      std::string local;
      std::string remote;
      std::string state;
      std::string queues;
      fields >> number >> local >> remote >> state >> queues;
      if (local.starts_with(address_in_hex()) && state != listening) {
        sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
      }
    }
    return sum / 1024;
  }

  /// Waits until it has handled what was sent to it and uses little time.
  void wait_until_settled() const {
    auto before = processor_ticks();
    wait_until([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
      const auto now = processor_ticks();
      return now - std::exchange(before, now) <= 5;
    });
  }

private:
  std::filesystem::path proc(const char* file) const {
    return std::filesystem::path("/proc") / std::to_string(process_.id()) / file;
  }

  std::size_t status_field(const std::string& name) const {
    std::ifstream file(proc("status"));
    std::string line;
    while (std::getline(file, line)) {
      if (line.starts_with(name)) {
        return std::strtoul(line.c_str() + name.size(), nullptr, 10);
      }
    }
    return 0;
  }

  /// As /proc/net/tcp has it: the bytes in the machine's order, which is the reverse one.
  std::string address_in_hex() const {
    in_addr at{};
    inet_pton(AF_INET, address_.c_str(), &at);
    std::ostringstream out;
    out << std::hex << std::uppercase;
    out.width(8);
    out.fill('0');
    out << at.s_addr;
    return out.str();
  }

  unsigned long processor_ticks() const {
    std::ifstream file(proc("stat"));
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int i = 3; i < 14; ++i) { // utime is the fourteenth field of proc(5)
      fields >> skipped;
    }
    unsigned long user = 0;
    unsigned long system = 0;
    fields >> user >> system;
    return user + system;
  }

  child_process process_;
  std::string address_;
};

} // namespace kingcupshunt::testing
